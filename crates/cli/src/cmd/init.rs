//! `quetzal init DIR`: writes a commented pair of example lists.

use std::process::ExitCode;

use bpaf::Bpaf;
use model::{ErrorKind, KindError};

use crate::config::Result;
use crate::folder::{FolderArgs, folder_args, has_lists, write_texts};
use crate::output::outln;

/// Arguments of `init`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct InitArgs {
    #[bpaf(external(folder_args))]
    folder: FolderArgs,
}

/// Writes the lists unless the folder already contains lists.
pub fn run(args: &InitArgs) -> Result<ExitCode> {
    let dir = &args.folder.dir;
    if has_lists(dir) {
        let dir = dir.display();
        let detail = format!("{dir} already contains lists; edit them, then: quetzal check {dir}");
        return Err(KindError::new(ErrorKind::LocalFailed, detail));
    }
    let (plans, allowances) = plans::lists::template();
    write_texts(dir, &plans, &allowances)?;
    let dir = dir.display();
    outln!("wrote plans.jsonc and allowances.jsonc to {dir}");
    outln!("edit them, then: quetzal check {dir} && quetzal publish {dir}");
    Ok(ExitCode::SUCCESS)
}
