//! Compares `docs/ERRORS.md` with the table of error kinds.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::Path;

use quetzal_model::ErrorKind;

fn page_table() -> String {
    let mut text = String::from(
        "| kind | HTTP status | not run | retryable | exit code | what the operator does |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    let yes_or_no = |value: bool| if value { "yes" } else { "no" };
    for kind in ErrorKind::ALL {
        let row = kind.properties();
        writeln!(
            text,
            "| `{}` | {} | {} | {} | {} | {} |",
            row.name,
            row.status,
            yes_or_no(row.not_run),
            yes_or_no(row.retryable),
            row.exit_code,
            row.advice
        )
        .unwrap();
    }
    text
}

/// Fails if the page differs from the code; `QUETZAL_REWRITE_PAGES=1` rewrites the page instead.
#[test]
fn errors_page_matches_code() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/ERRORS.md");
    let text = std::fs::read_to_string(&page).unwrap();
    let (before, rest) = text.split_once("<!-- table -->\n").unwrap();
    let (_, after) = rest.split_once("<!-- end -->\n").unwrap();
    let table = page_table();
    let expected = format!("{before}<!-- table -->\n{table}<!-- end -->\n{after}");
    if std::env::var_os("QUETZAL_REWRITE_PAGES").is_some() {
        std::fs::write(&page, &expected).unwrap();
        return;
    }
    assert!(
        text == expected,
        "docs/ERRORS.md differs from the code; set QUETZAL_REWRITE_PAGES=1 to rewrite it"
    );
}

#[test]
fn error_properties_are_well_formed() {
    let mut names = BTreeSet::new();
    for kind in ErrorKind::ALL {
        let row = kind.properties();
        assert!(names.insert(row.name), "duplicate name {}", row.name);
        assert!(matches!(row.status, 202 | 400..=599), "{}", row.name);
        // Exit code 0 is success, 1 a command-line error and 12 a forced stop.
        assert!((2..=11).contains(&row.exit_code), "{}", row.name);
        assert!(row.advice.ends_with('.'), "{}", row.name);
        let is_kebab_case = |letter: char| letter.is_ascii_lowercase() || letter == '-';
        assert!(row.name.chars().all(is_kebab_case), "{}", row.name);
    }
}
