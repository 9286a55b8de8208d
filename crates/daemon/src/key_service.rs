//! HTTP endpoints for idempotency keys, on the callers' address.
//!
//! - `POST /.quetzal/keys`: issues a key whose home is this daemon
//! - `POST /.quetzal/close`: permanently closes the key in the `Idempotency-Key` header
//!
//! Both require a customer's headers, as calls do, so a customer can close only its own
//! keys. Each customer has a fixed limit of requests, so that closed keys cannot fill the
//! key homes.

use std::sync::Arc;

use limits::{LimitTicket, PlanLimit};
use model::{CallCount, CallRate, CustomerName, ErrorKind, KindError};
use once::{CallKey, CloseVerdict};
use plans::RouteTable;
use route::TargetLoad;
use serde_json::{Value, json};

use crate::body::CallBody;
use crate::call::limit_refusal;
use crate::core::DaemonCore;
use crate::key_close::close_key;
use crate::keyed_calls::home_refusal;
use crate::local_targets::{Result, TargetAnswer};
use crate::peer_messages::{HeaderPair, ResponseHead};
use crate::request::CallRequest;

/// Prefix of the paths that the daemon answers itself.
const SERVICE_PATH: &str = "/.quetzal/";
/// Service name under which the limits count these requests.
const SERVICE_NAME: &str = ".quetzal";
/// Limit of one customer's requests to these endpoints over the whole fleet.
const SERVICE_LIMIT: PlanLimit = PlanLimit {
    rate: CallRate(1000.0),
    concurrency: CallCount(200),
};

/// Returns whether the daemon answers the call itself instead of a target.
pub fn is_key_call(call: &CallRequest) -> bool {
    call.path.starts_with(SERVICE_PATH)
}

/// Answers a call to one of the endpoints.
///
/// Kinds: `RouteUnknown`, `MethodUnknown`, `CustomerUnknown`, `KeyMissing`,
/// `RateExceeded`, `ConcurrencyExceeded`, and those of the key's home.
pub async fn serve_key_call(
    core: &Arc<DaemonCore>,
    table: &RouteTable,
    call: &CallRequest,
) -> Result<TargetAnswer> {
    let customer = table.customer(&call.customer);
    let customer = customer.filter(|entry| entry.verify_key(&call.secret));
    let unknown = "the customer is unknown or its key is wrong";
    let customer = customer.ok_or_else(|| KindError::new(ErrorKind::CustomerUnknown, unknown))?;
    let path = &call.path[SERVICE_PATH.len()..];
    model::ensure(
        matches!(path, "keys" | "close"),
        ErrorKind::RouteUnknown,
        "the only paths here are /.quetzal/keys and /.quetzal/close",
    )?;
    model::ensure(
        &*call.method == "POST",
        ErrorKind::MethodUnknown,
        "this path accepts only POST",
    )?;

    let service = SERVICE_NAME.parse()?;
    let admitted = core.limits().admit(&customer.name, &service, SERVICE_LIMIT);
    let _guard = TicketGuard {
        core: Arc::clone(core),
        ticket: Some(admitted.map_err(limit_refusal)?),
    };
    match path {
        "keys" => issue(core),
        _ => close(core, &customer.name, call).await,
    }
}

/// A limit ticket that is released even if the caller disconnects first.
struct TicketGuard {
    core: Arc<DaemonCore>,
    ticket: Option<LimitTicket>,
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.core.limits().release(ticket);
        }
    }
}

fn issue(core: &DaemonCore) -> Result<TargetAnswer> {
    core.counters.count("keys-issued");
    let key = core.keys.issue()?;
    Ok(json_answer(&json!({ "key": key.to_string() })))
}

async fn close(
    core: &Arc<DaemonCore>,
    customer: &CustomerName,
    call: &CallRequest,
) -> Result<TargetAnswer> {
    core.counters.count("keys-closed");
    let missing = "the Idempotency-Key header with the key to close is missing";
    let text = call.key.as_deref();
    let text = text.ok_or_else(|| KindError::new(ErrorKind::KeyMissing, missing))?;
    let key: CallKey = text.parse()?;
    core.settings.untimed_keys.check(&key)?;
    let key_text = key.to_string();
    let verdict = close_key(core, customer, key).await;
    let (outcome, status) = match verdict {
        CloseVerdict::NeverRan => ("never-ran", None),
        CloseVerdict::Running => ("running", None),
        // Zero means that the status is no longer known.
        CloseVerdict::Ran(status) => ("ran", Some(status).filter(|status| *status != 0)),
        CloseVerdict::MayHaveRun => ("may-have-run", None),
        CloseVerdict::Refused(refusal) => return Err(home_refusal(refusal)),
    };
    let body = json!({ "key": key_text, "outcome": outcome, "status": status });
    Ok(json_answer(&body))
}

fn json_answer(body: &Value) -> TargetAnswer {
    let content_type = HeaderPair {
        name: "content-type".into(),
        value: Box::from(&b"application/json"[..]),
    };
    TargetAnswer {
        head: ResponseHead {
            status: 200,
            headers: vec![content_type],
            load: TargetLoad::default(),
            waited: std::time::Duration::ZERO,
        },
        body: CallBody::from_bytes(body.to_string().into_bytes()),
    }
}
