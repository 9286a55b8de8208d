//! Parsing, validation and rendering of the two lists.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]

mod support;

use model::ServiceName;
use quetzal_plans::{ConfigLists, lists};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::template_lists;

/// Returns all problems of the given texts, one per line.
fn problems(plans: &str, allowances: &str) -> String {
    let problems = ConfigLists::parse(plans, allowances).unwrap_err();
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn template_has_three_services_and_agencies() {
    let lists = template_lists();
    let services: Vec<&str> = lists
        .allowances
        .services
        .keys()
        .map(ServiceName::as_str)
        .collect();
    assert_eq!(services, ["catalog", "deals", "studio"]);
    assert_eq!(lists.plans.customers.len(), 3);
}

#[test]
fn rendered_lists_parse_to_the_same_lists() {
    let lists = template_lists();
    let (plans, allowances) = lists.render();
    insta::assert_snapshot!("rendered_plans", plans);
    insta::assert_snapshot!("rendered_allowances", allowances);
    assert_eq!(ConfigLists::parse(&plans, &allowances).unwrap(), lists);
}

#[test]
fn order_and_comments_are_ignored() {
    let (plans, allowances) = lists::template();
    let reordered = r#"{"customers":{"agency-tarek":{"plan":"silver"},
        "agency-salma":{"plan":"gold"}, /* last */ "agency-nour":{"key_sha256":
        "e89e0ffd4e6ad1e8d28e4ae3f7c6ddb0bcd1a1ddd5aa2fd2b1dc6ed27ea5a8bd","plan":"gold"}}}"#;
    let mut lists = ConfigLists::parse(reordered, &allowances).unwrap();
    let expected = ConfigLists::parse(&plans, &allowances).unwrap();
    // The hash in this text is that of another key, so only the rest is compared.
    let name = "agency-nour".parse().unwrap();
    let key = expected.plans.customers[&name].key_sha256;
    lists.plans.customers.get_mut(&name).unwrap().key_sha256 = key;
    assert_eq!(lists.render(), expected.render());
}

#[test]
fn all_structural_problems_are_reported() {
    let plans = r#"{
  // Unknown field, missing plan, malformed hash, wrong type, duplicate name.
  "customers": {
    "acme": { "plan": "gold", "plam": "x" },
    "bolt": { "key_sha256": "00" },
    "cora": 7,
    "acme": { "plan": "gold" },
    "d d": { "plan": "" }
  },
  "extra": 1
}"#;
    let allowances = r#"{
  "services": {
    "deals": { "path": 1, "timeout_ms": -2, "kind": "bookings", "methods": { "GET": {} } },
    "studio": { "path": "/studio", "timeout_ms": 1.5, "methods": { "GET": { "idempotent": "yes" } } }
  },
  "plans": {
    "gold": { "deals": { "methods": "GET", "rate_per_s": "9" } },
    "gold": {}
  }
}"#;
    insta::assert_snapshot!(problems(plans, allowances));
}

#[test]
fn all_violations_across_both_lists_are_reported() {
    let plans = r#"{ "customers": {
  "acme": { "plan": "golden" },
  "bolt": { "plan": "gold" }
} }"#;
    let allowances = r#"{
  "services": {
    "album": { "path": "/album", "timeout_ms": 0, "methods": { "GET": { "idempotent": true } } },
    "deals": { "path": "/deals", "timeout_ms": 9, "methods": { "post": { "idempotent": false } } },
    "draft": { "path": "/deals/draft", "timeout_ms": 9, "methods": {} },
    "print": { "path": "/album", "timeout_ms": 9, "methods": { "GET": { "idempotent": true } } },
    "quote": { "path": "/a/../b", "timeout_ms": 9, "methods": { "GET": { "idempotent": true } } },
    "share": { "path": "share", "timeout_ms": 9, "methods": { "GET": { "idempotent": true } } }
  },
  "plans": {
    "gold": {
      "deals": { "methods": ["GET", "GET"], "rate_per_s": 0, "calls_at_once": 4294967295 },
      "payout": { "methods": [], "rate_per_s": 5, "calls_at_once": 5 }
    },
    "none": {}
  }
}"#;
    insta::assert_snapshot!(problems(plans, allowances));
}

#[test]
fn syntax_errors_are_reported_for_each_file() {
    insta::assert_snapshot!(problems("{ \"customers\": {", "// nothing\n"));
}

#[test]
fn a_rewrite_keeps_comments_and_layout() {
    let (plans, allowances) = lists::template();
    let mut lists = template_lists();
    lists.set_entry(&support::set_rate("gold", "deals", 75));
    lists.set_entry(&support::set_plan("agency-salma", None));
    lists.set_entry(&support::set_plan("agency-zeinab", Some("silver")));
    lists.set_entry(&quetzal_plans::EntryEdit {
        entry: support::allowance("silver", "deals"),
        after: None,
    });
    let (new_plans, new_allowances) = lists.rewrite(&plans, &allowances);
    assert_eq!(
        ConfigLists::parse(&new_plans, &new_allowances).unwrap(),
        lists
    );
    let diff = |old: &str, new: &str| {
        let diff = similar::TextDiff::from_lines(old, new);
        diff.unified_diff().context_radius(1).to_string()
    };
    insta::assert_snapshot!(diff(&plans, &new_plans) + &diff(&allowances, &new_allowances));
    let (same_plans, same_allowances) = template_lists().rewrite(&plans, &allowances);
    assert_eq!((same_plans, same_allowances), (plans, allowances));
}

#[test]
fn a_rewrite_of_malformed_texts_renders_the_lists() {
    let lists = template_lists();
    assert_eq!(lists.rewrite("{", "[]"), lists.render());
}

/// A template file from which a piece is removed, or moved to another position.
#[derive(Clone, Debug)]
struct DamagedText(String);

impl Arbitrary for DamagedText {
    fn arbitrary(g: &mut Gen) -> Self {
        let (plans, allowances) = lists::template();
        let text = if bool::arbitrary(g) {
            plans
        } else {
            allowances
        };
        let mut chars: Vec<char> = text.chars().collect();
        let start = usize::arbitrary(g) % chars.len();
        let end = (start + usize::arbitrary(g) % 40).min(chars.len());
        let piece: Vec<char> = chars.drain(start..end).collect();
        if bool::arbitrary(g) {
            let destination = usize::arbitrary(g) % (chars.len() + 1);
            chars.splice(destination..destination, piece);
        }
        Self(chars.into_iter().collect())
    }
}

#[test]
fn damaged_lists_are_refused_with_positions_or_round_trip() {
    fn holds(damaged: DamagedText) -> bool {
        let (plans, allowances) = lists::template();
        let text = damaged.0.as_str();
        [(text, allowances.as_str()), (plans.as_str(), text)]
            .into_iter()
            .all(
                |(plans, allowances)| match ConfigLists::parse(plans, allowances) {
                    Ok(lists) => {
                        let (plans, allowances) = lists.render();
                        ConfigLists::parse(&plans, &allowances) == Ok(lists)
                    }
                    Err(problems) => {
                        let has_position = |line: u32, column: u32| line >= 1 && column >= 1;
                        !problems.is_empty()
                            && problems.iter().all(|p| has_position(p.line, p.column))
                    }
                },
            )
    }
    QuickCheck::new()
        .tests(400)
        .quickcheck(holds as fn(DamagedText) -> bool);
}
