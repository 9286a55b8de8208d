//! Pattern: a thousand routes, versions in quick succession, daemons on slow links.

mod support;

use std::sync::Arc;

use quetzal_mesh::{
    ActiveConfig, ConfigDelta, ConfigUpdate, MeshConfig, MeshTable, MeshVersion, RouteRule,
};
use quickcheck::quickcheck;
use support::{config, rule};

/// Routes of the grown deployments.
const ROUTES: usize = 1133;
/// Bytes that a version may take on the slowest link; 7 Mbit/s carry them in 5 ms.
const DELTA_BYTES: usize = 4 << 10;

fn many(version: u64, changed: usize) -> MeshConfig {
    let mut routes: Vec<RouteRule> = (0..ROUTES)
        .map(|index| rule(&format!("route-{index:04}"), "catalog", 2))
        .collect();
    routes[changed].timeout *= 2;
    config(version, routes)
}

fn bytes_of(update: &ConfigUpdate) -> usize {
    let encoded = bincode::serde::encode_to_vec(update, bincode::config::standard());
    encoded.expect("plain data").len()
}

fn from_names(version: u64, names: &[(u8, u8)]) -> MeshConfig {
    let mut rules: Vec<RouteRule> = names
        .iter()
        .map(|(name, priority)| rule(&format!("route-{name:03}"), "catalog", *priority))
        .collect();
    rules.sort_by(|left, right| left.name.cmp(&right.name));
    rules.dedup_by(|left, right| left.name == right.name);
    config(version, rules)
}

quickcheck! {
    fn a_delta_leads_to_the_whole(before: Vec<(u8, u8)>, after: Vec<(u8, u8)>) -> bool {
        let (base, newer) = (from_names(3, &before), from_names(8, &after));
        let delta = ConfigDelta::between(&base, &newer);
        delta.apply(&base).expect("its base") == newer
    }
}

#[test]
fn a_follower_is_sent_what_changed() {
    let mut keeper = ActiveConfig::default();
    let mut follower = ActiveConfig::default();
    for version in 1..=40 {
        keeper
            .offer(many(version, version as usize))
            .expect("sound");
        let have = follower.version();
        let update = keeper.update_for(have).expect("newer");
        assert!(have.is_none() || bytes_of(&update) <= DELTA_BYTES);
        follower.update(update).expect("sound");
        let held = [&keeper, &follower].map(|keeper| keeper.table().map(|table| table.config()));
        assert_eq!(held[0], held[1]);
    }
    assert!(keeper.update_for(follower.version()).is_none());
}

#[test]
fn a_follower_far_behind_is_sent_all() {
    let mut keeper = ActiveConfig::default();
    for version in 1..=40 {
        keeper.offer(many(version, 0)).expect("sound");
    }
    let update = keeper.update_for(Some(MeshVersion(2))).expect("newer");
    assert!(matches!(update, ConfigUpdate::Whole(_)));
}

#[test]
fn a_delta_on_another_version_changes_nothing() {
    let mut keeper = ActiveConfig::default();
    keeper.offer(many(5, 0)).expect("sound");
    let delta = ConfigDelta::between(&many(4, 0), &many(6, 1));
    assert!(keeper.update(ConfigUpdate::Delta(delta)).is_err());
    assert_eq!(keeper.version(), Some(MeshVersion(5)));
}

#[test]
fn versions_hold_what_they_share_once() {
    let mut keeper = ActiveConfig::default();
    keeper.offer(many(1, 0)).expect("sound");
    let before = keeper.table().map(|table| Arc::clone(table.config()));
    keeper.offer(many(2, 1)).expect("sound");
    let routes = |config: &MeshConfig| config.routes.clone();
    let first = routes(&before.expect("in force"));
    let table: &MeshTable = keeper.table().expect("in force");
    let pairs = first.iter().zip(&table.config().routes);
    let shared = pairs.filter(|(left, right)| Arc::ptr_eq(left, right));
    assert_eq!(shared.count(), ROUTES - 2);
}
