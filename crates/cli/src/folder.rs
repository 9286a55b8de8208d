//! The folder with the two lists and the version that they were made from.
//!
//! Files are replaced whole, by renaming, and the version is written last: a
//! command that dies in between leaves lists that are newer than their
//! version, and publishing those changes nothing twice.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use bpaf::Bpaf;
use model::{ConfigVersion, ErrorKind, KindError};
use plans::lists::{ALLOWANCES_FILE, PLANS_FILE};
use plans::{ChangeFingerprint, ConfigLists, ConfigState, ListProblem};

use crate::config::Result;

/// File that names the version from which the lists were made.
const BASE_FILE: &str = ".quetzal-base";

/// The folder with the two lists.
#[derive(Bpaf, Clone, Debug)]
pub struct FolderArgs {
    /// Folder with plans.jsonc and allowances.jsonc
    #[bpaf(positional("DIR"), complete_shell(bpaf::ShellComp::Dir { mask: None }))]
    pub dir: PathBuf,
}

/// What the lists of a folder were made from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FolderBase {
    /// The last record that its author had seen.
    pub version: ConfigVersion,
    /// The last accepted change up to it, by which its log is known again.
    mark: Option<ChangeFingerprint>,
}

impl FolderBase {
    /// The base of lists that were made from `state` as it was at `version`.
    pub fn at(state: &ConfigState, version: ConfigVersion) -> Self {
        Self {
            version,
            mark: state.fingerprint_at(version),
        }
    }

    /// Checks that `state`, at the end of a log, has this base in its past.
    ///
    /// Fails with `LogDiverged` if the log ends before it or holds another change there.
    pub fn check(&self, state: &ConfigState) -> Result<()> {
        let (version, reached) = (self.version, state.base());
        let lost = |detail: String| {
            let advice = "if the log lost records, lead on with quetzal rebase DIR";
            KindError::new(ErrorKind::LogDiverged, format!("{detail}; {advice}"))
        };
        if version > reached {
            let detail = format!("the log ends at {reached}, before {version}");
            return Err(lost(format!("{detail}, which the folder holds")));
        }
        let checked = self
            .mark
            .map_or(Ok(()), |mark| state.check_fingerprint(&mark));
        checked.map_err(|error| lost(format!("{}, the folder is of another", error.detail)))
    }
}

impl fmt::Display for FolderBase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.version)?;
        match &self.mark {
            Some(mark) => write!(f, " {mark}"),
            None => Ok(()),
        }
    }
}

impl FromStr for FolderBase {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self> {
        let (version, mark) = text.split_once(' ').unwrap_or((text, ""));
        Ok(Self {
            version: version.parse()?,
            mark: (!mark.is_empty()).then(|| mark.parse()).transpose()?,
        })
    }
}

/// A folder as it was read.
#[derive(Clone, Debug)]
pub struct ListFolder {
    /// The lists.
    pub lists: ConfigLists,
    /// What they were made from.
    pub base: FolderBase,
    dir: PathBuf,
    plans_text: String,
    allowances_text: String,
}

/// What reading a folder found.
#[derive(Clone, Debug)]
pub enum FolderContent {
    /// Both lists are in order.
    Sound(Box<ListFolder>),
    /// Every mistake.
    Faulty(Vec<ListProblem>),
}

impl ListFolder {
    /// Reads both lists; prints every mistake and fails if there is one.
    pub fn open(dir: &Path) -> Result<Self> {
        match read_folder(dir)? {
            FolderContent::Sound(folder) => Ok(*folder),
            FolderContent::Faulty(problems) => {
                for problem in &problems {
                    eprintln!("{problem}");
                }
                Err(faulty(&problems))
            }
        }
    }

    /// Changes the files to hold `lists`, keeping their comments.
    ///
    /// Files that were edited since they were read are left alone; `pull`
    /// brings them up to date.
    pub fn update(&self, lists: &ConfigLists, base: FolderBase) -> Result<()> {
        if !self.is_unchanged()? {
            let dir = self.dir.display();
            eprintln!("{dir} was edited meanwhile; run quetzal pull {dir}");
            return Ok(());
        }
        let (plans, allowances) = lists.rewrite(&self.plans_text, &self.allowances_text);
        if plans != self.plans_text || allowances != self.allowances_text {
            write_texts(&self.dir, &plans, &allowances)?;
        }
        write_base(&self.dir, base)
    }

    fn is_unchanged(&self) -> Result<bool> {
        let plans_text = read(&self.dir.join(PLANS_FILE))?;
        let allowances_text = read(&self.dir.join(ALLOWANCES_FILE))?;
        Ok(plans_text == self.plans_text && allowances_text == self.allowances_text)
    }
}

/// Fails with the way on if there are no lists in the folder.
fn check_place(dir: &Path) -> Result<()> {
    let named = dir.display();
    let detail = if dir.is_file() {
        format!("{named} is a file; name the folder that holds the lists")
    } else if !has_lists(dir) {
        format!(
            "{named} holds no {PLANS_FILE}; make the folder with \
             quetzal pull {named}, or quetzal init {named} if nothing was published yet"
        )
    } else {
        return Ok(());
    };
    Err(KindError::new(ErrorKind::LocalFailed, detail))
}

/// Reads both lists and the version from which they were made.
pub fn read_folder(dir: &Path) -> Result<FolderContent> {
    check_place(dir)?;
    let plans_text = read(&dir.join(PLANS_FILE))?;
    let allowances_text = read(&dir.join(ALLOWANCES_FILE))?;
    let base = read_base(dir)?;
    let lists = match ConfigLists::parse(&plans_text, &allowances_text) {
        Ok(lists) => lists,
        Err(problems) => return Ok(FolderContent::Faulty(problems)),
    };
    Ok(FolderContent::Sound(Box::new(ListFolder {
        lists,
        base,
        dir: dir.to_owned(),
        plans_text,
        allowances_text,
    })))
}

/// The error for lists with mistakes.
pub fn faulty(problems: &[ListProblem]) -> KindError {
    let detail = match problems.len() {
        1 => "1 mistake in the lists".to_owned(),
        count => format!("{count} mistakes in the lists"),
    };
    KindError::new(ErrorKind::ListInvalid, detail)
}

/// Whether the folder holds one of the lists already.
pub fn has_lists(dir: &Path) -> bool {
    dir.join(PLANS_FILE).exists() || dir.join(ALLOWANCES_FILE).exists()
}

/// Makes the folder with lists that equal the version `base`.
pub fn create_lists(dir: &Path, lists: &ConfigLists, base: FolderBase) -> Result<()> {
    let (plans, allowances) = lists.render();
    write_texts(dir, &plans, &allowances)?;
    write_base(dir, base)
}

/// Writes the texts of both lists.
pub fn write_texts(dir: &Path, plans: &str, allowances: &str) -> Result<()> {
    fs::create_dir_all(dir).map_err(|error| failed(dir, &error))?;
    write(&dir.join(PLANS_FILE), plans)?;
    write(&dir.join(ALLOWANCES_FILE), allowances)
}

/// The version from which the lists were made; none for a new folder.
fn read_base(dir: &Path) -> Result<FolderBase> {
    let file = dir.join(BASE_FILE);
    if !file.exists() {
        return Ok(FolderBase::default());
    }
    let text = read(&file)?;
    text.trim().parse().map_err(|error: KindError| {
        let detail = format!(
            "{}: {}; pull again with --force",
            file.display(),
            error.detail
        );
        KindError::new(ErrorKind::LocalFailed, detail)
    })
}

fn write_base(dir: &Path, base: FolderBase) -> Result<()> {
    write(&dir.join(BASE_FILE), &format!("{base}\n"))
}

fn read(file: &Path) -> Result<String> {
    fs::read_to_string(file).map_err(|error| failed(file, &error))
}

/// Replaces a file whole.
fn write(file: &Path, text: &str) -> Result<()> {
    let draft = file.with_extension("quetzal-draft");
    fs::write(&draft, text).map_err(|error| failed(&draft, &error))?;
    fs::rename(&draft, file).map_err(|error| failed(file, &error))
}

fn failed(file: &Path, error: &std::io::Error) -> KindError {
    let detail = format!("{}: {error}", file.display());
    KindError::new(ErrorKind::LocalFailed, detail)
}
