//! Resource usage of each role at full scale.
//!
//! The production state machines run under a fake clock at several small sizes
//! and at full scale, while bytes, messages, table sizes and log requests are
//! counted. A line fitted through the small sizes is compared with the count at
//! full scale, which reveals a role whose cost grows faster than linearly. The
//! sums are compared with a budget.
//!
//! `cargo bench --bench capacity` prints the tables of `docs/CAPACITY.md` and
//! fails if they differ from the page or exceed the budget; `-- --write`
//! rewrites the page. All counts are reproducible because of fixed seeds. The
//! crate exists only for this page and its bench.

pub mod budget;
pub mod costs;
pub mod figure;
pub mod model;
pub mod page;
pub mod slope;

mod call_costs;
#[path = "../../limits/benches/limits/fleet.rs"]
#[allow(dead_code, reason = "the limits bench uses more figures")]
mod fleet;
#[path = "../../spread/tests/harness/mod.rs"]
mod harness;
mod home_run;
mod lease_run;
mod limit_run;
#[path = "../../members/tests/fleet/mod.rs"]
mod member_fleet;
mod member_run;
mod permit_run;
#[path = "../../once/benches/keys/permits.rs"]
#[allow(dead_code, reason = "the keys bench uses more figures")]
mod permits;
mod plan_run;
#[path = "../../limits/benches/limits/scenario.rs"]
#[allow(dead_code, reason = "the limits bench uses more scenarios")]
mod scenario;
mod spread_run;
#[path = "../../limits/benches/limits/ways.rs"]
#[allow(dead_code, reason = "the limits bench compares more strategies")]
mod ways;
