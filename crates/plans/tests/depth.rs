//! Texts nested so deep that a parser would use up the stack.

use quetzal_plans::depth::{MAX_DEPTH, find_too_deep};
use quetzal_plans::{ConfigLists, lists};
use quickcheck::quickcheck;

/// Far beyond what a thread's stack holds.
const DEEP: usize = 20_000;

#[test]
fn a_list_nested_deep_is_refused_with_the_place() {
    let (_, allowances) = lists::template();
    for bracket in ["[", "{\"a\":", "/* [ */ ["] {
        let text = bracket.repeat(DEEP);
        let problems = ConfigLists::parse(&text, &allowances).expect_err("too deep");
        let told: Vec<String> = problems.iter().map(ToString::to_string).collect();
        assert!(
            told.iter().any(|told| told.contains("nested deeper")),
            "{told:?}"
        );
        assert!(ConfigLists::parse(&allowances, &text).is_err());
    }
}

#[test]
fn brackets_in_strings_and_comments_do_not_count() {
    let many = "[".repeat(MAX_DEPTH * 2);
    let text = format!("// {many}\n/* {many} */ {{\"{many}\\\"{many}\": '{many}'}}");
    assert_eq!(find_too_deep(&text), None);
}

#[test]
fn the_bound_is_exact() {
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    assert_eq!(find_too_deep(&nested(MAX_DEPTH)), None);
    assert_eq!(find_too_deep(&nested(MAX_DEPTH + 1)), Some(MAX_DEPTH));
    assert_eq!(find_too_deep(&nested(MAX_DEPTH).repeat(3)), None);
}

quickcheck! {
    fn any_text_is_judged(text: String) -> bool {
        find_too_deep(&text).is_none_or(|at| at < text.len())
    }
}
