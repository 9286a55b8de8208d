//! Reader for JSON with comments that reports the position of every problem.
//!
//! A [`DocumentReader`] walks the syntax tree of one file and collects all
//! problems with their line and column, instead of stopping at the first. It
//! is independent of the lists and also reads settings files.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use model::KindError;

use crate::depth::{MAX_DEPTH, find_too_deep};
use crate::lists::ListProblem;

/// Maximum size of a file, in bytes.
pub const MAX_TEXT_BYTES: usize = 4 << 20;

/// Fields of an object, by name.
pub type FieldMap<'v> = BTreeMap<&'v str, &'v Value<'v>>;

/// Reads one file and collects its problems.
#[derive(Debug)]
pub struct DocumentReader<'a> {
    file: &'a str,
    text: &'a str,
    problems: Vec<ListProblem>,
    complete: bool,
}

impl<'a> DocumentReader<'a> {
    /// Creates a reader of `text`; `file` is the file name in problems.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            problems: Vec::new(),
            complete: true,
        }
    }

    /// Adds a problem at the byte offset `start`.
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

    /// Adds a problem because of which an entry is skipped.
    pub fn fail<T>(&mut self, start: usize, message: impl Into<Box<str>>) -> Option<T> {
        self.complete = false;
        self.add_problem(start, message);
        None
    }

    /// Returns whether all entries were read, so that rules spanning them can be checked.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the problems, ordered by position and without duplicates.
    pub fn into_problems(mut self) -> Vec<ListProblem> {
        self.problems.sort();
        self.problems.dedup();
        self.problems
    }

    /// Parses the text; returns its root value.
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

    /// Returns the entries of an object with arbitrary names.
    ///
    /// Here and in the methods below, `subject` denotes the object in problems.
    pub fn entries<'v>(&mut self, value: &'v Value<'v>, subject: &str) -> Vec<&'v ObjectProp<'v>> {
        let Some(object) = self.object(value, subject) else {
            return Vec::new();
        };
        let mut seen = BTreeSet::new();
        let mut entries = Vec::new();
        for entry in &object.properties {
            if seen.insert(entry.name.as_str()) {
                entries.push(entry);
            } else {
                let message = format!("\"{}\" stands twice in {subject}", entry.name.as_str());
                self.add_problem(entry.range.start, message);
            }
        }
        entries
    }

    /// Returns the fields of an object with a fixed set of names.
    pub fn fields<'v>(
        &mut self,
        value: &'v Value<'v>,
        subject: &str,
        known: &[&str],
    ) -> FieldMap<'v> {
        let mut fields = BTreeMap::new();
        for entry in self.entries(value, subject) {
            let name = entry.name.as_str();
            if known.contains(&name) {
                fields.insert(name, &entry.value);
            } else {
                let choices = known.join(", ");
                let message = format!("unknown field \"{name}\" in {subject}; known: {choices}");
                self.add_problem(entry.range.start, message);
            }
        }
        fields
    }

    /// Reads an object.
    pub fn object<'v>(&mut self, value: &'v Value<'v>, subject: &str) -> Option<&'v Object<'v>> {
        match value.as_object() {
            Some(object) => Some(object),
            None => self.fail(value.start(), format!("{subject} must be an object")),
        }
    }

    /// Returns the value of a required field.
    pub fn required<'v>(
        &mut self,
        fields: &FieldMap<'v>,
        name: &str,
        subject: &str,
        object: &Value<'_>,
    ) -> Option<&'v Value<'v>> {
        match fields.get(name) {
            Some(value) => Some(value),
            // A value that is not an object has already been reported.
            None if object.as_object().is_none() => None,
            None => self.fail(object.start(), format!("{subject} lacks \"{name}\"")),
        }
    }

    /// Parses the name of an entry.
    pub fn parse_name<T>(&mut self, entry: &ObjectProp<'_>) -> Option<T>
    where
        T: FromStr<Err = KindError>,
    {
        match entry.name.as_str().parse() {
            Ok(name) => Some(name),
            Err(error) => self.fail(entry.range.start, error.detail),
        }
    }

    /// Reads the elements of an array.
    pub fn elements<'v>(&mut self, value: &'v Value<'v>, field: &str) -> &'v [Value<'v>] {
        if let Some(array) = value.as_array() {
            return &array.elements;
        }
        self.complete = false;
        self.add_problem(value.start(), format!("\"{field}\" must be an array"));
        &[]
    }

    /// Reads a string.
    pub fn string<'v>(&mut self, value: &'v Value<'v>, field: &str) -> Option<&'v str> {
        match value.as_string_lit() {
            Some(literal) => Some(&literal.value),
            None => self.fail(value.start(), format!("\"{field}\" must be a string")),
        }
    }

    /// Reads a string and parses it.
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

    /// Reads a string and parses it as a type with `KindError`; reports only the error's detail.
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

    /// Reads an unsigned integer.
    pub fn whole_number(&mut self, value: &Value<'_>, field: &str) -> Option<u32> {
        let number = value
            .as_number_lit()
            .and_then(|literal| literal.value.parse().ok());
        match number {
            Some(number) => Some(number),
            None => self.fail(value.start(), format!("\"{field}\" must be a whole number")),
        }
    }

    /// Reads a boolean.
    pub fn boolean(&mut self, value: &Value<'_>, field: &str) -> Option<bool> {
        match value.as_boolean_lit() {
            Some(literal) => Some(literal.value),
            None => self.fail(value.start(), format!("\"{field}\" must be true or false")),
        }
    }
}
