//! The daemon that runs next to each target: proxy, configuration distributor and cluster member.
//!
//! This crate connects the sans-I/O crates to sockets, timers and tasks. [`accept`] limits
//! HTTP connections, [`caller_listener`] and [`call`] serve callers, [`peer_listener`] serves
//! other daemons, [`local_targets`] runs calls on the targets of this daemon, [`operator`]
//! serves operators, and [`control`] drives distribution, membership and limits. State that
//! they share is in [`core`]; [`run`] starts and stops the daemon.

pub mod accept;
pub mod alarms;
pub mod answer;
pub mod body;
pub mod call;
pub mod caller_listener;
pub mod command;
pub mod control;
pub mod control_sender;
pub mod core;
pub mod counters;
pub mod crash_reports;
pub mod dispatch;
pub mod flight;
pub mod forward;
pub mod key_close;
pub mod key_control;
pub mod key_service;
pub mod keyed_calls;
pub mod local_targets;
pub mod log_jobs;
pub mod log_output;
pub mod once_state;
pub mod operator;
pub mod peer_listener;
pub mod peer_messages;
pub mod replica;
pub mod request;
pub mod run;
pub mod settings;
pub mod settings_page;
pub mod status;
pub mod target_client;
pub mod target_gate;
pub mod targets;
pub mod timeline;

pub use run::{RunningDaemon, StopOutcome};
pub use settings::DaemonSettings;
