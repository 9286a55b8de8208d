//! Runs one case of the review: `quetzal-review-3 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod fleet;
mod grey;
mod keys;
mod pipeline;
mod record;
mod server;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// Time after which a case is given up.
const CASE_TIMEOUT: Duration = Duration::from_secs(110);

/// Surroundings of a case.
pub struct CaseContext {
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Record of the case.
    pub record: Record,
}

/// Result of a case: whether the rule held.
pub type Outcome = std::io::Result<bool>;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: quetzal-review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let logs = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    if std::fs::create_dir_all(&logs).is_err() {
        return ExitCode::from(2);
    }
    let mut context = CaseContext {
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        folder: logs.clone(),
        record: Record::new(PathBuf::from(folder).join("record.txt")),
    };
    let running = async {
        match case.as_str() {
            "no-tenants" => keys::no_tenants(&mut context).await,
            "derived-id" => keys::derived_id(&mut context).await,
            "grey-server" => grey::grey_server(&mut context).await,
            "spaced-name" => keys::spaced_name(&mut context).await,
            "stopped-pipeline" => pipeline::stopped_pipeline(&mut context).await,
            _ => Err(std::io::Error::other("no such case")),
        }
    };
    let ended = tokio::time::timeout(CASE_TIMEOUT, running).await;
    let code = match ended {
        Ok(Ok(true)) => {
            context.record.note("the rule held");
            0
        }
        Ok(Ok(false)) => {
            context.record.note("the rule was broken");
            1
        }
        Ok(Err(error)) => {
            context.record.note(&format!("could not run: {error}"));
            2
        }
        Err(_) => {
            context.record.note("could not run: it took too long");
            2
        }
    };
    if std::env::var_os("KEEP").is_none() {
        drop(std::fs::remove_dir_all(&logs));
    }
    ExitCode::from(code)
}
