//! The daemon beside each target.
fn main() {}
