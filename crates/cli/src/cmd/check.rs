//! `quetzal check DIR`: checks the two lists without publishing them.

use std::process::ExitCode;

use bpaf::Bpaf;
use plans::ConfigLists;
use serde_json::json;

use crate::config::Result;
use crate::folder::{FolderArgs, FolderContent, folder_args, invalid_lists, read_folder};
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

/// Prints all mistakes, or the number of entries if there are none.
pub fn run(args: &CheckArgs) -> Result<ExitCode> {
    match read_folder(&args.folder.dir)? {
        FolderContent::Valid(folder) => {
            print_counts(&folder.lists, args.json)?;
            Ok(ExitCode::SUCCESS)
        }
        FolderContent::Invalid(problems) => {
            if args.json {
                print_json(&json!({ "problems": problems }))?;
            } else {
                for problem in &problems {
                    eprintln!("{problem}");
                }
            }
            Err(invalid_lists(&problems))
        }
    }
}

fn print_counts(lists: &ConfigLists, json: bool) -> Result<()> {
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
    outln!("no mistakes: {customers} customers, {plans} plans, {services} services");
    Ok(())
}
