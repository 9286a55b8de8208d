//! Simulation tests of at-most-once execution, with daemons, log, targets and callers in memory.

mod at_most_once;
mod failures;
mod sessions;
mod world;

use quetzal_once as once;
