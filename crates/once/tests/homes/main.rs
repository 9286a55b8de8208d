//! Tests of a single home: admission, expiry, handover and recall of keys, and routing to homes.

mod untimed;

use std::sync::Arc;
use std::time::Duration;

use model::{
    ByteCount, ClockPort, CustomerName, DaemonId, ErrorKind, FakeClock, IncarnationNumber,
};
use quetzal_once::home::HandoverPage;
use quetzal_once::lease::{
    HolderRow, KeyRange, LeaseTerm, LeaseView, LogStamp, TermEpoch, TermRef,
};
use quetzal_once::{
    CallKey, CloseVerdict, HolderId, HolderStatus, HomeAnswer, HomeSettings, IssuerMove, KeyCall,
    KeyDigest, KeyHome, KeyRouter, KeyVerdict, PrintHasher, RequestFingerprint, RunOutcome,
    RunProof, RunTicket, ShardId, StageAnswer, StoredAnswer, TermUpdate, UntimedKeys,
};
use quickcheck::quickcheck;

fn holder(daemon: u64) -> HolderId {
    HolderId::new(DaemonId(daemon), IncarnationNumber(1))
}

fn customer(name: &str) -> CustomerName {
    name.parse().expect("a valid name")
}

fn home(clock: &FakeClock, daemon: u64, settings: HomeSettings) -> KeyHome {
    KeyHome::new(holder(daemon), settings, clock.shared())
}

/// Returns settings under which untimed keys run.
fn untimed_settings() -> HomeSettings {
    HomeSettings {
        untimed_keys: UntimedKeys::OncePerWindow,
        ..HomeSettings::default()
    }
}

fn call(key: CallKey, fingerprint: u128) -> KeyCall {
    KeyCall {
        digest: KeyDigest::of(&customer("agency"), &key),
        key,
        fingerprint: RequestFingerprint(fingerprint),
    }
}

fn issued_call(home: &mut KeyHome) -> KeyCall {
    call(
        CallKey::Issued(home.issue().expect("the home issues keys")),
        1,
    )
}

fn begin(home: &mut KeyHome, call: &KeyCall) -> RunTicket {
    match home.begin(call) {
        KeyVerdict::Run(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

fn answer(bytes: usize) -> RunOutcome {
    RunOutcome::Done(Arc::new(StoredAnswer {
        status: 201,
        headers: Box::default(),
        body: vec![7; bytes].into(),
    }))
}

/// Runs a call to completion, with an answer of `bytes` bytes.
fn run_to_end(home: &mut KeyHome, call: &KeyCall, bytes: usize) {
    let ticket = begin(home, call);
    home.settle(ticket, answer(bytes));
}

fn refusal(verdict: &KeyVerdict) -> Option<(ErrorKind, RunProof)> {
    match verdict {
        KeyVerdict::Refused(refusal) => Some((refusal.error.kind, refusal.proof)),
        _ => None,
    }
}

#[test]
fn key_is_bound_to_one_request() {
    let clock = FakeClock::new();
    let mut home = home(&clock, 1, HomeSettings::default());
    let mut call = issued_call(&mut home);
    let ticket = begin(&mut home, &call);
    assert_eq!(home.begin(&call), KeyVerdict::Running);
    home.settle(ticket, answer(10));
    assert!(matches!(home.begin(&call), KeyVerdict::Finished(_)));
    call.fingerprint = RequestFingerprint(2);
    let expected = (ErrorKind::KeyReused, RunProof::SendingNotRun);
    assert_eq!(refusal(&home.begin(&call)), Some(expected));
}

#[test]
fn call_that_did_not_run_may_be_sent_again() {
    let clock = FakeClock::new();
    let mut home = home(&clock, 1, HomeSettings::default());
    let call = issued_call(&mut home);
    let ticket = begin(&mut home, &call);
    home.settle(ticket, RunOutcome::NotRun);
    let ticket = begin(&mut home, &call);
    // A second outcome of the same call has no effect.
    home.settle(ticket, RunOutcome::Lost);
    home.settle(ticket, RunOutcome::NotRun);
    let expected = (ErrorKind::OutcomeUnknown, RunProof::MayHaveRun);
    assert_eq!(refusal(&home.begin(&call)), Some(expected));
}

#[test]
fn full_home_refuses_and_forgets_nothing_early() {
    let clock = FakeClock::new();
    let settings = HomeSettings {
        max_keys: 100,
        ..HomeSettings::default()
    };
    let mut home = home(&clock, 1, settings);
    let calls: Vec<KeyCall> = (0..100).map(|_| issued_call(&mut home)).collect();
    for call in &calls {
        run_to_end(&mut home, call, 10);
    }
    let late = issued_call(&mut home);
    let full = Some((ErrorKind::HomeFull, RunProof::NotRun));
    assert_eq!(refusal(&home.begin(&late)), full);
    clock.advance(
        settings
            .issued_window
            .saturating_sub(Duration::from_secs(1)),
    );
    home.on_tick(None);
    assert_eq!(refusal(&home.begin(&late)), full);
    let first = home.begin(&calls[0]);
    assert!(matches!(first, KeyVerdict::Finished(_)));
    clock.advance(Duration::from_secs(10));
    home.on_tick(None);
    let expired = Some((ErrorKind::KeyUnknown, RunProof::MayHaveRun));
    assert_eq!(refusal(&home.begin(&calls[0])), expired);
    assert_eq!(home.counts().keys, 0);
    assert_eq!(home.counts().answers, ByteCount(0));
    let fresh = issued_call(&mut home);
    begin(&mut home, &fresh);
}

#[test]
fn answers_are_evicted_but_finished_calls_are_remembered() {
    let clock = FakeClock::new();
    let settings = HomeSettings {
        answer_budget: ByteCount(10_000),
        largest_answer: ByteCount(2000),
        ..HomeSettings::default()
    };
    let mut home = home(&clock, 1, settings);
    let calls: Vec<KeyCall> = (0..20).map(|_| issued_call(&mut home)).collect();
    for call in &calls {
        run_to_end(&mut home, call, 1000);
        assert!(home.counts().answers <= settings.answer_budget);
    }
    let gone = Some((ErrorKind::AnswerForgotten, RunProof::Done));
    assert_eq!(refusal(&home.begin(&calls[0])), gone);
    assert!(matches!(home.begin(&calls[19]), KeyVerdict::Finished(_)));
    let large = issued_call(&mut home);
    run_to_end(&mut home, &large, 5000);
    assert_eq!(refusal(&home.begin(&large)), gone);
}

#[test]
fn key_that_was_never_issued_is_refused() {
    let clock = FakeClock::new();
    let mut home = home(&clock, 1, HomeSettings::default());
    let mut key = home.issue().expect("the home issues keys");
    key.serial += 1;
    let invalid = Some((ErrorKind::RequestInvalid, RunProof::NotRun));
    assert_eq!(
        refusal(&home.begin(&call(CallKey::Issued(key), 1))),
        invalid
    );
}

#[test]
fn equal_keys_of_two_customers_do_not_collide() {
    let key: CallKey = "order-1".parse().expect("a valid key");
    let digest = |name| KeyDigest::of(&customer(name), &key);
    assert_ne!(digest("agency"), digest("rival"));
    let upper: CallKey = "01890A5D-AC96-774B-BCCE-B302099A8057"
        .parse()
        .expect("a valid key");
    let lower: CallKey = "\"01890a5d-ac96-774b-bcce-b302099a8057\""
        .parse()
        .expect("a valid key");
    assert_eq!(upper, lower);
    for text in ["", "two words", "qk1-1-2-3", "qk1-0000000000000001-1-1-01"] {
        assert!(text.parse::<CallKey>().is_err(), "{text}");
    }
}

#[test]
fn fingerprint_covers_route_and_the_body_in_pieces() {
    let hasher = |path| PrintHasher::new(&customer("agency"), "POST", path, Some(9));
    let mut whole = hasher("/payouts");
    whole.update(b"amount=10");
    let mut pieces = hasher("/payouts");
    pieces.update(b"amount");
    pieces.update(b"=10");
    assert_eq!(whole.finish(), pieces.finish());
    let mut other = hasher("/payouts");
    other.update(b"amount=11");
    assert_ne!(whole.finish(), other.finish());
    assert_ne!(hasher("/payouts").finish(), hasher("/bookings").finish());
}

/// Hands the issuer's shard over; each page whose number is in `lose` is lost once.
fn hand_over(from: &mut KeyHome, to: &mut KeyHome, lose: &[u32]) -> Vec<HandoverPage> {
    let shard = ShardId::Issuer(holder(1));
    let pages = from.seal(shard, holder(2)).expect("the shard is held");
    let mut lose = lose.to_vec();
    let mut number = 0;
    loop {
        let page = pages[number as usize].clone();
        if let Some(index) = lose.iter().position(|lost| *lost == number) {
            lose.remove(index);
            // The page that arrives instead is out of order.
            let later = pages.get(number as usize + 1).unwrap_or(&page).clone();
            let answer = to.stage(holder(1), later).expect("a valid page");
            assert_eq!(answer, StageAnswer::Next(number));
            continue;
        }
        match to.stage(holder(1), page).expect("a valid page") {
            StageAnswer::Next(next) => number = next,
            StageAnswer::Whole => return pages,
        }
    }
}

#[test]
fn handed_shard_keeps_every_key_and_late_pages_restore_nothing() {
    let clock = FakeClock::new();
    let mut old = home(&clock, 1, HomeSettings::default());
    let mut new = home(&clock, 2, HomeSettings::default());
    clock.advance(Duration::from_secs(60));
    let done: Vec<KeyCall> = (0..1500).map(|_| issued_call(&mut old)).collect();
    for call in &done {
        run_to_end(&mut old, call, 10);
    }
    let unused = issued_call(&mut old);
    let running = issued_call(&mut old);
    let ticket = begin(&mut old, &running);
    let pages = hand_over(&mut old, &mut new, &[0, 1]);
    assert!(pages.len() > 2);
    let draining = Some((ErrorKind::Draining, RunProof::SendingNotRun));
    assert_eq!(refusal(&old.begin(&unused)), draining);
    assert!(old.issue().is_none());
    let answered = |verdict| matches!(verdict, KeyVerdict::Finished(_));
    assert!(done.iter().all(|call| answered(new.begin(call))));
    assert_eq!(new.begin(&running), KeyVerdict::Running);
    let handed = old
        .settle(ticket, answer(10))
        .expect("the shard was handed over");
    assert_eq!(handed.to, holder(2));
    assert!(new.on_settlement(handed.settlement).is_none());
    assert!(answered(new.begin(&running)));
    run_to_end(&mut new, &unused, 10);
    for page in pages {
        assert_eq!(new.stage(holder(1), page), Ok(StageAnswer::Whole));
    }
    assert!(answered(new.begin(&unused)));
    assert!(old.seal(ShardId::Issuer(holder(1)), holder(3)).is_err());
}

#[test]
fn outcome_follows_a_shard_through_two_homes() {
    let clock = FakeClock::new();
    let order = call("order-1".parse().expect("a valid key"), 1);
    let range = order.digest.range();
    let settings = untimed_settings();
    let mut homes = [1, 2, 3].map(|daemon| home(&clock, daemon, settings));
    homes[0].on_term(held_term(&clock, range, 1, 0, None));
    let ticket = begin(&mut homes[0], &order);
    for index in [0, 1] {
        let epoch = index as u64 + 1;
        let term = TermRef::new(range, TermEpoch(epoch));
        let next = holder(epoch + 1);
        let pages = homes[index].seal(ShardId::Range(term), next);
        for page in pages.expect("the shard is held") {
            let staged = homes[index + 1].stage(holder(epoch), page);
            assert_eq!(staged, Ok(StageAnswer::Whole));
        }
        homes[index].on_term(TermUpdate::Ended(term));
        homes[index + 1].on_term(held_term(&clock, range, epoch + 1, epoch, None));
    }
    assert_eq!(homes[2].begin(&order), KeyVerdict::Running);
    let mut handed = homes[0].settle(ticket, answer(10));
    while let Some(outcome) = handed {
        let to = outcome.to.daemon.0 as usize - 1;
        handed = homes[to].on_settlement(outcome.settlement);
    }
    assert!(matches!(homes[2].begin(&order), KeyVerdict::Finished(_)));
}

#[test]
fn handed_call_whose_home_died_is_lost() {
    let clock = FakeClock::new();
    let mut old = home(&clock, 1, HomeSettings::default());
    let mut new = home(&clock, 2, HomeSettings::default());
    let running = issued_call(&mut old);
    begin(&mut old, &running);
    hand_over(&mut old, &mut new, &[]);
    new.on_holder_gone(holder(1));
    let lost = Some((ErrorKind::OutcomeUnknown, RunProof::MayHaveRun));
    assert_eq!(refusal(&new.begin(&running)), lost);
}

fn held_term(
    clock: &FakeClock,
    range: KeyRange,
    epoch: u64,
    prior: u64,
    owns_after: Option<LogStamp>,
) -> TermUpdate {
    let term = LeaseTerm {
        holder: holder(2),
        epoch: TermEpoch(epoch),
        prior: TermEpoch(prior),
        begun: LogStamp::from(clock.wall()),
        renewed: LogStamp::from(clock.wall()),
        lease_ms: 8000,
        skew_ms: 2000,
        owns_after,
    };
    TermUpdate::Held {
        range,
        term,
        valid_until: clock.now() + Duration::from_secs(8),
    }
}

#[test]
fn former_home_withdraws_only_keys_that_no_other_home_may_run() {
    let clock = FakeClock::new();
    // The key's timestamp is the start of the fake clock's wall time.
    let key = "019b76da-a800-7000-8000-000000000001".parse();
    let payout = call(key.expect("a valid key"), 1);
    let range = payout.digest.range();
    for sealed in [false, true] {
        let mut home = home(&clock, 1, HomeSettings::default());
        home.on_term(held_term(&clock, range, 3, 0, None));
        assert_eq!(home.recall(&payout), None);
        let shard = *home
            .shards_to_hand_over()
            .first()
            .expect("the range has a shard");
        if sealed {
            home.seal(shard, holder(2)).expect("the shard is held");
        }
        let ended = TermRef::new(range, TermEpoch(3));
        home.on_term(TermUpdate::Ended(ended));
        let recalled = home.recall(&payout).as_ref().and_then(refusal);
        let withdrawn = (ErrorKind::KeyWithdrawn, RunProof::NotRun);
        assert_eq!(recalled, (!sealed).then_some(withdrawn));
    }
}

#[test]
fn former_home_closes_the_keys_it_knows() {
    let clock = FakeClock::new();
    let key = |last: &str| {
        let text = format!("019b76da-a800-7000-8000-00000000000{last}");
        text.parse::<CallKey>().expect("a valid key")
    };
    let calls = ["1", "2", "3"].map(|last| call(key(last), 5));
    let mut home = home(&clock, 1, HomeSettings::default());
    for call in &calls {
        let range = call.digest.range();
        home.on_term(held_term(&clock, range, 3, 0, None));
    }
    let ticket = begin(&mut home, &calls[1]);
    home.settle(ticket, answer(10));
    begin(&mut home, &calls[2]);
    for call in &calls {
        let term = TermRef::new(call.digest.range(), TermEpoch(3));
        home.on_term(TermUpdate::Ended(term));
    }
    let closed = calls
        .iter()
        .map(|call| home.recall_close(&call.key, call.digest));
    let wanted = [
        CloseVerdict::NeverRan,
        CloseVerdict::Ran(201),
        CloseVerdict::Running,
    ];
    assert!(closed.eq(wanted.map(Some)));
    // The first key is withdrawn permanently, whichever request it is sent with.
    let refused = home.recall(&calls[0]).as_ref().and_then(refusal);
    assert_eq!(refused, Some((ErrorKind::KeyWithdrawn, RunProof::NotRun)));
}

#[test]
fn handed_shard_of_a_term_that_is_not_the_preceding_one_is_not_used() {
    let clock = FakeClock::new();
    let mut new = home(&clock, 2, untimed_settings());
    let key: CallKey = "order-1".parse().expect("a valid key");
    let order = call(key, 1);
    let range = order.digest.range();
    let term = |epoch, prior, owns_after| held_term(&clock, range, epoch, prior, owns_after);
    let mut old = home(&clock, 1, untimed_settings());
    old.on_term(term(3, 0, None));
    begin(&mut old, &order);
    let shard = *old
        .shards_to_hand_over()
        .first()
        .expect("the range has a shard");
    for page in old.seal(shard, holder(2)).expect("the shard is held") {
        assert_eq!(new.stage(holder(1), page), Ok(StageAnswer::Whole));
    }
    new.on_term(term(9, 5, Some(LogStamp(9))));
    let unknown = Some((ErrorKind::KeyUnknown, RunProof::MayHaveRun));
    assert_eq!(refusal(&new.begin(&order)), unknown);
}

#[test]
fn router_follows_leases_and_moved_issuers() {
    let clock = FakeClock::new();
    let mut router = KeyRouter::new(holder(9), Duration::from_secs(300), clock.shared());
    let key: CallKey = "order-1".parse().expect("a valid key");
    let digest = call(key.clone(), 1).digest;
    let home_of =
        |router: &KeyRouter, key: &CallKey, status| router.home_of(key, digest, move |_| status);
    let refused = |answer| match answer {
        HomeAnswer::Refused(refusal) => Some((refusal.error.kind, refusal.proof)),
        _ => None,
    };
    let unavailable = Some((ErrorKind::HomeUnavailable, RunProof::SendingNotRun));
    let unknown = home_of(&router, &key, HolderStatus::Present);
    assert_eq!(refused(unknown), unavailable);
    let rows = KeyRange::all().map(|range| HolderRow {
        range,
        holder: holder(3),
        epoch: TermEpoch(1),
    });
    let view = LeaseView {
        next: model::LogOffset(5),
        rows: rows.collect(),
    };
    assert!(router.on_view(view.clone()));
    assert!(!router.on_view(view));
    let remote = home_of(&router, &key, HolderStatus::Present);
    assert_eq!(remote, HomeAnswer::Remote(holder(3)));
    let silent = home_of(&router, &key, HolderStatus::Unreachable);
    assert_eq!(refused(silent), unavailable);

    let mut other = home(&clock, 1, HomeSettings::default());
    let issued = CallKey::Issued(other.issue().expect("the home issues keys"));
    let gone = home_of(&router, &issued, HolderStatus::Gone);
    let closed = Some((ErrorKind::KeyClosed, RunProof::MayHaveRun));
    assert_eq!(refused(gone), closed);
    for (issuer, successor) in [(1, 2), (2, 9)] {
        assert!(router.on_move(IssuerMove {
            issuer: holder(issuer),
            successor: holder(successor),
        }));
    }
    let local = home_of(&router, &issued, HolderStatus::Gone);
    assert_eq!(local, HomeAnswer::Local);
}

quickcheck! {
    fn issued_keys_survive_formatting_and_parsing(
        daemon: u64,
        run: u64,
        born_ms: u64,
        serial: u64
    ) -> bool {
        let key = CallKey::Issued(quetzal_once::IssuedKey {
            issuer: HolderId::new(DaemonId(daemon), IncarnationNumber(run)),
            born_ms,
            serial,
        });
        key.to_string().parse() == Ok(key)
    }

    fn any_text_is_a_key_or_an_error(text: String) -> bool {
        text.parse::<CallKey>().is_ok_and(|key| key.to_string().len() <= 128)
            || text.parse::<CallKey>().is_err()
    }
}

#[test]
fn the_first_term_of_a_range_admits_no_key_older_than_the_window() {
    let clock = FakeClock::new();
    let mut home = home(&clock, 2, HomeSettings::default());
    let seconds = clock
        .wall()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("the wall clock is past 1970")
        .as_secs();
    let timed = |age_s: u64| {
        let time = uuid::Timestamp::from_unix(uuid::NoContext, seconds - age_s, 0);
        let key = uuid::Uuid::new_v7(time).to_string();
        call(key.parse().expect("a valid key"), 1)
    };
    let (old, recent) = (timed(3600), timed(1));
    for range in [old.digest.range(), recent.digest.range()] {
        home.on_term(held_term(&clock, range, 1, 0, None));
    }
    let unknown = Some((ErrorKind::KeyUnknown, RunProof::MayHaveRun));
    assert_eq!(refusal(&home.begin(&old)), unknown);
    begin(&mut home, &recent);
}
