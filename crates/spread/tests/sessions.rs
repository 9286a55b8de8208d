//! Golden sessions: the events of a fleet, compared line by line.

mod harness;

use std::cell::RefCell;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

use harness::actor::{Node, node_factory};
use harness::{Fleet, FleetShape};
use quetzal_spread::{FreshnessState, SpreadSettings};

/// Fleet whose events are recorded as text.
struct Session {
    fleet: Fleet<Node>,
    lines: Rc<RefCell<String>>,
}

impl Session {
    fn new(daemons: usize, settings: SpreadSettings) -> Self {
        let shape = FleetShape::sized(daemons, 11);
        let mut fleet = Fleet::new(shape, Duration::from_secs(1), node_factory(settings));
        let lines = Rc::new(RefCell::new(String::new()));
        let recorded = Rc::clone(&lines);
        fleet.watcher = Some(Box::new(move |now, index, line| {
            let mut text = recorded.borrow_mut();
            let _ = writeln!(
                text,
                "{:9.3} daemon {:2}: {line}",
                now.as_secs_f64(),
                index + 1
            );
        }));
        Self { fleet, lines }
    }

    /// Records a line that no daemon emitted.
    fn record_line(&self, line: &str) {
        let now = self.fleet.now().as_secs_f64();
        let _ = writeln!(self.lines.borrow_mut(), "{now:9.3} -- {line}");
    }

    fn run(&mut self, seconds: u64) {
        self.fleet.run_for(Duration::from_secs(seconds));
    }

    fn publish(&mut self, text: &str) {
        let version = self.fleet.publish(text);
        self.record_line(&format!("published {text} as {version}"));
    }

    /// Records the number of daemons in each freshness state.
    fn record_freshness(&self) {
        let mut counts = [0; 4];
        for slot in &self.fleet.slots {
            if let Some(node) = &slot.actor {
                counts[node.freshness().state as usize] += 1;
            }
        }
        let states = [
            FreshnessState::Absent,
            FreshnessState::Current,
            FreshnessState::SourceDown,
            FreshnessState::CutOff,
        ];
        let parts = states.map(|state| format!("{state} {}", counts[state as usize]));
        self.record_line(&format!("freshness: {}", parts.join(", ")));
    }

    /// Records the fleet summary of one daemon.
    fn record_fleet(&self, index: usize) {
        let node = self.fleet.slots[index]
            .actor
            .as_ref()
            .expect("the daemon is alive");
        let Some((summary, _)) = node.fleet_summary() else {
            return self.record_line("fleet unknown");
        };
        let lowest = summary.sum.lowest().unwrap_or_default();
        let (reporting, members) = (summary.sum.reporting(), summary.members);
        self.record_line(&format!(
            "fleet: {reporting} of {members} report, lowest {lowest}"
        ));
        for domain in &summary.silent_domains {
            self.record_line(&format!("  {domain} is silent"));
        }
        for lag in &summary.sum.laggards {
            self.record_line(&format!(
                "  {} {} at {}",
                lag.daemon, lag.reason, lag.version
            ));
        }
    }

    fn record_streams(&mut self) {
        let mut line = String::from("log:");
        for name in ["config", "snapshots"] {
            let stream = self.fleet.log.stream(name);
            let kept = stream.records.len();
            let _ = write!(line, " {name} from {} keeps {kept};", stream.first);
        }
        self.record_line(&line);
    }

    fn set_log_down(&mut self, down: bool) {
        self.fleet.log.down = down;
        self.record_line(if down { "log down" } else { "log up" });
    }

    fn text(&self) -> String {
        self.lines.borrow().clone()
    }
}

fn settings() -> SpreadSettings {
    SpreadSettings {
        snapshot_records: 4,
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
    session.record_streams();
    session.record_fleet(5);
    session.set_log_down(true);
    session.run(45);
    session.record_freshness();
    for name in ["config", "snapshots"] {
        session.fleet.log.stream(name).expire(0);
    }
    session.record_line("all records expired");
    session.set_log_down(false);
    session.run(30);
    session.record_streams();
    session.record_freshness();
    session.publish("plan=silver");
    session.run(3);
    session.record_line("all daemons restart");
    for index in 0..6 {
        session.fleet.kill(index);
    }
    session.run(1);
    for index in 0..6 {
        session.fleet.start(index, Duration::from_millis(500));
    }
    session.fleet.announce_members();
    session.run(10);
    session.record_freshness();
    session.record_fleet(5);
    insta::assert_snapshot!(session.text());
}

#[test]
fn readers_die() {
    let mut session = Session::new(12, settings());
    session.publish("plan=gold");
    session.run(8);
    let readers = (0..12)
        .filter(|index| {
            let node = session.fleet.slots[*index].actor.as_ref();
            node.is_some_and(Node::is_reading)
        })
        .collect::<Vec<_>>();
    for index in &readers {
        session.record_line(&format!("daemon {} stops", index + 1));
        session.fleet.kill(*index);
    }
    session.publish("plan=silver");
    session.run(5);
    let successor = (0..12)
        .find(|index| !readers.contains(index))
        .expect("a daemon that is not a reader");
    session.record_fleet(successor);
    session.run(10);
    session.record_fleet(successor);
    session.record_freshness();
    insta::assert_snapshot!(session.text());
}

#[test]
fn herd_return() {
    let mut session = Session::new(30, settings());
    for change in 0..6 {
        session.publish(&format!("plan-{change}=gold"));
    }
    session.run(20);
    session.record_streams();
    session.fleet.log.stream("config").expire(1);
    session.fleet.log.rate = Some(10);
    session.fleet.watcher = None;
    session.record_line("all daemons stop and return, the log answers 10 requests a second");
    for index in 0..30 {
        session.fleet.kill(index);
    }
    session.run(1);
    for index in 0..30 {
        session.fleet.start(index, Duration::from_secs(1));
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
        session.record_line(&format!("{serving} of 30 serve after {reads} reads"));
    }
    session.run(6);
    session.record_freshness();
    session.record_fleet(7);
    insta::assert_snapshot!(session.text());
}

#[test]
fn a_region_is_cut_off() {
    let mut session = Session::new(20, settings());
    session.publish("plan=gold");
    session.run(10);
    session.fleet.regions_partitioned = true;
    session.fleet.watcher = None;
    session.record_line("the second region loses the first and the log");
    session.run(5);
    session.publish("plan=silver");
    for _ in 0..3 {
        session.run(10);
        session.record_freshness();
    }
    session.record_fleet(0);
    session.fleet.regions_partitioned = false;
    session.record_line("the regions reach one another again");
    session.run(10);
    session.record_freshness();
    session.record_fleet(0);
    insta::assert_snapshot!(session.text());
}

#[test]
fn the_log_is_lost() {
    let mut session = Session::new(6, settings());
    for change in 0..5 {
        session.publish(&format!("plan-{change}=gold"));
    }
    session.run(10);
    session.record_line("the log begins anew with other records");
    session.fleet.log.streams.clear();
    session.publish("plan-0=bronze");
    session.run(45);
    session.record_freshness();
    session.record_fleet(5);
    session.record_line("daemon 3 restarts and takes what its peers hold");
    session.fleet.kill(2);
    session.run(1);
    session.fleet.start(2, Duration::ZERO);
    session.fleet.announce_members();
    session.run(40);
    session.record_freshness();
    session.publish("rebase 100 plan-0=gold");
    session.run(5);
    session.record_streams();
    session.publish("plan-1=silver");
    session.run(5);
    session.record_freshness();
    session.record_fleet(5);
    insta::assert_snapshot!(session.text());
}
