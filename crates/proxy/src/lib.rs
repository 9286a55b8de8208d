//! A sidecar proxy that forwards requests between callers and targets.
//!
//! One daemon runs beside each target. The platform is accessed through ports
//! only: [`edge::EdgeProtocol`] names the headers and decodes what targets
//! send, [`store::StorePort`] is the persistent store. No name or format of the
//! platform occurs in this crate.
//!
//! A request passes these modules in order; they share [`core::ProxyCore`]:
//!
//! 1. [`outbound`] accepts it from a caller and finds its route; [`pipeline`] starts it early if it
//!    waits behind another one of its connection;
//! 2. [`relay`] sends it to the daemon beside a target and retries where that is allowed;
//! 3. [`inbound`] receives it there from the other daemon;
//! 4. [`desk`] admits it, and [`runner`] runs it at the target through [`target_client`].
//!
//! In the background run [`control`] (target reports and readiness),
//! [`config_watch`], [`membership`], [`probe`], [`suspects`], [`quota_exchange`] and [`metrics`].
//! [`run`] starts and stops everything.

pub mod answer_body;
pub mod answer_pump;
mod attempt_result;
pub mod body_buffer;
mod body_progress;
pub mod config_watch;
pub mod connection_gate;
pub mod control;
pub mod core;
pub mod desk;
pub mod edge;
pub mod head_limit;
pub mod inbound;
pub mod listener;
pub mod membership;
pub mod message;
pub mod metrics;
pub mod outbound;
pub mod peer_call;
pub mod pipeline;
pub mod probe;
pub mod quota_exchange;
pub mod relay;
pub mod reply;
pub mod rollout_watch;
pub mod run;
pub mod runner;
pub mod settings;
pub mod store;
pub mod suspects;
pub mod target_client;

pub use run::{ProxyParts, run_proxy};
pub use settings::ProxySettings;
