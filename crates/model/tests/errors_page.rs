//! The page of errors against the table in the code.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::Path;

use quetzal_model::ErrorKind;

fn page_table() -> String {
    let mut text = String::from(
        "| kind | HTTP status | not run | retryable | exit code | what the operator does |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    let word = |held: bool| if held { "yes" } else { "no" };
    for kind in ErrorKind::ALL {
        let row = kind.properties();
        writeln!(
            text,
            "| `{}` | {} | {} | {} | {} | {} |",
            row.name,
            row.status,
            word(row.not_run),
            word(row.retryable),
            row.exit_code,
            row.advice
        )
        .unwrap();
    }
    text
}

/// The page holds the table of the code; `QUETZAL_REWRITE_PAGES=1` writes it there.
#[test]
fn the_page_and_the_code_agree() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/ERRORS.md");
    let text = std::fs::read_to_string(&page).unwrap();
    let (before, rest) = text.split_once("<!-- table -->\n").unwrap();
    let (_, after) = rest.split_once("<!-- end -->\n").unwrap();
    let table = page_table();
    let wanted = format!("{before}<!-- table -->\n{table}<!-- end -->\n{after}");
    if std::env::var_os("QUETZAL_REWRITE_PAGES").is_some() {
        std::fs::write(&page, &wanted).unwrap();
        return;
    }
    assert!(text == wanted, "docs/ERRORS.md parts from the code");
}

#[test]
fn every_kind_has_a_name_status_exit_code_and_advice_of_its_own_kind() {
    let mut names = BTreeSet::new();
    for kind in ErrorKind::ALL {
        let row = kind.properties();
        assert!(names.insert(row.name), "{} stands twice", row.name);
        assert!(matches!(row.status, 202 | 400..=599), "{}", row.name);
        // 0 is success, 1 the command line, 12 a forced stop.
        assert!((2..=11).contains(&row.exit_code), "{}", row.name);
        assert!(row.advice.ends_with('.'), "{}", row.name);
        let kebab = |letter: char| letter.is_ascii_lowercase() || letter == '-';
        assert!(row.name.chars().all(kebab), "{}", row.name);
    }
}
