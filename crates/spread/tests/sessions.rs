//! Whole sessions, line by line.

mod harness;

use std::cell::RefCell;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

use harness::actor::{Node, node_factory};
use harness::{Fleet, FleetShape};
use quetzal_spread::{FreshnessState, SpreadSettings};

/// A fleet whose events are written down.
struct Session {
    fleet: Fleet<Node>,
    lines: Rc<RefCell<String>>,
}

impl Session {
    fn new(daemons: usize, settings: SpreadSettings) -> Self {
        let shape = FleetShape::sized(daemons, 11);
        let mut fleet = Fleet::new(shape, Duration::from_secs(1), node_factory(settings));
        let lines = Rc::new(RefCell::new(String::new()));
        let written = Rc::clone(&lines);
        fleet.watcher = Some(Box::new(move |now, place, line| {
            let mut text = written.borrow_mut();
            let _ = writeln!(
                text,
                "{:9.3} daemon {:2}: {line}",
                now.as_secs_f64(),
                place + 1
            );
        }));
        Self { fleet, lines }
    }

    /// Writes a line of the session's own.
    fn say(&self, line: &str) {
        let now = self.fleet.now().as_secs_f64();
        let _ = writeln!(self.lines.borrow_mut(), "{now:9.3} -- {line}");
    }

    fn run(&mut self, seconds: u64) {
        self.fleet.run_for(Duration::from_secs(seconds));
    }

    fn publish(&mut self, text: &str) {
        let version = self.fleet.publish(text);
        self.say(&format!("published {text} as {version}"));
    }

    /// Writes how far the daemons answer for their configuration.
    fn show_freshness(&self) {
        let mut counts = [0; 4];
        for slot in &self.fleet.slots {
            if let Some(node) = &slot.actor {
                counts[node.freshness().state as usize] += 1;
            }
        }
        let cases = [
            FreshnessState::Absent,
            FreshnessState::Current,
            FreshnessState::SourceDown,
            FreshnessState::CutOff,
        ];
        let shown = cases.map(|case| format!("{case} {}", counts[case as usize]));
        self.say(&format!("freshness: {}", shown.join(", ")));
    }

    /// Writes the fleet as one daemon shows it.
    fn show_fleet(&self, place: usize) {
        let node = self.fleet.slots[place].actor.as_ref().expect("alive");
        let Some((summary, _)) = node.fleet_summary() else {
            return self.say("fleet unknown");
        };
        let lowest = summary.sum.lowest().unwrap_or_default();
        let (reporting, members) = (summary.sum.reporting(), summary.members);
        self.say(&format!(
            "fleet: {reporting} of {members} report, lowest {lowest}"
        ));
        for domain in &summary.silent_domains {
            self.say(&format!("  {domain} is silent"));
        }
        for lag in &summary.sum.laggards {
            self.say(&format!(
                "  {} {} at {}",
                lag.daemon, lag.reason, lag.version
            ));
        }
    }

    fn show_streams(&mut self) {
        let mut line = String::from("log:");
        for name in ["config", "snapshots"] {
            let stream = self.fleet.log.stream(name);
            let kept = stream.records.len();
            let _ = write!(line, " {name} from {} keeps {kept};", stream.first);
        }
        self.say(&line);
    }

    fn set_log_down(&mut self, down: bool) {
        self.fleet.log.down = down;
        self.say(if down { "log down" } else { "log up" });
    }

    fn text(&self) -> String {
        self.lines.borrow().clone()
    }
}

fn settings() -> SpreadSettings {
    SpreadSettings {
        snapshot_changes: 4,
        snapshot_age: Duration::from_secs(60),
        snapshot_stagger: Duration::from_secs(2),
        ..SpreadSettings::default()
    }
}

#[test]
fn outage_with_retention_passed() {
    let mut session = Session::new(6, settings());
    session.publish("plan=gold");
    session.run(10);
    session.show_streams();
    session.show_fleet(5);
    session.set_log_down(true);
    session.run(45);
    session.show_freshness();
    for name in ["config", "snapshots"] {
        session.fleet.log.stream(name).expire(0);
    }
    session.say("all records expired");
    session.set_log_down(false);
    session.run(30);
    session.show_streams();
    session.show_freshness();
    session.publish("plan=silver");
    session.run(3);
    session.say("all daemons restart");
    for place in 0..6 {
        session.fleet.kill(place);
    }
    session.run(1);
    for place in 0..6 {
        session.fleet.start(place, Duration::from_millis(500));
    }
    session.fleet.announce_members();
    session.run(10);
    session.show_freshness();
    session.show_fleet(5);
    insta::assert_snapshot!(session.text());
}

#[test]
fn readers_die() {
    let mut session = Session::new(12, settings());
    session.publish("plan=gold");
    session.run(8);
    let readers = (0..12)
        .filter(|place| {
            let node = session.fleet.slots[*place].actor.as_ref();
            node.is_some_and(Node::is_reading)
        })
        .collect::<Vec<_>>();
    for place in &readers {
        session.say(&format!("daemon {} stops", place + 1));
        session.fleet.kill(*place);
    }
    session.publish("plan=silver");
    session.run(5);
    let taker = (0..12)
        .find(|place| !readers.contains(place))
        .expect("some");
    session.show_fleet(taker);
    session.run(10);
    session.show_fleet(taker);
    session.show_freshness();
    insta::assert_snapshot!(session.text());
}

#[test]
fn herd_return() {
    let mut session = Session::new(30, settings());
    for change in 0..6 {
        session.publish(&format!("plan-{change}=gold"));
    }
    session.run(20);
    session.show_streams();
    session.fleet.log.stream("config").expire(1);
    session.fleet.log.rate = Some(10);
    session.fleet.watcher = None;
    session.say("all daemons stop and return, the log answers 10 requests a second");
    for place in 0..30 {
        session.fleet.kill(place);
    }
    session.run(1);
    for place in 0..30 {
        session.fleet.start(place, Duration::from_secs(1));
    }
    session.fleet.announce_members();
    session.fleet.reset_counts();
    for _ in 0..6 {
        session.run(1);
        let serving = session.fleet.slots.iter().filter(|slot| {
            let node = slot.actor.as_ref();
            node.is_some_and(Node::is_serving)
        });
        let serving = serving.count();
        let reads = session.fleet.log.reads;
        session.say(&format!("{serving} of 30 serve after {reads} reads"));
    }
    session.run(6);
    session.show_freshness();
    session.show_fleet(7);
    insta::assert_snapshot!(session.text());
}

#[test]
fn a_region_is_cut_off() {
    let mut session = Session::new(20, settings());
    session.publish("plan=gold");
    session.run(10);
    session.fleet.regions_partitioned = true;
    session.fleet.watcher = None;
    session.say("the second region loses the first and the log");
    session.run(5);
    session.publish("plan=silver");
    for _ in 0..3 {
        session.run(10);
        session.show_freshness();
    }
    session.show_fleet(0);
    session.fleet.regions_partitioned = false;
    session.say("the regions reach one another again");
    session.run(10);
    session.show_freshness();
    session.show_fleet(0);
    insta::assert_snapshot!(session.text());
}

#[test]
fn the_log_is_lost() {
    let mut session = Session::new(6, settings());
    for change in 0..5 {
        session.publish(&format!("plan-{change}=gold"));
    }
    session.run(10);
    session.say("the log begins anew with other records");
    session.fleet.log.streams.clear();
    session.publish("plan-0=bronze");
    session.run(45);
    session.show_freshness();
    session.show_fleet(5);
    session.say("daemon 3 restarts and takes what its peers hold");
    session.fleet.kill(2);
    session.run(1);
    session.fleet.start(2, Duration::ZERO);
    session.fleet.announce_members();
    session.run(40);
    session.show_freshness();
    session.publish("rebase 100 plan-0=gold");
    session.run(5);
    session.show_streams();
    session.publish("plan-1=silver");
    session.run(5);
    session.show_freshness();
    session.show_fleet(5);
    insta::assert_snapshot!(session.text());
}
