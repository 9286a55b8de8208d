//! Golden sessions: what callers see during the failures that operators ask about.

use std::fmt::Write;

use crate::once::CallKey;
use crate::once::home::CloseVerdict;

use crate::world::{CallAnswer, World};

/// A simulation and its transcript.
struct Session {
    world: World,
    start: u64,
    text: String,
}

impl Session {
    fn new(seed: u64) -> Self {
        let world = World::settled(seed, 5);
        let start = world.now;
        Self {
            world,
            start,
            text: String::new(),
        }
    }

    fn note(&mut self, line: &str) {
        let seconds = (self.world.now - self.start) as f64 / 1000.0;
        writeln!(self.text, "{seconds:7.2} s  {line}").expect("writing to a string succeeds");
    }

    fn call(&mut self, what: &str, proxy: usize, key: &CallKey) {
        self.note(&format!("caller   {what} through proxy {proxy}"));
        let answer = self.world.call(proxy, key);
        self.note_answer(answer);
    }

    fn note_answer(&mut self, answer: Option<CallAnswer>) {
        let line = match answer {
            None => "no answer; the caller gives up".to_owned(),
            Some(CallAnswer::Running) => "409 key-running (may-have-run)".to_owned(),
            Some(CallAnswer::Answered(answer)) => {
                let body = String::from_utf8_lossy(&answer.body);
                format!("{} {body:?} (done)", answer.status)
            }
            Some(CallAnswer::Refused(refusal)) => {
                let row = refusal.error.kind.properties();
                let detail = &refusal.error.detail;
                format!("{} {} ({}): {detail}", row.status, row.name, refusal.proof)
            }
        };
        self.note(&format!("answer   {line}"));
    }

    fn note_runs(&mut self, key: &CallKey) {
        let digest = crate::world::call_of(key).digest;
        let runs = self.world.ledger.runs.get(&digest).copied();
        self.note(&format!(
            "ledger   the call ran {} times",
            runs.unwrap_or_default()
        ));
    }
}

#[test]
fn doubled_payout() {
    let mut session = Session::new(21);
    let key = session.world.timed_key(0);
    session.call("sends the payout", 1, &key);
    session.call("sends it again", 3, &key);
    session.note_runs(&key);

    let lost = session.world.timed_key(0);
    session.note("fault    the targets run calls, but their answers are lost");
    for node in &mut session.world.nodes {
        node.loses_answers = true;
    }
    session.call("sends another payout", 2, &lost);
    session.call("sends it again", 0, &lost);
    session.world.run_ms(4000);
    session.call("sends it again", 4, &lost);
    session.note_runs(&lost);

    let home = session
        .world
        .home_of(0, &lost)
        .expect("every range has a home");
    let verdict = session.world.close(home, &lost);
    assert_eq!(verdict, CloseVerdict::MayHaveRun);
    session.note(
        "operator closes the key: it may have run; the records of the service show whether it did",
    );
    insta::assert_snapshot!(session.text);
}

#[test]
fn paused_lease_holder() {
    let mut session = Session::new(22);
    let warm = session.world.timed_key(0);
    let home = session
        .world
        .home_of(0, &warm)
        .expect("every range has a home");
    session.call("sends payout A", home, &warm);
    let late = loop {
        let key = session.world.timed_key(0);
        if session.world.home_of(0, &key) == Some(home) {
            break key;
        }
    };
    session.note(&format!("caller   sends payout B to its home {home}"));
    let attempt = session.world.send(home, &late);
    session.world.run_ms(crate::world::STEP_MS);
    session.note(&format!(
        "fault    home {home} is paused after its check, before its dispatch"
    ));
    session.world.pause(home, 5000, false);
    session.world.run_ms(4500);
    let proxy = (home + 1) % 5;
    let successor = session
        .world
        .home_of(proxy, &late)
        .expect("every range has a home");
    session.note(&format!("log      home {successor} claimed the range"));
    session.call("sends payout B again", proxy, &late);
    let answer = session.world.ledger.answer(attempt);
    session.note("fault    the paused home has resumed and dispatched payout B");
    session.note_answer(answer);
    session.note_runs(&late);
    let fresh = loop {
        let key = session.world.timed_key(0);
        if session.world.home_of(proxy, &key) == Some(successor) {
            break key;
        }
    };
    session.call("sends payout C with a fresh key", proxy, &fresh);
    session.note_runs(&fresh);
    session.call("sends payout A again", proxy, &warm);
    session.note_runs(&warm);
    insta::assert_snapshot!(session.text);
}
