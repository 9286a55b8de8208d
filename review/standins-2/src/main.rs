//! Plays one scenario against real daemons on loopback.
//!
//! `scenario NAME RECORD`, from the repository's root. With `TROUBLE=0` in the environment the
//! scenario runs without its disruption. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the scenario could not run. `KEEP=1` keeps the daemons' logs.

mod caller;
mod fleet;
mod http;
mod machine;
mod record;
mod scenarios;
mod store;
mod target;

use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: scenario NAME RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = match Record::create(Path::new(&path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("scenario {name}, trouble {trouble}"));
    let (code, text) = match scenarios::play(&name, trouble, &record) {
        Ok(verdict) if verdict.broken => (1, format!("BROKEN: {}", verdict.detail)),
        Ok(verdict) => (0, format!("HELD: {}", verdict.detail)),
        Err(error) => (2, format!("could not run: {error}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
