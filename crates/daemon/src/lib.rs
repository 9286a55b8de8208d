//! The daemon beside each target: proxy, distributor and member.
//!
//! Adapters around the decision crates: [`accept`] bounds connections, [`listener`] and [`call`] serve
//! callers, [`peers`] other daemons, [`beside`] the targets, [`operator`] the
//! staff; [`control`] drives distribution, membership and limits. What
//! adapters share is in [`core`], and [`run`] starts and stops it all.

pub mod accept;
pub mod alarms;
pub mod answer;
pub mod beside;
pub mod body;
pub mod call;
pub mod command;
pub mod control;
pub mod core;
pub mod counters;
pub mod courier;
pub mod crash_news;
pub mod dispatch;
pub mod flight;
pub mod forward;
pub mod gate;
pub mod key_close;
pub mod key_control;
pub mod key_desk;
pub mod key_service;
pub mod keyed;
pub mod listener;
pub mod log_jobs;
pub mod log_output;
pub mod operator;
pub mod peer;
pub mod peers;
pub mod replica;
pub mod request;
pub mod run;
pub mod settings;
pub mod settings_page;
pub mod status;
pub mod target_client;
pub mod targets;
pub mod timeline;

pub use run::{RunningDaemon, StopOutcome};
pub use settings::DaemonSettings;
