//! The folder that holds the lists of plans and allowances and the version they are
//! based on.
//!
//! Files are replaced atomically by renaming, and the base version is written
//! last. A command that dies in between leaves lists that are newer than their
//! base version; publishing them applies no edit twice.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use bpaf::Bpaf;
use model::{ConfigVersion, ErrorKind, KindError};
use plans::lists::{ALLOWANCES_FILE, PLANS_FILE};
use plans::{ChangeFingerprint, ConfigLists, ConfigState, ListProblem};

use crate::config::Result;

/// Name of the file that holds the base of the lists.
const BASE_FILE: &str = ".quetzal-base";

/// Folder with the two lists.
#[derive(Bpaf, Clone, Debug)]
pub struct FolderArgs {
    /// Folder with plans.jsonc and allowances.jsonc
    #[bpaf(positional("DIR"), complete_shell(bpaf::ShellComp::Dir { mask: None }))]
    pub dir: PathBuf,
}

/// State of the configuration that the lists of a folder are based on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FolderBase {
    /// Version of the last log record that the lists take into account.
    pub version: ConfigVersion,
    /// Fingerprint of the last change accepted up to that version, if known.
    ///
    /// Its hash covers all records up to the change, so it differs in a log with another history.
    fingerprint: Option<ChangeFingerprint>,
}

impl FolderBase {
    /// Returns the base of lists made from `state` as of `version`.
    pub fn at(state: &ConfigState, version: ConfigVersion) -> Self {
        Self {
            version,
            fingerprint: state.fingerprint_at(version),
        }
    }

    /// Checks that this base is part of the history of `state`, the state at the end of a log.
    ///
    /// Fails with `LogDiverged` if the log ends before the base or holds another change there.
    pub fn check(&self, state: &ConfigState) -> Result<()> {
        let (version, log_end) = (self.version, state.base());
        let diverged = |detail: String| {
            let advice = "if the log lost records, continue with quetzal rebase DIR";
            KindError::new(ErrorKind::LogDiverged, format!("{detail}; {advice}"))
        };
        if version > log_end {
            let detail = format!("the log ends at {log_end}, before {version}");
            return Err(diverged(format!("{detail}, which the folder holds")));
        }
        let checked = self
            .fingerprint
            .map_or(Ok(()), |fingerprint| state.check_fingerprint(&fingerprint));
        checked.map_err(|error| {
            diverged(format!(
                "{}, the folder was made from another log",
                error.detail
            ))
        })
    }
}

impl fmt::Display for FolderBase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.version)?;
        match &self.fingerprint {
            Some(fingerprint) => write!(f, " {fingerprint}"),
            None => Ok(()),
        }
    }
}

impl FromStr for FolderBase {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self> {
        let (version, fingerprint) = text.split_once(' ').unwrap_or((text, ""));
        Ok(Self {
            version: version.parse()?,
            fingerprint: (!fingerprint.is_empty())
                .then(|| fingerprint.parse())
                .transpose()?,
        })
    }
}

/// Contents of a folder, as read.
#[derive(Clone, Debug)]
pub struct ListFolder {
    /// The lists.
    pub lists: ConfigLists,
    /// State that the lists are based on.
    pub base: FolderBase,
    dir: PathBuf,
    plans_text: String,
    allowances_text: String,
}

/// Result of reading a folder.
#[derive(Clone, Debug)]
pub enum FolderContent {
    /// Both lists are valid.
    Valid(Box<ListFolder>),
    /// The lists contain these mistakes.
    Invalid(Vec<ListProblem>),
}

impl ListFolder {
    /// Reads both lists; prints all mistakes and fails if there are any.
    pub fn open(dir: &Path) -> Result<Self> {
        match read_folder(dir)? {
            FolderContent::Valid(folder) => Ok(*folder),
            FolderContent::Invalid(problems) => {
                for problem in &problems {
                    eprintln!("{problem}");
                }
                Err(invalid_lists(&problems))
            }
        }
    }

    /// Rewrites the files to contain `lists` and keeps their comments.
    ///
    /// Files that were edited since they were read are left unchanged; the
    /// operator can update them with `pull`.
    pub fn update(&self, lists: &ConfigLists, base: FolderBase) -> Result<()> {
        if !self.is_unchanged()? {
            let dir = self.dir.display();
            eprintln!("{dir} was edited in the meantime; run quetzal pull {dir}");
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

/// Fails with advice if `dir` is a file or contains no lists.
fn check_dir(dir: &Path) -> Result<()> {
    let path = dir.display();
    let detail = if dir.is_file() {
        format!("{path} is a file; name the folder that contains the lists")
    } else if !has_lists(dir) {
        format!(
            "{path} contains no {PLANS_FILE}; create the folder with \
             quetzal pull {path}, or quetzal init {path} if nothing has been published yet"
        )
    } else {
        return Ok(());
    };
    Err(KindError::new(ErrorKind::LocalFailed, detail))
}

/// Reads both lists and their base.
pub fn read_folder(dir: &Path) -> Result<FolderContent> {
    check_dir(dir)?;
    let plans_text = read(&dir.join(PLANS_FILE))?;
    let allowances_text = read(&dir.join(ALLOWANCES_FILE))?;
    let base = read_base(dir)?;
    let lists = match ConfigLists::parse(&plans_text, &allowances_text) {
        Ok(lists) => lists,
        Err(problems) => return Ok(FolderContent::Invalid(problems)),
    };
    Ok(FolderContent::Valid(Box::new(ListFolder {
        lists,
        base,
        dir: dir.to_owned(),
        plans_text,
        allowances_text,
    })))
}

/// Returns the error for lists with mistakes.
pub fn invalid_lists(problems: &[ListProblem]) -> KindError {
    let detail = match problems.len() {
        1 => "1 mistake in the lists".to_owned(),
        count => format!("{count} mistakes in the lists"),
    };
    KindError::new(ErrorKind::ListInvalid, detail)
}

/// Returns whether the folder contains at least one of the lists.
pub fn has_lists(dir: &Path) -> bool {
    dir.join(PLANS_FILE).exists() || dir.join(ALLOWANCES_FILE).exists()
}

/// Creates the folder with `lists`, which are based on `base`.
pub fn create_lists(dir: &Path, lists: &ConfigLists, base: FolderBase) -> Result<()> {
    let (plans, allowances) = lists.render();
    write_texts(dir, &plans, &allowances)?;
    write_base(dir, base)
}

/// Writes the text of both lists.
pub fn write_texts(dir: &Path, plans: &str, allowances: &str) -> Result<()> {
    fs::create_dir_all(dir).map_err(|error| io_error(dir, &error))?;
    write(&dir.join(PLANS_FILE), plans)?;
    write(&dir.join(ALLOWANCES_FILE), allowances)
}

/// Reads the base of the lists, or returns [`ConfigVersion::NONE`] if there is no base file.
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
    fs::read_to_string(file).map_err(|error| io_error(file, &error))
}

/// Replaces a file atomically.
fn write(file: &Path, text: &str) -> Result<()> {
    let temporary = file.with_extension("quetzal-draft");
    fs::write(&temporary, text).map_err(|error| io_error(&temporary, &error))?;
    fs::rename(&temporary, file).map_err(|error| io_error(file, &error))
}

fn io_error(file: &Path, error: &std::io::Error) -> KindError {
    let detail = format!("{}: {error}", file.display());
    KindError::new(ErrorKind::LocalFailed, detail)
}
