//! Texts nested so deeply that a recursive parser would overflow the stack.

use quetzal_plans::depth::{MAX_DEPTH, find_too_deep};
use quetzal_plans::{ConfigLists, lists};
use quickcheck::quickcheck;

/// Nesting depth that overflows the stack of a thread.
const EXCESSIVE_DEPTH: usize = 20_000;

#[test]
fn deeply_nested_lists_are_refused() {
    let (_, allowances) = lists::template();
    for bracket in ["[", "{\"a\":", "/* [ */ ["] {
        let text = bracket.repeat(EXCESSIVE_DEPTH);
        let problems = ConfigLists::parse(&text, &allowances).expect_err("too deep");
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        assert!(
            lines.iter().any(|line| line.contains("nested deeper")),
            "{lines:?}"
        );
        assert!(ConfigLists::parse(&allowances, &text).is_err());
    }
}

#[test]
fn brackets_in_strings_and_comments_are_not_counted() {
    let brackets = "[".repeat(MAX_DEPTH * 2);
    let text =
        format!("// {brackets}\n/* {brackets} */ {{\"{brackets}\\\"{brackets}\": '{brackets}'}}");
    assert_eq!(find_too_deep(&text), None);
}

#[test]
fn the_limit_is_exact() {
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    assert_eq!(find_too_deep(&nested(MAX_DEPTH)), None);
    assert_eq!(find_too_deep(&nested(MAX_DEPTH + 1)), Some(MAX_DEPTH));
    assert_eq!(find_too_deep(&nested(MAX_DEPTH).repeat(3)), None);
}

quickcheck! {
    fn any_text_can_be_checked(text: String) -> bool {
        find_too_deep(&text).is_none_or(|offset| offset < text.len())
    }
}
