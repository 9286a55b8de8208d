//! The settings for people: the printed list and the table of the page.
//!
//! Both come from [`TEXT_ROWS`] and [`NumberSettings::ROWS`], so that neither
//! can part from what the daemon reads.

use std::fmt::Write as _;

use serde_json::{Value, json};

use crate::settings::{DaemonSettings, NumberSettings, TEXT_ROWS};

impl DaemonSettings {
    /// Every setting with unit, default and range, one a line.
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

    /// The same for programs.
    pub fn help_json() -> Value {
        json!({ "texts": TEXT_ROWS, "numbers": NumberSettings::ROWS })
    }

    /// The same as a table of the page.
    pub fn page_table() -> String {
        let mut text = String::from(
            "| setting | unit or form | default | range | what it decides |\n\
             | --- | --- | --- | --- | --- |\n",
        );
        for row in table_rows() {
            let _ = writeln!(text, "| `{}` | {} |", row[0], row[1..].join(" | "));
        }
        text
    }
}

/// Name, unit, default, range and meaning of every setting.
fn table_rows() -> Vec<[String; 5]> {
    let texts = TEXT_ROWS.iter().map(|row| {
        let default = row.default.map_or("required".to_owned(), default_words);
        [row.name, row.form, &default, "", row.meaning].map(str::to_owned)
    });
    let numbers = NumberSettings::ROWS.iter().map(|row| {
        let range = format!("{} to {}", row.low, row.high);
        let default = default_words(row.default);
        [row.name, row.unit, &default, &range, row.meaning].map(str::to_owned)
    });
    texts.chain(numbers).collect()
}

fn default_words(default: impl std::fmt::Display) -> String {
    format!("default {default}")
}
