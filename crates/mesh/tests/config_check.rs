//! Checks of a configuration before it is published.

mod support;

use std::sync::Arc;
use std::time::Duration;

use model::{CallCount, CallRate};
use quetzal_mesh::config_check::{
    ChangeKind, ConfigChange, ConfigFinding, FindingSeverity, check_config, check_successor,
    compare_configs,
};
use quetzal_mesh::{
    CallPriority, KeyDigest, MeshConfig, OrganisationRule, RequestQuota, RouteRule,
};
use support::{config, rule};

/// A change that makes a route faulty.
type RouteChange = fn(&mut RouteRule);

fn organisation(name: &str, keys: &[&str], rate: f64) -> Arc<OrganisationRule> {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
    Arc::new(OrganisationRule {
        name: name.parse().expect("a short name"),
        keys: keys.collect(),
        priority: CallPriority(1),
        quota: Some(RequestQuota {
            rate: CallRate(rate),
            burst: CallCount(0),
        }),
    })
}

fn route(name: &str, change: impl Fn(&mut RouteRule)) -> RouteRule {
    let mut route = rule(name, "catalog", 1);
    route.prefix = format!("/{name}/").into();
    change(&mut route);
    route
}

fn texts(findings: &[ConfigFinding]) -> Vec<String> {
    findings.iter().map(ToString::to_string).collect()
}

fn problems(routes: Vec<RouteRule>) -> Vec<String> {
    texts(&check_config(&config(1, routes)))
}

// Guards against findings for a configuration that is in order.
#[test]
fn a_sound_configuration_has_no_findings() {
    let sound = MeshConfig {
        organisations: Some(vec![
            organisation("north", &["a", "b"], 5.0),
            organisation("south", &["c"], 5.0),
        ]),
        ..config(1, vec![route("browse", |_| {}), route("order", |_| {})])
    };
    assert_eq!(texts(&check_config(&sound)), Vec::<String>::new());
}

// Guards against routes that are published although no request can match them.
#[test]
fn routes_that_never_match_are_found() {
    let cases: [(&str, RouteChange); 4] = [
        ("the host is empty", |route| route.host = "".into()),
        ("this host has one", |route| {
            route.host = "a.example:80".into();
        }),
        ("start with a slash", |route| {
            route.prefix = "browse/".into();
        }),
        ("contains a query", |route| {
            route.prefix = "/browse/?a/".into();
        }),
    ];
    for (problem, change) in cases {
        let found = problems(vec![route("browse", change)]);
        assert_eq!(found.len(), 1, "{found:?}");
        assert!(
            found[0].starts_with("error: route browse: never matches"),
            "{found:?}"
        );
        assert!(found[0].contains(problem), "{found:?}");
    }
    let same = |route: &mut RouteRule| route.prefix = "/same/".into();
    let found = problems(vec![route("browse", same), route("order", same)]);
    let expected = "warning: route order: never matches: route browse has the same host and prefix";
    assert_eq!(found, [expected]);
}

// Guards against limits that contradict each other, and entries that fail for every request.
#[test]
fn contradictions_are_found() {
    let cases: [(&str, RouteChange); 5] = [
        ("error: route browse: the timeout is 0", |route| {
            route.timeout = Duration::ZERO;
            route.objective = Duration::ZERO;
        }),
        ("error: route browse: allows no attempt", |route| {
            route.max_attempts = 0;
        }),
        ("error: route browse: all services have weight 0", |route| {
            route.destinations[0].weight = 0;
        }),
        (
            "warning: route browse: the latency objective 3s is above the timeout 2s",
            |route| {
                route.timeout = Duration::from_secs(2);
                route.objective = Duration::from_secs(3);
            },
        ),
        (
            "warning: route browse: public has no effect: requests need no key",
            |route| route.public = true,
        ),
    ];
    for (expected, change) in cases {
        assert_eq!(problems(vec![route("browse", change)]), [expected]);
    }
    let unknown = route("browse", |route| {
        route.destinations[0].service = "ghost".parse().expect("a name");
    });
    let mut lacking = config(1, vec![unknown, route("order", |_| {})]);
    lacking
        .services
        .retain(|rule| rule.name.as_str() == "catalog");
    let found = texts(&check_config(&lacking));
    assert_eq!(found, ["error: route browse: service ghost does not exist"]);
}

// Guards against keys that are given to a second organisation, which never gets their requests.
#[test]
fn keys_and_quotas_without_effect_are_found() {
    let keyed = MeshConfig {
        organisations: Some(vec![
            organisation("east", &[], 5.0),
            organisation("north", &["a"], 5.0),
            organisation("south", &["b", "a"], 0.5),
        ]),
        ..config(1, vec![route("browse", |_| {})])
    };
    let expected = [
        "error: organisation south: key 2 never matches: it belongs to north too",
        "warning: organisation east: never matches: it has no key",
        "warning: organisation south: less than one request a second and no burst",
    ];
    assert_eq!(texts(&check_config(&keyed)), expected);
}

// Guards against differences that are not shown, and keys that are.
#[test]
fn differences_from_the_version_in_force_are_shown() {
    let before = MeshConfig {
        organisations: Some(vec![organisation("north", &["a"], 5.0)]),
        ..config(7, vec![route("browse", |_| {}), route("order", |_| {})])
    };
    let mut after = MeshConfig {
        organisations: Some(vec![organisation("north", &["secret"], 9.0)]),
        ..config(
            7,
            vec![
                route("browse", |route| route.timeout = Duration::from_secs(9)),
                route("pay", |_| {}),
            ],
        )
    };
    after.limits.max_body_bytes = 5;
    let found = check_successor(&after, &before);
    assert_eq!(found[0].severity, FindingSeverity::Error);
    let changes = compare_configs(&before, &after);
    let entries: Vec<(ChangeKind, &str)> = changes
        .iter()
        .map(|change: &ConfigChange| (change.kind, &*change.entry))
        .collect();
    let expected = [
        (ChangeKind::Changed, "route browse"),
        (ChangeKind::Removed, "route order"),
        (ChangeKind::Added, "route pay"),
        (ChangeKind::Changed, "organisation north"),
        (ChangeKind::Changed, "limits"),
    ];
    assert_eq!(entries, expected);
    let timeout = &changes[0].fields;
    assert!(
        timeout.len() == 1 && timeout[0].ends_with("-> 9s"),
        "{timeout:?}"
    );
    let fields = ["quota 5 burst 0 -> 9 burst 0", "keys 1 added, 1 removed"];
    assert_eq!(
        changes[3]
            .fields
            .iter()
            .map(|text| &**text)
            .collect::<Vec<_>>(),
        fields
    );
    assert!(compare_configs(&before, &before).is_empty());
}

// Guards against a version that takes away the last key, or the need for one, without a word.
#[test]
fn a_change_of_whether_requests_need_keys_is_shown() {
    let with = |organisations| MeshConfig {
        organisations,
        ..config(1, vec![route("browse", |_| {})])
    };
    let keyed = with(Some(vec![organisation("north", &["a"], 5.0)]));
    let emptied = with(Some(Vec::new()));
    let open = with(None);
    let refused = "error: organisations: no key is valid, so every request on a route that is not public is refused";
    assert_eq!(texts(&check_config(&emptied)), [refused]);
    assert!(check_config(&open).is_empty());
    let dropped = "warning: organisations: requests need no key any more; to remove all organisations, publish an empty table";
    let version_note = "error: version: 1 is not above 1, which is in force, and would be ignored";
    assert_eq!(
        texts(&check_successor(&open, &keyed)),
        [version_note, dropped]
    );
    assert_eq!(texts(&check_successor(&emptied, &keyed)), [version_note]);
    let texts_of = |before, after| {
        let changes = compare_configs(before, after);
        let text = |change: &ConfigChange| {
            format!(
                "{} {} {}",
                change.kind,
                change.entry,
                change.fields.join(";")
            )
        };
        changes.iter().map(text).collect::<Vec<_>>()
    };
    let removed = "removed organisation north ";
    assert_eq!(texts_of(&keyed, &emptied), [removed]);
    let loosened = "changed keys rule required -> not required";
    assert_eq!(texts_of(&keyed, &open), [removed, loosened]);
    assert_eq!(texts_of(&emptied, &open), [loosened]);
}
