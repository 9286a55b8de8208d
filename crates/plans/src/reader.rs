//! Reading JSON with comments, with the place of every mistake.
//!
//! A [`DocumentReader`] walks the syntax tree of one file and notes each
//! mistake with line and column; nothing stops at the first. It knows nothing
//! of the lists, so settings files are read with it too.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use model::KindError;

use crate::depth::{MAX_DEPTH, find_too_deep};
use crate::lists::ListProblem;

/// Largest text of one file, in bytes.
pub const MAX_TEXT_BYTES: usize = 4 << 20;

/// Fields of an object by name.
pub type FieldMap<'v> = BTreeMap<&'v str, &'v Value<'v>>;

/// Reads one file and notes its mistakes.
#[derive(Debug)]
pub struct DocumentReader<'a> {
    file: &'a str,
    text: &'a str,
    problems: Vec<ListProblem>,
    complete: bool,
}

impl<'a> DocumentReader<'a> {
    /// A reader of `text`; `file` names it in mistakes.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            problems: Vec::new(),
            complete: true,
        }
    }

    /// Notes a mistake at the byte `start` of the text.
    pub fn add_problem(&mut self, start: usize, message: impl Into<Box<str>>) {
        let before = &self.text[..start];
        let line_start = before.rfind('\n').map_or(0, |end| end + 1);
        self.problems.push(ListProblem {
            file: self.file.into(),
            line: before.matches('\n').count() as u32 + 1,
            column: before[line_start..].chars().count() as u32 + 1,
            message: message.into(),
        });
    }

    /// Notes a mistake that leaves an entry unread.
    pub fn fail<T>(&mut self, start: usize, message: impl Into<Box<str>>) -> Option<T> {
        self.complete = false;
        self.add_problem(start, message);
        None
    }

    /// Whether every entry could be read, so that rules over the whole can be judged.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// The mistakes found, in order of position.
    pub fn into_problems(mut self) -> Vec<ListProblem> {
        self.problems.sort();
        self.problems.dedup();
        self.problems
    }

    /// The whole text as a value.
    pub fn root(&mut self) -> Option<Value<'a>> {
        if self.text.len() > MAX_TEXT_BYTES {
            return self.fail(0, format!("the file is larger than {MAX_TEXT_BYTES} bytes"));
        }
        if let Some(start) = find_too_deep(self.text) {
            let message = format!("values are nested deeper than {MAX_DEPTH}");
            return self.fail(start, message);
        }
        let options = ParseOptions {
            allow_loose_object_property_names: false,
            ..ParseOptions::default()
        };
        match parse_to_ast(self.text, &CollectOptions::default(), &options) {
            Ok(parsed) => match parsed.value {
                Some(value) => Some(value),
                None => self.fail(0, "the file is empty"),
            },
            Err(error) => {
                let message = error.kind().to_string().to_lowercase();
                self.fail(error.range().start, message)
            }
        }
    }

    /// The entries of an object whose names the author chooses.
    pub fn entries<'v>(&mut self, value: &'v Value<'v>, what: &str) -> Vec<&'v ObjectProp<'v>> {
        let Some(object) = self.object(value, what) else {
            return Vec::new();
        };
        let mut seen = BTreeSet::new();
        let mut entries = Vec::new();
        for entry in &object.properties {
            if seen.insert(entry.name.as_str()) {
                entries.push(entry);
            } else {
                let message = format!("\"{}\" stands twice in {what}", entry.name.as_str());
                self.add_problem(entry.range.start, message);
            }
        }
        entries
    }

    /// The fields of an object whose names are fixed.
    pub fn fields<'v>(&mut self, value: &'v Value<'v>, what: &str, known: &[&str]) -> FieldMap<'v> {
        let mut fields = BTreeMap::new();
        for entry in self.entries(value, what) {
            let name = entry.name.as_str();
            if known.contains(&name) {
                fields.insert(name, &entry.value);
            } else {
                let choice = known.join(", ");
                let message = format!("unknown field \"{name}\" in {what}; known: {choice}");
                self.add_problem(entry.range.start, message);
            }
        }
        fields
    }

    /// The value as an object.
    pub fn object<'v>(&mut self, value: &'v Value<'v>, what: &str) -> Option<&'v Object<'v>> {
        match value.as_object() {
            Some(object) => Some(object),
            None => self.fail(value.start(), format!("{what} must be an object")),
        }
    }

    /// The value of a field that must be there.
    pub fn required<'v>(
        &mut self,
        fields: &FieldMap<'v>,
        name: &str,
        what: &str,
        owner: &Value<'_>,
    ) -> Option<&'v Value<'v>> {
        match fields.get(name) {
            Some(value) => Some(value),
            // What is no object was noted already.
            None if owner.as_object().is_none() => None,
            None => self.fail(owner.start(), format!("{what} lacks \"{name}\"")),
        }
    }

    /// The name of an entry as a typed name.
    pub fn parse_name<T>(&mut self, entry: &ObjectProp<'_>) -> Option<T>
    where
        T: FromStr<Err = KindError>,
    {
        match entry.name.as_str().parse() {
            Ok(name) => Some(name),
            Err(error) => self.fail(entry.range.start, error.detail),
        }
    }

    /// The values of an array.
    pub fn elements<'v>(&mut self, value: &'v Value<'v>, field: &str) -> &'v [Value<'v>] {
        if let Some(array) = value.as_array() {
            return &array.elements;
        }
        self.complete = false;
        self.add_problem(value.start(), format!("\"{field}\" must be an array"));
        &[]
    }

    /// The value as text.
    pub fn string<'v>(&mut self, value: &'v Value<'v>, field: &str) -> Option<&'v str> {
        match value.as_string_lit() {
            Some(literal) => Some(&literal.value),
            None => self.fail(value.start(), format!("\"{field}\" must be a string")),
        }
    }

    /// The value as text that is read further.
    pub fn parse_string<T>(&mut self, value: &Value<'_>, field: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.parse_with(value, field, |text| {
            text.parse()
                .map_err(|error: T::Err| error.to_string().into())
        })
    }

    /// The value as a typed name or the like, whose errors tell their detail only.
    pub fn parse_typed<T>(&mut self, value: &Value<'_>, field: &str) -> Option<T>
    where
        T: FromStr<Err = KindError>,
    {
        self.parse_with(value, field, |text| {
            text.parse().map_err(|error: KindError| error.detail)
        })
    }

    fn parse_with<T>(
        &mut self,
        value: &Value<'_>,
        field: &str,
        parse: impl Fn(&str) -> Result<T, Box<str>>,
    ) -> Option<T> {
        let text = self.string(value, field)?;
        match parse(text) {
            Ok(parsed) => Some(parsed),
            Err(message) => self.fail(value.start(), message),
        }
    }

    /// The value as a whole number.
    pub fn whole_number(&mut self, value: &Value<'_>, field: &str) -> Option<u32> {
        let number = value
            .as_number_lit()
            .and_then(|literal| literal.value.parse().ok());
        match number {
            Some(number) => Some(number),
            None => self.fail(value.start(), format!("\"{field}\" must be a whole number")),
        }
    }

    /// The value as true or false.
    pub fn boolean(&mut self, value: &Value<'_>, field: &str) -> Option<bool> {
        match value.as_boolean_lit() {
            Some(literal) => Some(literal.value),
            None => self.fail(value.start(), format!("\"{field}\" must be true or false")),
        }
    }
}
