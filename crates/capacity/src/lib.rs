//! What each role costs at the target's size.
//!
//! The real state machines of every area run under a fake clock at small
//! sizes and at the target's; bytes, messages, tables and log requests are
//! counted. Through the small sizes goes a straight line, whose value at the
//! target's size is held against the count there: a role that grows faster
//! than its line shows at once. The sums are compared with the budget.
//!
//! `cargo bench --bench capacity` prints the tables that `docs/CAPACITY.md`
//! holds and fails when they part or a budget is exceeded; with `-- --write`
//! it rewrites the page. All counts follow from seeds. Nothing is embedded
//! from here: the crate exists for the page and its bench.

pub mod budget;
pub mod costs;
pub mod figure;
pub mod model;
pub mod page;
pub mod slope;

mod call_costs;
#[path = "../../limits/benches/limits/fleet.rs"]
#[allow(dead_code, reason = "the bench of limits reads more figures")]
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
#[allow(dead_code, reason = "the bench of keys reads more figures")]
mod permits;
mod plan_run;
#[path = "../../limits/benches/limits/scenario.rs"]
#[allow(dead_code, reason = "the bench of limits has more scenarios")]
mod scenario;
mod spread_run;
#[path = "../../limits/benches/limits/ways.rs"]
#[allow(dead_code, reason = "the bench of limits compares more ways")]
mod ways;
