//! Sends a request to a target and retries it at another one where that is allowed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use mesh::lineage::CalledServices;
use mesh::{
    AttemptOutcome, AttemptPlan, CallSafety, EntryOutcome, NestedCallOutcome, NextStep, RouteRule,
};
use model::{DaemonId, ErrorKind};
use route::{BusyTargets, CallOutcome, CallResult, PickedTarget};
use smallvec::SmallVec;
use tokio::time::timeout;
use wire::BodyReceiver;

use crate::answer_body::{AnswerBody, MAX_BUFFERED_BYTES};
use crate::answer_pump::{AnswerPieces, AnswerSource};
use crate::attempt_result::{AttemptResult, answered, broken, deadline_passed, refused, unsent};
use crate::core::ProxyCore;
use crate::message::{CallAnswer, CallHead};
use crate::metrics::RequestOutcome;
use crate::peer_call::{PeerOutcome, call_peer};
use crate::reply::{CallerReply, ReplyBody, error_reply, target_reply};
use crate::runner::{TargetCall, TargetRunOutcome, is_answer_status, run_call};
use crate::suspects::ask_suspects;

/// One in this many successful requests is logged.
const SAMPLING_INTERVAL: u64 = 128;

/// Divisor of the latency objective: a request waits this fraction of it at a daemon that has
/// just started and knows no target yet.
const START_WAIT_DIVISOR: u32 = 8;

/// Maximum size of the body of a request that a busy target may reject, since the body is then
/// sent again.
const MAX_REJECTABLE_BODY: usize = 4 << 10;

/// A request to forward to a target.
#[derive(Debug)]
pub struct RelayCall {
    /// Head of the request; the times in it are set for each attempt.
    pub head: CallHead,
    /// Body of the request.
    pub body: Bytes,
    /// Route of the request.
    pub rule: Arc<RouteRule>,
    /// Time at which it arrived.
    pub since: Instant,
    /// Time at which the caller stops waiting or the route's timeout ends, whichever is earlier.
    pub deadline: Instant,
}

/// Result of forwarding a request.
#[derive(Debug)]
pub struct RelayOutcome {
    /// Reply for the caller.
    pub reply: CallerReply,
    /// Outcome for the entry throttle and for the run that made the request.
    pub outcome: EntryOutcome,
    /// Services that the last run called.
    pub called: CalledServices,
}

/// Last answer of a target among all attempts.
#[derive(Default)]
struct LastAnswer {
    reply: Option<CallerReply>,
    called: CalledServices,
    calls: NestedCallOutcome,
    /// Whether any target itself refused the request.
    refused_by_target: bool,
    /// Whether any gate refused the request for lack of capacity.
    lacked_capacity: bool,
    /// Whether any gate refused it for a reason that concerns no other request.
    was_unsuited: bool,
}

impl LastAnswer {
    /// Records why an attempt was refused.
    fn record_refusal(&mut self, kind: ErrorKind, reached_target: bool) {
        if reached_target {
            self.refused_by_target = true;
        } else if concerns_request_only(kind) {
            self.was_unsuited = true;
        } else {
            self.lacked_capacity = true;
        }
    }

    /// Returns whether a request that is refused with `kind` would be refused at any load.
    fn is_refused_at_any_load(&self, kind: ErrorKind) -> bool {
        let was_unsuited = self.was_unsuited || concerns_request_only(kind);
        self.refused_by_target || was_unsuited && !self.lacked_capacity
    }
}

/// Sends `call` until it is answered or may not be retried. Dropping the future cancels the
/// request everywhere.
pub async fn relay_call(core: &Arc<ProxyCore>, call: RelayCall) -> RelayOutcome {
    let service = call.head.service.clone();
    update_budget(core, &call.head);
    let mut plan = AttemptPlan::new(&call.rule, call.deadline);
    let mut tried = SmallVec::<[DaemonId; 4]>::new();
    let mut busy = BusyTargets::default();
    let mut last = LastAnswer::default();
    if is_stopped(core, &call) {
        let step = plan.exhausted(ErrorKind::PoisonRequest);
        return conclude(core, &call, step, last);
    }
    loop {
        let is_last = plan.rejections_left() == 0;
        let picked = pick_or_wait(core, &call, &tried, &busy, is_last).await;
        let Some(target) = picked else {
            let kind = core.picker().no_target_error(&service).kind;
            let step = plan.exhausted(kind).not_before(core.time_to_join());
            return conclude(core, &call, step, last);
        };
        let daemon = target.view.daemon;
        let may_reject = target.may_reject && call.body.len() <= MAX_REJECTABLE_BODY;
        let rejections_left = if may_reject {
            plan.rejections_left()
        } else {
            0
        };
        let remaining = call.deadline.saturating_duration_since(core.clock.now());
        let attempting = attempt(core, &call, &target, plan.is_repeat(), rejections_left);
        let mut attempt = match timeout(remaining, attempting).await {
            Ok(attempt) => attempt,
            // Counts as a failure of the target, so that one that hangs is avoided.
            Err(_) => deadline_passed(),
        };
        let now = core.clock.now();
        let outcome = CallOutcome {
            latency: now.saturating_duration_since(target.picked_at),
            waited: attempt.waited,
            result: observed_result(core, target.picked_at, attempt.result),
            load: attempt.load,
        };
        core.picker().finish(&target, &outcome);
        core.metrics
            .count_attempt(service.as_str(), attempt_label(attempt.outcome));
        if attempt.outcome == AttemptOutcome::Busy {
            busy.push(&target.view);
        } else {
            busy = BusyTargets::default();
            tried.push(daemon);
        }
        drop(target);
        let step = if now >= call.deadline && attempt.outcome == AttemptOutcome::Broken {
            NextStep::Fail(ErrorKind::DeadlineExceeded)
        } else {
            plan.next(attempt.outcome, now, || {
                core.budget().spend(&service, call.head.inner, now)
            })
        };
        if is_poison_refusal(attempt.outcome) && daemon != core.id {
            core.tasks.spawn(ask_suspects(Arc::clone(core), daemon));
        }
        if let AttemptOutcome::Refused {
            kind,
            reached_target,
            ..
        } = attempt.outcome
        {
            last.record_refusal(kind, reached_target);
        }
        if !matches!(
            attempt.outcome,
            AttemptOutcome::Answered | AttemptOutcome::Busy
        ) {
            log_attempt(&call, daemon, &attempt, step);
        }
        if let Some(reply) = attempt.reply.take() {
            last.reply = Some(reply);
            last.called = attempt.called;
            last.calls = attempt.calls;
        }
        if step != NextStep::TryAnother {
            return conclude(core, &call, step, last);
        }
    }
}

/// Charges the retry budget for a nested call of a repeated run, and credits it for any other
/// request.
fn update_budget(core: &ProxyCore, head: &CallHead) {
    let now = core.clock.now();
    if head.repeat {
        core.budget().charge(&head.service, now);
    } else {
        core.budget().earn(&head.service, now);
    }
}

/// Returns whether the request is known to crash targets. The daemon beside the target checks that
/// too, but it may have started later and not know of the request.
fn is_stopped(core: &ProxyCore, call: &RelayCall) -> bool {
    let detector = core.poison();
    // Without suspects the body need not be hashed.
    detector.has_suspects() && detector.check(call.head.fingerprint(&call.body)).is_err()
}

/// Logs an attempt that the target did not answer successfully.
fn log_attempt(call: &RelayCall, daemon: DaemonId, attempt: &AttemptResult, step: NextStep) {
    let load = attempt.load.unwrap_or_default();
    let (kind, arrived) = match attempt.outcome {
        AttemptOutcome::Refused {
            kind,
            reached_target: arrived,
            ..
        } => (kind.properties().name, arrived),
        _ => ("", true),
    };
    // 0 without an answer of the target.
    let status = attempt
        .reply
        .as_ref()
        .map_or(0, |reply| reply.status().as_u16());
    log::info!(
        request = &*call.head.request_id, route = &*call.rule.name, daemon:% = daemon,
        end = attempt_label(attempt.outcome), status, kind, arrived, next = step_label(step),
        cause = &*attempt.detail, running = load.in_flight.0, queued = load.queued.0;
        "attempt ended"
    );
}

/// Returns whether the daemon beside the target refused a request that crashes targets.
fn is_poison_refusal(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::Refused {
            kind: ErrorKind::PoisonRequest,
            ..
        }
    )
}

/// Returns the name of a decision in log lines.
fn step_label(step: NextStep) -> &'static str {
    match step {
        NextStep::TryAnother => "another-target",
        NextStep::Deliver => "deliver",
        NextStep::Refuse { .. } => "refuse",
        NextStep::Fail(_) => "fail",
    }
}

/// Returns the metric label and log value of an attempt's outcome.
fn attempt_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Answered => "answered",
        AttemptOutcome::ServerFailed | AttemptOutcome::NestedCallRefused => "failed",
        AttemptOutcome::Refused {
            reached_target: false,
            ..
        } => "refused",
        AttemptOutcome::Refused {
            reached_target: true,
            ..
        } => "refused-by-target",
        AttemptOutcome::Busy => "busy",
        AttemptOutcome::Broken => "broken",
    }
}

/// Picks a target. A daemon that has just started is about to learn of others, so the request
/// waits for that during a fraction of its latency objective.
async fn pick_or_wait(
    core: &ProxyCore,
    call: &RelayCall,
    tried: &[DaemonId],
    busy: &BusyTargets,
    is_last: bool,
) -> Option<PickedTarget> {
    let until = call.since + call.rule.objective / START_WAIT_DIVISOR;
    loop {
        // Created before the pick, so that a change in between still wakes it.
        let changed = core.routing_changed.notified();
        let picked = pick(core, call, tried, busy, is_last);
        if picked.is_some() || !tried.is_empty() || !core.is_starting() {
            return picked;
        }
        let remaining = until.saturating_duration_since(core.clock.now());
        if timeout(remaining, changed).await.is_err() {
            return None;
        }
    }
}

fn pick(
    core: &ProxyCore,
    call: &RelayCall,
    tried: &[DaemonId],
    busy: &BusyTargets,
    is_last: bool,
) -> Option<PickedTarget> {
    let mut picker = core.picker();
    if !busy.is_empty() {
        let healthy_first = call.rule.safety == CallSafety::AtMostOnce;
        return picker.pick_after_busy(&call.head.service, tried, busy, is_last, healthy_first);
    }
    match call.rule.safety {
        CallSafety::Idempotent => picker.pick(&call.head.service, tried),
        CallSafety::AtMostOnce => picker.pick_healthy_first(&call.head.service, tried),
    }
}

fn conclude(core: &ProxyCore, call: &RelayCall, step: NextStep, last: LastAnswer) -> RelayOutcome {
    let shed = match step {
        NextStep::Refuse { kind, .. } => last.is_refused_at_any_load(kind),
        NextStep::Deliver | NextStep::TryAnother | NextStep::Fail(_) => false,
    };
    let step = match &last.reply {
        Some(reply) if step == NextStep::Deliver && is_false_promise(core, call, reply) => {
            log_withheld(call, reply);
            NextStep::Fail(ErrorKind::TargetFailed)
        }
        _ => step,
    };
    let called = last.called;
    let (kind, retry_after) = match (step, last.reply) {
        (NextStep::Deliver, Some(reply)) => {
            let entry_outcome =
                EntryOutcome::from_run(reply.status().is_server_error(), last.calls);
            let outcome = if reply.status().is_server_error() {
                RequestOutcome::Failed
            } else {
                RequestOutcome::Served
            };
            count_request(core, call, outcome);
            let failed = outcome == RequestOutcome::Failed;
            if failed || is_sampled(&call.head.request_id) {
                log_end(core, call, outcome.as_str(), None);
            }
            return RelayOutcome {
                reply,
                outcome: entry_outcome,
                called,
            };
        }
        (NextStep::Refuse { kind, retry_after }, _) => (refusal_kind(kind), Some(retry_after)),
        (NextStep::Fail(kind), _) => (kind, None),
        // Does not occur: `Deliver` follows only an answer, and `TryAnother` does not end here.
        (NextStep::Deliver | NextStep::TryAnother, _) => (ErrorKind::OutcomeUnknown, None),
    };
    log_end(core, call, kind.properties().name, retry_after);
    let outcome = match (retry_after, kind) {
        (Some(_), _) => RequestOutcome::Refused,
        (None, ErrorKind::TargetFailed) => RequestOutcome::Failed,
        (None, _) => RequestOutcome::Unknown,
    };
    count_request(core, call, outcome);
    core.metrics.count_error(kind);
    RelayOutcome {
        reply: error_reply(&core.edge, kind, retry_after),
        outcome: if retry_after.is_some() {
            EntryOutcome::from_refusal(shed)
        } else {
            EntryOutcome::from_run(true, last.calls)
        },
        called,
    }
}

/// Returns whether the answer of a target tells the caller of a request that has run at most once
/// that it has not run. The caller would send it again, and it would run twice.
fn is_false_promise(core: &ProxyCore, call: &RelayCall, reply: &CallerReply) -> bool {
    call.rule.safety == CallSafety::AtMostOnce && (core.edge.promises_not_run)(reply.status())
}

fn log_withheld(call: &RelayCall, reply: &CallerReply) {
    log::info!(
        request = &*call.head.request_id, route = &*call.rule.name,
        status = reply.status().as_u16();
        "answer withheld: its status says that the request has not run"
    );
}

/// Returns whether a refusal of this kind says nothing about other requests.
fn concerns_request_only(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::DeadlineExceeded | ErrorKind::PoisonRequest)
}

/// Logs how a request ended.
fn log_end(core: &ProxyCore, call: &RelayCall, end: &str, retry_after: Option<Duration>) {
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

/// Returns whether a successful request is logged; every daemon selects the same requests.
pub fn is_sampled(request_id: &str) -> bool {
    // The first part of the id is that of the original request, with which its calls are sampled.
    let first = request_id.split('.').next().unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(first.as_bytes()).is_multiple_of(SAMPLING_INTERVAL)
}

fn count_request(core: &ProxyCore, call: &RelayCall, outcome: RequestOutcome) {
    let took = core.clock.now().saturating_duration_since(call.since);
    let head = &call.head;
    core.metrics
        .count_request(head.service.as_str(), head.inner, outcome, took);
}

/// Maps the reason of a refusal to the kind that the caller sees. Lack of time is reported as a
/// full queue, since the request may be served with a new deadline.
fn refusal_kind(kind: ErrorKind) -> ErrorKind {
    match kind {
        ErrorKind::DeadlineExceeded => ErrorKind::QueueFull,
        kind if kind.properties().status == 503 || kind == ErrorKind::PoisonRequest => kind,
        _ => ErrorKind::TargetAbsent,
    }
}

async fn attempt(
    core: &Arc<ProxyCore>,
    call: &RelayCall,
    target: &PickedTarget,
    repeat: bool,
    rejections_left: u8,
) -> AttemptResult {
    let now = core.clock.now();
    let mut head = call.head.clone();
    head.rejections_left = rejections_left;
    head.repeat |= repeat;
    head.remaining = call.deadline.saturating_duration_since(now);
    head.spent += now.saturating_duration_since(call.since);
    if target.view.daemon == core.id {
        let local_call = TargetCall {
            head,
            body: call.body.clone(),
            since: now,
        };
        let end = run_call(core, local_call).await;
        return local_result(core, end, call.deadline);
    }
    let Some(address) = core.peers().get(&target.view.daemon).copied() else {
        return unsent("the daemon left the membership".into());
    };
    match call_peer(core, address, &head, call.body.clone()).await {
        PeerOutcome::Answered(answer, receiver) => {
            peer_result(core, answer, receiver, call.deadline).await
        }
        PeerOutcome::NotRun(detail) => unsent(detail),
        PeerOutcome::Lost(detail) => broken(detail, CallResult::Lost, None),
    }
}

async fn peer_result(
    core: &ProxyCore,
    answer: CallAnswer,
    receiver: BodyReceiver,
    deadline: Instant,
) -> AttemptResult {
    match answer {
        CallAnswer::Answered { status, load, .. } if !is_answer_status(status) => {
            let detail = "another daemon sent a status that is none";
            broken(detail.into(), CallResult::Lost, Some(load))
        }
        CallAnswer::Answered {
            status,
            headers,
            called,
            calls,
            waited,
            load,
        } => match read_reply(core, receiver, deadline).await {
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
        CallAnswer::Proceed | CallAnswer::Waiting | CallAnswer::Admitted => broken(
            "unexpected message instead of the final answer".into(),
            CallResult::Lost,
            None,
        ),
    }
}

fn local_result(core: &ProxyCore, end: TargetRunOutcome, deadline: Instant) -> AttemptResult {
    let load = core.target_load();
    match end {
        TargetRunOutcome::Answered(answer) => {
            let status = answer.status.as_u16();
            let body = match answer.body {
                AnswerBody::Whole(bytes) => ReplyBody::Whole(Some(bytes)),
                AnswerBody::Stream(stream) => {
                    let source = AnswerSource::Own(stream);
                    ReplyBody::Pieces(AnswerPieces::pump(source, deadline, &core.tasks))
                }
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
        TargetRunOutcome::Refused(refusal) => refused(
            refusal.kind,
            refusal.reached_target,
            refusal.retry_after,
            load,
        ),
        TargetRunOutcome::Broken(detail) => broken(detail, CallResult::Failed, Some(load)),
    }
}

/// Buffers an answer, or only its beginning if it is long.
async fn read_reply(
    core: &ProxyCore,
    mut receiver: BodyReceiver,
    deadline: Instant,
) -> model::Result<ReplyBody> {
    let mut buffered = BytesMut::new();
    while let Some(piece) = receiver.next().await {
        buffered.extend_from_slice(&piece?);
        if buffered.len() > MAX_BUFFERED_BYTES {
            let source = AnswerSource::Peer(Some(buffered.freeze()), receiver);
            let pieces = AnswerPieces::pump(source, deadline, &core.tasks);
            return Ok(ReplyBody::Pieces(pieces));
        }
    }
    Ok(ReplyBody::Whole(Some(buffered.freeze())))
}

/// Returns what the selection of targets learns from the `result` of an attempt.
///
/// Over a pause of this process neither the time nor the lack of an answer says anything: the
/// target may have answered in time.
fn observed_result(core: &ProxyCore, picked_at: Instant, result: CallResult) -> CallResult {
    match result {
        CallResult::NotRun(_) => result,
        _ if core.pauses.has_paused_since(picked_at) => CallResult::Cancelled,
        _ => result,
    }
}
