//! Prints text and JSON to standard output.

use std::fmt;
use std::io::{self, Write};
use std::process;

use model::{ErrorKind, KindError};
use serde::Serialize;

use crate::config::Result;

/// Prints a line to standard output like `println!`, but exits quietly instead
/// of panicking if the pipe is closed, as in `quetzal history | head`.
macro_rules! outln {
    ($($arguments:tt)*) => {
        $crate::output::print_line(format_args!($($arguments)*))
    };
}
pub(crate) use outln;

/// Prints a line; exits with code 0 if that fails, as on a closed pipe.
pub fn print_line(line: fmt::Arguments<'_>) {
    let mut stdout = io::stdout().lock();
    if writeln!(stdout, "{line}").is_err() {
        process::exit(0);
    }
}

/// Prints `value` as a JSON document.
pub fn print_json(value: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| KindError::new(ErrorKind::LocalFailed, error.to_string()))?;
    outln!("{text}");
    Ok(())
}
