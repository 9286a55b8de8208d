//! Runs one scripted review case: `review-case CASE FOLDER`, from the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the case runs without its disruption.

mod endless_health;
mod large_uploads;
mod other_writer;
mod platform;
mod poison_roll;
mod record;
mod renewed_leave;
mod requester;
mod server;
mod store;
mod traffic;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// Whether the rule was broken; an error if the case could not run.
pub type Verdict = Result<bool, String>;

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = match Record::create(&PathBuf::from(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format_args!("case {case}, trouble {trouble}"));
    let verdict = match case.as_str() {
        "endless-health" => endless_health::run(&record, trouble).await,
        "large-uploads" => large_uploads::run(&record, trouble).await,
        "renewed-leave" => renewed_leave::run(&record, trouble).await,
        "poison-roll" => poison_roll::run(&record, trouble).await,
        "other-writer" => other_writer::run(&record, trouble).await,
        other => Err(format!("unknown case {other}")),
    };
    match verdict {
        Ok(false) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(cause) => {
            record.say(format_args!("the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
