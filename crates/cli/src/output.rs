//! Printing facts as text or JSON.

use model::{ErrorKind, KindError};
use serde::Serialize;

use crate::config::Result;

/// Prints `facts` as one JSON document.
pub fn print_json(facts: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(facts)
        .map_err(|error| KindError::new(ErrorKind::LocalFailed, error.to_string()))?;
    println!("{text}");
    Ok(())
}
