//! Tests deltas of large configurations that change often and are sent over slow links.

mod support;

use std::sync::Arc;

use quetzal_mesh::{
    ActiveConfig, ConfigDelta, ConfigUpdate, MeshConfig, MeshTable, MeshVersion, RouteRule,
};
use quickcheck::quickcheck;
use support::{config, rule};

/// Number of routes of the largest deployments.
const ROUTES: usize = 1133;
/// Maximum size of a delta; at 7 Mbit/s, the slowest link, it takes 5 ms.
const DELTA_BYTES: usize = 4 << 10;

fn large_config(version: u64, changed: usize) -> MeshConfig {
    let mut routes: Vec<RouteRule> = (0..ROUTES)
        .map(|index| rule(&format!("route-{index:04}"), "catalog", 2))
        .collect();
    routes[changed].timeout *= 2;
    config(version, routes)
}

fn encoded_size(update: &ConfigUpdate) -> usize {
    let encoded = bincode::serde::encode_to_vec(update, bincode::config::standard());
    encoded.expect("the update is encodable").len()
}

fn config_of(version: u64, routes: &[(u8, u8)]) -> MeshConfig {
    let mut rules: Vec<RouteRule> = routes
        .iter()
        .map(|(name, priority)| rule(&format!("route-{name:03}"), "catalog", *priority))
        .collect();
    rules.sort_by(|left, right| left.name.cmp(&right.name));
    rules.dedup_by(|left, right| left.name == right.name);
    config(version, rules)
}

quickcheck! {
    fn a_delta_yields_the_newer_config(before: Vec<(u8, u8)>, after: Vec<(u8, u8)>) -> bool {
        let (base, newer) = (config_of(3, &before), config_of(8, &after));
        let delta = ConfigDelta::between(&base, &newer);
        delta.apply(&base).expect("the delta fits its base") == newer
    }
}

#[test]
fn a_follower_receives_only_the_changes() {
    let mut reader = ActiveConfig::default();
    let mut follower = ActiveConfig::default();
    for version in 1..=40 {
        reader
            .apply_config(large_config(version, version as usize))
            .expect("a valid configuration");
        let have = follower.version();
        let update = reader.update_for(have).expect("the follower is behind");
        assert!(have.is_none() || encoded_size(&update) <= DELTA_BYTES);
        follower
            .apply_update(update)
            .expect("a valid configuration");
        let configs = [&reader, &follower].map(|active| active.table().map(|table| table.config()));
        assert_eq!(configs[0], configs[1]);
    }
    assert!(reader.update_for(follower.version()).is_none());
}

#[test]
fn a_follower_far_behind_receives_the_complete_configuration() {
    let mut reader = ActiveConfig::default();
    for version in 1..=40 {
        reader
            .apply_config(large_config(version, 0))
            .expect("a valid configuration");
    }
    let update = reader
        .update_for(Some(MeshVersion(2)))
        .expect("the follower is behind");
    assert!(matches!(update, ConfigUpdate::Whole(_)));
}

#[test]
fn a_delta_for_another_version_is_rejected() {
    let mut reader = ActiveConfig::default();
    reader
        .apply_config(large_config(5, 0))
        .expect("a valid configuration");
    let delta = ConfigDelta::between(&large_config(4, 0), &large_config(6, 1));
    assert!(reader.apply_update(ConfigUpdate::Delta(delta)).is_err());
    assert_eq!(reader.version(), Some(MeshVersion(5)));
}

#[test]
fn versions_share_unchanged_routes() {
    let mut reader = ActiveConfig::default();
    reader
        .apply_config(large_config(1, 0))
        .expect("a valid configuration");
    let before = reader.table().map(|table| Arc::clone(table.config()));
    reader
        .apply_config(large_config(2, 1))
        .expect("a valid configuration");
    let routes = |config: &MeshConfig| config.routes.clone();
    let first = routes(&before.expect("a configuration is in force"));
    let table: &MeshTable = reader.table().expect("a configuration is in force");
    let pairs = first.iter().zip(&table.config().routes);
    let shared = pairs.filter(|(left, right)| Arc::ptr_eq(left, right));
    // Route 0 differs from the default in version 1, route 1 in version 2.
    assert_eq!(shared.count(), ROUTES - 2);
}
