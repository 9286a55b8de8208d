//! Sends a request to a target, and to another one where that is allowed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use mesh::lineage::CalledServices;
use mesh::{
    AttemptOutcome, AttemptPlan, CallSafety, EntryOutcome, NestedCallOutcome, NextStep, RouteRule,
};
use model::{DaemonId, ErrorKind};
use route::{CallOutcome, CallResult, PickedTarget, TargetLoad};
use smallvec::SmallVec;
use tokio::time::timeout;
use wire::BodyReceiver;

use crate::answer_body::{AnswerBody, MAX_BUFFERED_BYTES};
use crate::core::ProxyCore;
use crate::message::{CallAnswer, CallHead};
use crate::metrics::RequestOutcome;
use crate::peer_call::{PeerOutcome, call_peer};
use crate::reply::{CallerReply, ReplyBody, error_reply, target_reply};
use crate::runner::{TargetCall, TargetRunOutcome, run_call};

/// One in this many requests that end well is told of in the log.
const SAMPLED_PART: u64 = 128;

/// Part of its objective, one in this many, for which a request waits at a daemon that has
/// just started and knows no target yet.
const START_WAIT_PART: u32 = 8;

/// A request on its way out.
#[derive(Debug)]
pub struct RelayCall {
    /// Its head; the times in it are set for each attempt.
    pub head: CallHead,
    /// Its body.
    pub body: Bytes,
    /// Its route.
    pub rule: Arc<RouteRule>,
    /// When it arrived.
    pub since: Instant,
    /// When its caller stops waiting, or its route's timeout ends.
    pub deadline: Instant,
}

/// How a request ended.
#[derive(Debug)]
pub struct RelayOutcome {
    /// The answer.
    pub reply: CallerReply,
    /// Whether it was refused, or what it cost.
    pub end: EntryOutcome,
    /// Services that its last run called.
    pub called: CalledServices,
}

/// How one attempt ended, with the answer if there is one.
struct AttemptResult {
    end: AttemptOutcome,
    called: CalledServices,
    calls: NestedCallOutcome,
    reply: Option<CallerReply>,
    result: CallResult,
    waited: Duration,
    load: Option<TargetLoad>,
    detail: Box<str>,
}

/// The last answer of a target.
#[derive(Default)]
struct LastAnswer {
    reply: Option<CallerReply>,
    called: CalledServices,
    calls: NestedCallOutcome,
    /// Whether a target itself refused the request.
    shed: bool,
}

/// Sends `call` until it is answered; dropping the future gives it up everywhere.
pub async fn relay_call(core: &Arc<ProxyCore>, call: RelayCall) -> RelayOutcome {
    let service = call.head.service.clone();
    note_request(core, &call.head);
    let mut plan = AttemptPlan::new(&call.rule, call.deadline);
    let mut asked = SmallVec::<[DaemonId; 4]>::new();
    let mut last = LastAnswer::default();
    loop {
        let picked = pick_known(core, &call, &asked).await;
        let Some(ticket) = picked else {
            let kind = core.picker().no_target_error(&service).kind;
            let step = plan.exhausted(kind).not_before(core.time_to_join());
            return conclude(core, &call, step, last);
        };
        let daemon = ticket.view.daemon;
        asked.push(daemon);
        let rest = call.deadline.saturating_duration_since(core.clock.now());
        let attempting = attempt(core, &call, &ticket, plan.is_repeat());
        let mut attempt = match timeout(rest, attempting).await {
            Ok(attempt) => attempt,
            // Learned like a failure, so that a target that hangs is avoided.
            Err(_) => late(),
        };
        let now = core.clock.now();
        let outcome = CallOutcome {
            latency: now.saturating_duration_since(ticket.picked_at),
            waited: attempt.waited,
            result: attempt.result,
            load: attempt.load,
        };
        core.picker().finish(&ticket, &outcome);
        core.metrics
            .count_attempt(service.as_str(), end_word(attempt.end));
        drop(ticket);
        let step = if now >= call.deadline && attempt.end == AttemptOutcome::Broken {
            NextStep::Fail(ErrorKind::DeadlineExceeded)
        } else {
            plan.next(attempt.end, now, || {
                core.budget().spend(&service, call.head.inner, now)
            })
        };
        last.shed |= matches!(
            attempt.end,
            AttemptOutcome::Refused {
                reached_target: true,
                ..
            }
        );
        if attempt.end != AttemptOutcome::Answered {
            note_attempt(&call, daemon, &attempt, step);
        }
        if let Some(reply) = attempt.reply.take() {
            last.reply = Some(reply);
            last.called = attempt.called;
            last.calls = attempt.calls;
        }
        if step != NextStep::Another {
            return conclude(core, &call, step, last);
        }
    }
}

/// Counts a request in this daemon's share of repeats.
fn note_request(core: &ProxyCore, head: &CallHead) {
    let now = core.clock.now();
    if head.repeat {
        core.budget().charge(&head.service, now);
    } else {
        core.budget().earn(&head.service, now);
    }
}

/// Tells of an attempt that did not end the request.
fn note_attempt(call: &RelayCall, daemon: DaemonId, attempt: &AttemptResult, step: NextStep) {
    let load = attempt.load.unwrap_or_default();
    let (kind, arrived) = match attempt.end {
        AttemptOutcome::Refused {
            kind,
            reached_target: arrived,
            ..
        } => (kind.answer().name, arrived),
        _ => ("", true),
    };
    log::info!(
        request = &*call.head.request_id, route = &*call.rule.name, daemon:% = daemon,
        end = end_word(attempt.end), kind, arrived, next = step_word(step),
        cause = &*attempt.detail, running = load.in_flight.0, queued = load.queued.0;
        "attempt ended"
    );
}

/// The word of a decision in log lines.
fn step_word(step: NextStep) -> &'static str {
    match step {
        NextStep::Another => "another-target",
        NextStep::Deliver => "deliver",
        NextStep::Refuse { .. } => "refuse",
        NextStep::Fail(_) => "fail",
    }
}

/// The label of an attempt's end.
fn end_word(end: AttemptOutcome) -> &'static str {
    match end {
        AttemptOutcome::Answered => "answered",
        AttemptOutcome::ServerFailed | AttemptOutcome::CallRefused => "failed",
        AttemptOutcome::Refused {
            reached_target: false,
            ..
        } => "refused",
        AttemptOutcome::Refused {
            reached_target: true,
            ..
        } => "refused-by-target",
        AttemptOutcome::Broken => "broken",
    }
}

/// Picks a target. A daemon that has just started hears of others any moment, so a request
/// waits for that as long as its objective bears.
async fn pick_known(
    core: &ProxyCore,
    call: &RelayCall,
    asked: &[DaemonId],
) -> Option<PickedTarget> {
    let until = call.since + call.rule.objective / START_WAIT_PART;
    loop {
        // Taken before the look, so that what comes between them wakes it.
        let learned = core.routing_changed.notified();
        let picked = pick(core, call, asked);
        if picked.is_some() || !asked.is_empty() || !core.is_starting() {
            return picked;
        }
        let rest = until.saturating_duration_since(core.clock.now());
        if timeout(rest, learned).await.is_err() {
            return None;
        }
    }
}

fn pick(core: &ProxyCore, call: &RelayCall, asked: &[DaemonId]) -> Option<PickedTarget> {
    let mut picker = core.picker();
    match call.rule.safety {
        CallSafety::Idempotent => picker.pick(&call.head.service, asked),
        CallSafety::AtMostOnce => picker.pick_healthy_first(&call.head.service, asked),
    }
}

fn conclude(core: &ProxyCore, call: &RelayCall, step: NextStep, last: LastAnswer) -> RelayOutcome {
    let called = last.called;
    let (kind, retry_after) = match (step, last.reply) {
        (NextStep::Deliver, Some(reply)) => {
            let end = EntryOutcome::from_run(reply.status().is_server_error(), last.calls);
            let outcome = if reply.status().is_server_error() {
                RequestOutcome::Failed
            } else {
                RequestOutcome::Served
            };
            count(core, call, outcome);
            let failed = outcome == RequestOutcome::Failed;
            if failed || is_sampled(&call.head.request_id) {
                note_end(core, call, outcome.as_str(), None);
            }
            return RelayOutcome { reply, end, called };
        }
        (NextStep::Refuse { kind, retry_after }, _) => (refusal_kind(kind), Some(retry_after)),
        (NextStep::Fail(kind), _) => (kind, None),
        (NextStep::Deliver | NextStep::Another, _) => (ErrorKind::OutcomeUnknown, None),
    };
    note_end(core, call, kind.answer().name, retry_after);
    let outcome = match retry_after {
        Some(_) => RequestOutcome::Refused,
        None => RequestOutcome::Unknown,
    };
    count(core, call, outcome);
    core.metrics.count_error(kind);
    RelayOutcome {
        reply: error_reply(&core.edge, kind, retry_after),
        end: if retry_after.is_some() {
            EntryOutcome::from_refusal(last.shed)
        } else {
            EntryOutcome::Ran
        },
        called,
    }
}

/// Tells how a request ended, and what decided it.
fn note_end(core: &ProxyCore, call: &RelayCall, end: &str, retry_after: Option<Duration>) {
    let now = core.clock.now();
    let version = core.config().version().unwrap_or_default();
    log::info!(
        request = &*call.head.request_id, route = &*call.rule.name,
        service = call.head.service.as_str(), version:% = version, inner = call.head.inner, end,
        took_ms = now.saturating_duration_since(call.since).as_millis() as u64,
        left_ms = call.deadline.saturating_duration_since(now).as_millis() as u64,
        retry_after_ms = retry_after.unwrap_or_default().as_millis() as u64;
        "request ended"
    );
}

/// Whether a request that ended well is told of; the same ones on every daemon.
pub fn is_sampled(request_id: &str) -> bool {
    // Calls are sampled with the request that made them.
    let first = request_id.split('.').next().unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(first.as_bytes()).is_multiple_of(SAMPLED_PART)
}

fn count(core: &ProxyCore, call: &RelayCall, outcome: RequestOutcome) {
    let took = core.clock.now().saturating_duration_since(call.since);
    let head = &call.head;
    core.metrics
        .count_request(head.service.as_str(), head.inner, outcome, took);
}

/// A refusal for lack of time is one for lack of room: with a fresh deadline it may be served.
fn refusal_kind(kind: ErrorKind) -> ErrorKind {
    match kind {
        ErrorKind::DeadlineExceeded => ErrorKind::QueueFull,
        kind if kind.answer().status == 503 || kind == ErrorKind::PoisonRequest => kind,
        _ => ErrorKind::TargetAbsent,
    }
}

async fn attempt(
    core: &Arc<ProxyCore>,
    call: &RelayCall,
    ticket: &PickedTarget,
    repeat: bool,
) -> AttemptResult {
    let now = core.clock.now();
    let mut head = call.head.clone();
    head.repeat |= repeat;
    head.remaining = call.deadline.saturating_duration_since(now);
    head.spent += now.saturating_duration_since(call.since);
    if ticket.view.daemon == core.id {
        let own = TargetCall {
            head,
            body: call.body.clone(),
            since: now,
        };
        let end = run_call(core, own).await;
        return own_result(core, end);
    }
    let Some(address) = core.peers().get(&ticket.view.daemon).copied() else {
        return unsent("the daemon left the membership".into());
    };
    match call_peer(core, address, &head, call.body.clone()).await {
        PeerOutcome::Answered(answer, receiver) => peer_result(answer, receiver).await,
        PeerOutcome::NotRun(detail) => unsent(detail),
        PeerOutcome::Lost(detail) => broken(detail, CallResult::Lost, None),
    }
}

async fn peer_result(answer: CallAnswer, receiver: BodyReceiver) -> AttemptResult {
    match answer {
        CallAnswer::Answered {
            status,
            headers,
            called,
            calls,
            waited,
            load,
        } => match read_reply(receiver).await {
            Ok(body) => {
                let reply = target_reply(status, &headers, body);
                answered(status, reply, (called, calls), waited, load)
            }
            Err(error) => broken(error.detail, CallResult::Lost, Some(load)),
        },
        CallAnswer::Refused {
            kind,
            arrived,
            retry_after,
            load,
        } => refused(kind, arrived, retry_after, load),
        CallAnswer::Broken { detail, load } => broken(detail, CallResult::Failed, Some(load)),
        CallAnswer::Proceed | CallAnswer::Waiting | CallAnswer::Admitted => {
            broken("an answer came out of turn".into(), CallResult::Lost, None)
        }
    }
}

fn own_result(core: &ProxyCore, end: TargetRunOutcome) -> AttemptResult {
    let load = core.gate.load();
    match end {
        TargetRunOutcome::Answered(answer) => {
            let status = answer.status.as_u16();
            let body = match answer.body {
                AnswerBody::Whole(bytes) => ReplyBody::Whole(Some(bytes)),
                AnswerBody::Stream(stream) => ReplyBody::own(stream),
            };
            let reply = target_reply(status, &answer.headers, body);
            answered(
                status,
                reply,
                (answer.called, answer.calls),
                answer.waited,
                load,
            )
        }
        TargetRunOutcome::Refused(refusal) => {
            refused(refusal.kind, refusal.arrived, refusal.retry_after, load)
        }
        TargetRunOutcome::Broken(detail) => broken(detail, CallResult::Failed, Some(load)),
    }
}

/// Reads an answer whole, or its beginning if it is long.
async fn read_reply(mut receiver: BodyReceiver) -> model::Result<ReplyBody> {
    let mut held = BytesMut::new();
    while let Some(piece) = receiver.next().await {
        held.extend_from_slice(&piece?);
        if held.len() > MAX_BUFFERED_BYTES {
            return Ok(ReplyBody::Peer(Some(held.freeze()), receiver));
        }
    }
    Ok(ReplyBody::Whole(Some(held.freeze())))
}

fn answered(
    status: u16,
    reply: CallerReply,
    (called, calls): (CalledServices, NestedCallOutcome),
    waited: Duration,
    load: TargetLoad,
) -> AttemptResult {
    let failed = status >= 500;
    AttemptResult {
        called,
        calls,
        end: match (failed, calls) {
            (true, NestedCallOutcome::Ran) => AttemptOutcome::ServerFailed,
            (true, NestedCallOutcome::Shed | NestedCallOutcome::NoRoom) => {
                AttemptOutcome::CallRefused
            }
            (false, _) => AttemptOutcome::Answered,
        },
        reply: Some(reply),
        result: if failed {
            CallResult::Failed
        } else {
            CallResult::Done
        },
        waited,
        load: Some(load),
        detail: Box::default(),
    }
}

fn refused(
    kind: ErrorKind,
    arrived: bool,
    retry_after: Option<Duration>,
    load: TargetLoad,
) -> AttemptResult {
    AttemptResult {
        called: CalledServices::new(),
        calls: NestedCallOutcome::Ran,
        end: AttemptOutcome::Refused {
            kind,
            reached_target: arrived,
            retry_after,
        },
        reply: None,
        result: refusal_result(kind),
        waited: Duration::ZERO,
        load: Some(load),
        detail: Box::default(),
    }
}

/// What a refusal says of the target.
///
/// A gate that is full for one request may have room for a more urgent one, so
/// such a refusal teaches the load that came with it and nothing else.
fn refusal_result(kind: ErrorKind) -> CallResult {
    match kind {
        ErrorKind::QueueFull | ErrorKind::DeadlineExceeded | ErrorKind::PoisonRequest => {
            CallResult::Cancelled
        }
        kind => CallResult::NotRun(kind),
    }
}

/// The daemon beside the target was not reached.
fn unsent(detail: Box<str>) -> AttemptResult {
    AttemptResult {
        called: CalledServices::new(),
        calls: NestedCallOutcome::Ran,
        end: AttemptOutcome::Refused {
            kind: ErrorKind::PeerUnavailable,
            reached_target: false,
            retry_after: None,
        },
        reply: None,
        result: CallResult::Lost,
        waited: Duration::ZERO,
        load: None,
        detail,
    }
}

/// No answer came before the deadline.
fn late() -> AttemptResult {
    broken(
        "no answer before the deadline".into(),
        CallResult::Failed,
        None,
    )
}

fn broken(detail: Box<str>, result: CallResult, load: Option<TargetLoad>) -> AttemptResult {
    AttemptResult {
        called: CalledServices::new(),
        calls: NestedCallOutcome::Ran,
        end: AttemptOutcome::Broken,
        reply: None,
        result,
        waited: Duration::ZERO,
        load,
        detail,
    }
}
