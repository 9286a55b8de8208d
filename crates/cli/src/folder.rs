//! The folder with the two lists and the version that they were pulled at.

use std::fs;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use model::{ConfigVersion, ErrorKind, KindError};
use plans::ListPair;
use plans::lists::{ALLOWANCES_FILE, PLANS_FILE};

use crate::config::Result;

/// File that remembers the version that the lists were last equal to.
const BASE_FILE: &str = ".quetzal-base";

/// The folder with the two lists.
#[derive(Bpaf, Clone, Debug)]
pub struct FolderArgs {
    /// Folder with plans.jsonc and allowances.jsonc
    #[bpaf(positional("DIR"), complete_shell(bpaf::ShellComp::Dir { mask: None }))]
    pub dir: PathBuf,
}

/// Reads both lists; prints every mistake and fails if there is one.
pub fn read_lists(dir: &Path) -> Result<ListPair> {
    let plans = read(&dir.join(PLANS_FILE))?;
    let allowances = read(&dir.join(ALLOWANCES_FILE))?;
    ListPair::parse(&plans, &allowances).map_err(|problems| {
        for problem in &problems {
            eprintln!("{problem}");
        }
        let count = problems.len();
        KindError::new(ErrorKind::ListInvalid, format!("{count} mistakes"))
    })
}

/// Writes both lists and remembers the version that they are equal to.
pub fn write_lists(dir: &Path, lists: &ListPair, base: ConfigVersion) -> Result<()> {
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

/// Whether the folder holds one of the lists already.
pub fn has_lists(dir: &Path) -> bool {
    dir.join(PLANS_FILE).exists() || dir.join(ALLOWANCES_FILE).exists()
}

/// The version that the lists were last equal to; none for a new folder.
pub fn read_base(dir: &Path) -> Result<ConfigVersion> {
    let file = dir.join(BASE_FILE);
    if !file.exists() {
        return Ok(ConfigVersion::NONE);
    }
    read(&file)?.trim().parse()
}

/// Remembers the version that the lists are equal to.
pub fn write_base(dir: &Path, base: ConfigVersion) -> Result<()> {
    write(&dir.join(BASE_FILE), &format!("{base}\n"))
}

fn read(file: &Path) -> Result<String> {
    fs::read_to_string(file).map_err(|error| failed(file, &error))
}

fn write(file: &Path, text: &str) -> Result<()> {
    fs::write(file, text).map_err(|error| failed(file, &error))
}

fn failed(file: &Path, error: &std::io::Error) -> KindError {
    KindError::new(
        ErrorKind::LocalFailed,
        format!("{}: {error}", file.display()),
    )
}
