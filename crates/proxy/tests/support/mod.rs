//! The core of a daemon without peers, target or store.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderName, HeaderValue};
use mesh::{
    BudgetLimits, CallPriority, CallSafety, Destination, RouteKey, RouteRule, TargetNotice,
};
use model::{ByteCount, DaemonId, ErrorKind, KindError, LogOffset, SharedClock, SystemClock};
use quetzal_proxy::ProxySettings;
use quetzal_proxy::core::ProxyCore;
use quetzal_proxy::edge::{EdgeHeaders, EdgeProtocol};
use quetzal_proxy::message::CallHead;
use quetzal_proxy::store::{
    ConfigPage, FleetRecords, SharedStore, StoreFuture, StorePort, SuspectSlot,
};
use wire::WireLimits;

/// Timeout of operations that end without intervention.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a route for uploads with a single destination.
pub fn upload_rule() -> RouteRule {
    RouteRule {
        name: "upload".into(),
        key: RouteKey::of("upload"),
        host: "shop.example".into(),
        prefix: "/upload/".into(),
        destinations: [Destination {
            service: "studio".parse().expect("a name"),
            weight: 1,
        }]
        .into_iter()
        .collect(),
        safety: CallSafety::AtMostOnce,
        timeout: TEST_TIMEOUT,
        objective: Duration::from_secs(1),
        max_attempts: 2,
        priority: CallPriority(1),
        public: false,
    }
}

/// Returns the head of a request on `rule` that announces a body of `size` bytes.
pub fn call_head(rule: &RouteRule, size: usize) -> CallHead {
    CallHead {
        request_id: "r-1".into(),
        method: "POST".into(),
        path: "/upload/1".into(),
        headers: Vec::new(),
        body_size: ByteCount(size as u64),
        service: rule.destinations[0].service.clone(),
        organisation: None,
        caller_service: "catalog".parse().expect("a name"),
        route: rule.key,
        priority: rule.priority,
        safety: rule.safety,
        inner: false,
        repeat: false,
        remaining: TEST_TIMEOUT,
        objective: rule.objective,
        spent: Duration::ZERO,
        may_be_late: false,
        rejections_left: 0,
    }
}

/// Returns the core of a daemon without peers whose store is unavailable.
pub fn proxy_core() -> ProxyCore {
    core_over(Arc::new(UnavailableStore), SystemClock::shared())
}

/// Returns the core of a daemon without peers.
pub fn core_over(store: SharedStore, clock: SharedClock) -> ProxyCore {
    let address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let settings = ProxySettings {
        vm: "vm-1".parse().expect("a name"),
        domain: "domain-a".parse().expect("a name"),
        region: "region-1".parse().expect("a name"),
        domains: Vec::new(),
        service: "catalog".parse().expect("a name"),
        caller_address: address,
        peer_address: address,
        advertised_address: address,
        ready_address: address,
        report_address: address,
        metrics_address: address,
        target_address: address,
        store_address: address,
        link_bytes_per_s: 12.6e6 / 8.0,
        memory: ByteCount(110 << 20),
        max_fds: 4100,
        max_pipelined: 8,
        report_interval: Duration::from_secs(1),
        budget: BudgetLimits {
            ratio: 0.2,
            slack: 64.0,
            window: Duration::from_secs(10),
        },
        config_apply_limit: Duration::from_secs(2),
        grace_period: Duration::from_secs(6),
        key_revocation: None,
        quota: None,
        rollout: None,
    };
    ProxyCore::new(
        settings,
        edge_protocol(),
        store,
        clock,
        WireLimits::default(),
    )
    .expect("valid settings")
}

fn edge_protocol() -> EdgeProtocol {
    let name = HeaderName::from_static;
    EdgeProtocol {
        headers: EdgeHeaders {
            request_id: name("request-id"),
            remaining_ms: name("remaining"),
            signature: name("signature"),
            expected_target: name("expected"),
            target_name: name("target"),
            target_load: name("load"),
            not_run: name("not-run"),
            caller_service: name("caller"),
            organisation: name("organisation"),
            key: name("key"),
        },
        promises_not_run: |status| status == http::StatusCode::SERVICE_UNAVAILABLE,
        parse_control: |_, _, _| Ok(quetzal_proxy::edge::ControlCall::Ready),
        acknowledgement: "",
        parse_load: |_| None,
        read_notice: |_| TargetNotice::default(),
        read_key: |_| None,
        format_retry_after: |time| HeaderValue::from(time.as_secs()),
    }
}

/// Fake store that is unavailable.
#[derive(Debug)]
struct UnavailableStore;

/// Returns the error of an unavailable store.
fn unavailable<T: Send + 'static>() -> StoreFuture<'static, T> {
    let error = KindError::new(ErrorKind::LogUnavailable, "the store is unavailable");
    Box::pin(std::future::ready(Err(error)))
}

impl StorePort for UnavailableStore {
    fn newest_config(&self) -> StoreFuture<'_, ConfigPage> {
        unavailable()
    }

    fn next_config(&self, _: LogOffset, _: Duration) -> StoreFuture<'_, ConfigPage> {
        unavailable()
    }

    fn put_member(&self, _: DaemonId, _: Box<[u8]>) -> StoreFuture<'_, Option<mesh::StoreEra>> {
        unavailable()
    }

    fn drop_member(&self, _: DaemonId) -> StoreFuture<'_, ()> {
        unavailable()
    }

    fn put_suspect(&self, _: SuspectSlot, _: Box<[u8]>) -> StoreFuture<'_, ()> {
        unavailable()
    }

    fn fleet_records(&self) -> StoreFuture<'_, FleetRecords> {
        unavailable()
    }

    fn rollout_records(&self) -> StoreFuture<'_, quetzal_proxy::store::RolloutPage> {
        unavailable()
    }

    fn put_rollout(
        &self,
        _: mesh::RolloutRecord,
        _: LogOffset,
    ) -> StoreFuture<'_, Option<LogOffset>> {
        unavailable()
    }
}
