//! Documentation of the settings: the printed list and the table in `docs/SETTINGS.md`.
//!
//! Both are generated from [`TEXT_ROWS`] and [`NumberSettings::ROWS`], so they always match
//! what the daemon reads.

use std::fmt::Write as _;

use serde_json::{Value, json};

use crate::settings::{DaemonSettings, NumberSettings, TEXT_ROWS};

impl DaemonSettings {
    /// Returns all settings with unit, default and range, one per line.
    pub fn help() -> String {
        let mut text = String::new();
        for row in table_rows() {
            let [name, unit, default, range, meaning] = row;
            let range = if range.is_empty() {
                range
            } else {
                format!(", {range}")
            };
            // Writing to a String cannot fail.
            let _ = writeln!(text, "{name:21}{unit:27}{default}{range}; {meaning}");
        }
        text
    }

    /// Returns the same list as JSON.
    pub fn help_json() -> Value {
        json!({ "texts": TEXT_ROWS, "numbers": NumberSettings::ROWS })
    }

    /// Returns the same list as a Markdown table.
    pub fn page_table() -> String {
        let mut text = String::from(
            "| setting | unit or form | default | range | meaning |\n\
             | --- | --- | --- | --- | --- |\n",
        );
        for row in table_rows() {
            let _ = writeln!(text, "| `{}` | {} |", row[0], row[1..].join(" | "));
        }
        text
    }
}

/// Returns name, unit, default, range and meaning of every setting.
fn table_rows() -> Vec<[String; 5]> {
    let texts = TEXT_ROWS.iter().map(|row| {
        let default = row.default.map_or("required".to_owned(), default_text);
        [row.name, row.form, &default, "", row.meaning].map(str::to_owned)
    });
    let numbers = NumberSettings::ROWS.iter().map(|row| {
        let range = format!("{} to {}", row.low, row.high);
        let default = default_text(row.default);
        [row.name, row.unit, &default, &range, row.meaning].map(str::to_owned)
    });
    texts.chain(numbers).collect()
}

fn default_text(default: impl std::fmt::Display) -> String {
    format!("default {default}")
}
