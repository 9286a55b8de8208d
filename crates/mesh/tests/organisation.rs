//! Admission of keys, and the organisations of a configuration.

mod support;

use std::sync::Arc;
use std::time::Duration;

use model::{CallCount, CallRate, ErrorKind};
use quetzal_mesh::organisation::admit_key;
use quetzal_mesh::{
    ActiveConfig, CallPriority, ConfigDelta, KeyDigest, KeyFreshness, KeyIndex, MeshConfig,
    OrganisationRule, RequestQuota,
};
use support::{config, ms, rule};

fn organisation(name: &str, keys: &[&str], rate: f64) -> Arc<OrganisationRule> {
    Arc::new(OrganisationRule {
        name: name.parse().expect("a short name"),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: CallPriority(1),
        quota: Some(RequestQuota {
            rate: CallRate(rate),
            burst: CallCount(10),
        }),
    })
}

fn keyed_config(
    version: u64,
    organisations: impl Into<Option<Vec<Arc<OrganisationRule>>>>,
) -> MeshConfig {
    MeshConfig {
        organisations: organisations.into(),
        ..config(version, vec![rule("browse", "catalog", 1)])
    }
}

fn admit(
    index: &KeyIndex,
    key: Option<&str>,
    age: Option<Duration>,
    may_be_nested: bool,
) -> Result<String, ErrorKind> {
    let freshness = KeyFreshness::new(Some(Duration::from_secs(5)));
    let digest = key.map(|key| KeyDigest::of(key.as_bytes()));
    let admitted = admit_key(index, digest.as_ref(), freshness, age, may_be_nested);
    admitted
        .map(|found| found.name.to_string())
        .map_err(|error| error.kind)
}

#[test]
fn a_key_names_its_organisation() {
    let index = KeyIndex::build(&[
        organisation("north", &["a", "b"], 5.0),
        organisation("south", &["c"], 5.0),
    ]);
    let age = Some(ms(100));
    assert_eq!(admit(&index, Some("b"), age, false), Ok("north".to_owned()));
    assert_eq!(admit(&index, Some("c"), age, false), Ok("south".to_owned()));
    let unknown = Err(ErrorKind::CustomerUnknown);
    assert_eq!(admit(&index, Some("d"), age, false), unknown);
    assert_eq!(admit(&index, None, age, false), unknown);
}

// Guards against a nested call being told that it needs a key: after a restart the daemon does not
// know the run that made it.
#[test]
fn a_call_of_an_unknown_run_is_not_told_that_it_needs_a_key() {
    let index = KeyIndex::build(&[organisation("north", &["a"], 5.0)]);
    let refused = admit(&index, None, Some(ms(100)), true);
    assert_eq!(refused, Err(ErrorKind::ConfigStale));
}

// Guards against a revoked key that a daemon without news still admits.
#[test]
fn keys_are_admitted_only_while_the_configuration_is_proven() {
    let index = KeyIndex::build(&[organisation("north", &["a"], 5.0)]);
    let stale = Err(ErrorKind::ConfigStale);
    assert!(admit(&index, Some("a"), Some(ms(4700)), false).is_ok());
    assert_eq!(admit(&index, Some("a"), Some(ms(4750)), false), stale);
    assert_eq!(admit(&index, Some("a"), None, false), stale);
    // The key may have been added since.
    assert_eq!(admit(&index, Some("z"), None, false), stale);
    assert!(KeyFreshness::new(None).is_proven(None));
}

// Guards against a delta that leaves a removed key or organisation in force.
#[test]
fn a_delta_carries_changes_of_organisations() {
    let base = keyed_config(
        1,
        vec![
            organisation("east", &["e"], 5.0),
            organisation("north", &["a", "b"], 5.0),
            organisation("south", &["c"], 5.0),
        ],
    );
    let newer = keyed_config(
        2,
        vec![
            organisation("east", &["e"], 5.0),
            organisation("north", &["a"], 5.0),
            organisation("west", &["d"], 5.0),
        ],
    );
    let delta = ConfigDelta::between(&base, &newer);
    let changes = delta.organisations.as_ref().expect("organisations");
    assert_eq!(changes.changed.len(), 2);
    assert_eq!(delta.apply(&base).expect("the right base"), newer);

    let mut active = ActiveConfig::default();
    active.apply_config(base).expect("valid");
    let table = active.apply_config(newer).expect("valid").expect("newer");
    let keys = table.keys().expect("organisations");
    let found = |key: &str| keys.find(&KeyDigest::of(key.as_bytes())).is_some();
    assert!(found("a") && found("d") && found("e"));
    assert!(!found("b") && !found("c"));
}

// Guards against a delta after which requests need no key though the newer version requires them, or
// the other way round.
#[test]
fn a_delta_carries_whether_requests_need_keys() {
    let north = || vec![organisation("north", &["a"], 5.0)];
    let states = [None, Some(Vec::new()), Some(north())];
    for before in &states {
        for after in &states {
            let base = keyed_config(1, before.clone());
            let newer = keyed_config(2, after.clone());
            let delta = ConfigDelta::between(&base, &newer);
            assert_eq!(delta.apply(&base).expect("the right base"), newer);
            let mut active = ActiveConfig::default();
            active.apply_config(base).expect("valid");
            let table = active.apply_config(newer).expect("valid").expect("newer");
            assert_eq!(table.keys().is_some(), after.is_some());
        }
    }
}

#[test]
fn the_priority_of_an_organisation_goes_before_that_of_the_route() {
    let rank = |organisation, route| CallPriority(route).within(CallPriority(organisation));
    assert!(rank(0, 5) < rank(1, 0));
    assert!(rank(1, 0) < rank(1, 1));
    assert!(rank(0, 9000) < rank(1, 0), "large numbers do not overflow");
}

#[test]
fn a_digest_does_not_reveal_its_key() {
    let digest = KeyDigest::of(b"secret");
    assert_eq!(format!("{digest:?}"), "KeyDigest(..)");
}
