//! The way of a request through a daemon, and what the daemon needs for it.
//!
//! The platform is met through ports: [`edge::EdgeProtocol`] names the headers
//! and decodes what targets send, [`store::StorePort`] keeps what must last.
//! Nothing here knows a name or format of the platform.
//!
//! A request passes these modules in order, and none of them knows a later one
//! but through [`core::ProxyCore`]:
//!
//! 1. [`outbound`] accepts it from a caller and finds its route;
//! 2. [`relay`] sends it to the daemon beside a target, again if that is allowed;
//! 3. [`inbound`] takes it there from the other daemon;
//! 4. [`desk`] admits it, and [`runner`] runs it at the target through [`target_client`].
//!
//! Beside that run [`control`] (reports of the target, readiness),
//! [`config_watch`], [`membership`], [`probe`] and [`metrics`]. [`run`] starts and stops all.

pub mod answer_body;
pub mod config_watch;
pub mod control;
pub mod core;
pub mod desk;
pub mod edge;
pub mod inbound;
pub mod listener;
pub mod membership;
pub mod message;
pub mod metrics;
pub mod outbound;
pub mod peer_call;
pub mod probe;
pub mod relay;
pub mod reply;
pub mod run;
pub mod runner;
pub mod settings;
pub mod store;
pub mod target_client;

pub use run::{ProxyParts, run_proxy};
pub use settings::ProxySettings;
