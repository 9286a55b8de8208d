//! The daemon beside each target: proxy, distributor and member.
