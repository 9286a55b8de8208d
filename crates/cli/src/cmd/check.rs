//! quetzal check DIR: checks the two lists; nothing is published.

use std::process::ExitCode;

use bpaf::Bpaf;
use serde_json::json;

use crate::config::Result;
use crate::folder::{FolderArgs, folder_args, read_lists};
use crate::output::print_json;

/// Arguments of `check`.
#[derive(Bpaf, Clone, Debug)]
pub struct CheckArgs {
    /// Print JSON
    json: bool,
    #[bpaf(external(folder_args))]
    folder: FolderArgs,
}

/// Reads both lists and counts what they hold.
pub fn run(args: &CheckArgs) -> Result<ExitCode> {
    let lists = read_lists(&args.folder.dir)?;
    let customers = lists.plans.customers.len();
    let services = lists.allowances.services.len();
    let plans = lists.allowances.plans.len();
    if args.json {
        print_json(&json!({"customers": customers, "services": services, "plans": plans}))?;
    } else {
        println!("in order: {customers} customers, {plans} plans, {services} services");
    }
    Ok(ExitCode::SUCCESS)
}
