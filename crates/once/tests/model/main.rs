//! At most once on a small model of daemons, log, targets and callers.

mod at_most_once;
mod failures;
mod sessions;
mod world;

use quetzal_once as once;
