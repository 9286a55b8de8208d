//! quetzal check DIR: checks the two lists; nothing is published.

use std::process::ExitCode;

use bpaf::Bpaf;
use plans::ConfigLists;
use serde_json::json;

use crate::config::Result;
use crate::folder::{FolderArgs, FolderContent, faulty, folder_args, read_folder};
use crate::output::{outln, print_json};

/// Arguments of `check`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct CheckArgs {
    /// Print JSON
    json: bool,
    #[bpaf(external(folder_args))]
    folder: FolderArgs,
}

/// Tells every mistake, or counts what the lists hold.
pub fn run(args: &CheckArgs) -> Result<ExitCode> {
    match read_folder(&args.folder.dir)? {
        FolderContent::Sound(folder) => {
            show_counts(&folder.lists, args.json)?;
            Ok(ExitCode::SUCCESS)
        }
        FolderContent::Faulty(problems) => {
            if args.json {
                print_json(&json!({ "problems": problems }))?;
            } else {
                for problem in &problems {
                    eprintln!("{problem}");
                }
            }
            Err(faulty(&problems))
        }
    }
}

fn show_counts(lists: &ConfigLists, json: bool) -> Result<()> {
    let customers = lists.plans.customers.len();
    let services = lists.allowances.services.len();
    let plans = lists.allowances.plans.len();
    if json {
        let counts = json!({
            "problems": [],
            "customers": customers,
            "services": services,
            "plans": plans,
        });
        return print_json(&counts);
    }
    outln!("in order: {customers} customers, {plans} plans, {services} services");
    Ok(())
}
