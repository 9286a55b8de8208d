//! Placeholder head.

fn main() {}
