//! A fleet of three daemons, with an in-memory log and function calls as the network.
//!
//! Shows how an embedder executes each output. Run it with
//! `cargo run -p quetzal-spread --example fleet`.

use std::collections::VecDeque;
use std::time::Duration;

use feed::port::{LogRecord, ReadReply, RecordBatch};
use model::{ClockPort, DaemonId, FakeClock, IncarnationNumber, LogOffset};
use quetzal_spread::{
    FakeReplica, LogRead, SpreadMember, SpreadMessage, SpreadNode, SpreadOutput, SpreadSettings,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Message in transit.
struct Envelope {
    from: DaemonId,
    to: DaemonId,
    message: SpreadMessage,
}

/// Daemons with the network and the log between them.
struct Fleet {
    clock: FakeClock,
    nodes: Vec<SpreadNode<FakeReplica>>,
    queue: VecDeque<Envelope>,
    config: Vec<LogRecord>,
}

fn main() {
    let mut fleet = Fleet::new(3);
    fleet.publish("kiosk=basic");
    fleet.run(Duration::from_secs(3));
    fleet.publish("kiosk=gold");
    fleet.run(Duration::from_secs(3));
    for node in &fleet.nodes {
        let plan = node.replica().value("kiosk").unwrap_or("none");
        println!(
            "the plan of kiosk is {plan}, the configuration is {}",
            node.freshness().state
        );
    }
    if let Some((summary, age)) = fleet.nodes[2].fleet_summary() {
        let (reporting, members) = (summary.sum.reporting(), summary.members);
        println!("{reporting} of {members} daemons reported {age:?} ago");
    }
}

impl Fleet {
    fn new(daemons: u64) -> Self {
        let clock = FakeClock::new();
        let members = (1..=daemons).map(member).collect::<Vec<_>>();
        let nodes = members.iter().map(|own| make_node(&clock, own, &members));
        Self {
            nodes: nodes.collect(),
            clock,
            queue: VecDeque::new(),
            config: Vec::new(),
        }
    }

    fn publish(&mut self, text: &str) {
        let offset = LogOffset(self.config.len() as u64);
        println!("published {text} at {offset}");
        self.config.push(LogRecord {
            offset,
            at: self.clock.wall(),
            body: text.as_bytes().into(),
        });
    }

    fn run(&mut self, span: Duration) {
        let tick = Duration::from_millis(100);
        for _ in 0..span.as_millis() / tick.as_millis() {
            self.clock.advance(tick);
            for index in 0..self.nodes.len() {
                let outputs = self.nodes[index].on_tick();
                self.execute(index, outputs);
            }
            self.deliver_messages();
        }
    }

    fn deliver_messages(&mut self) {
        while let Some(envelope) = self.queue.pop_front() {
            let index = envelope.to.0 as usize - 1;
            let outputs = self.nodes[index].on_peer_message(envelope.from, envelope.message);
            self.execute(index, outputs);
        }
    }

    fn execute(&mut self, index: usize, outputs: Vec<SpreadOutput>) {
        let from = DaemonId(index as u64 + 1);
        for output in outputs {
            match output {
                SpreadOutput::Send { to, message } => {
                    self.queue.push_back(Envelope { from, to, message });
                }
                SpreadOutput::ReadLog(read) => self.read(index, &read),
                SpreadOutput::Append(append) => {
                    println!(
                        "{:6.1?} daemon {from} writes a snapshot",
                        self.clock.elapsed()
                    );
                    self.nodes[index].on_append_answer(append.tag, &Ok(LogOffset(0)));
                }
                SpreadOutput::Applied(version) => {
                    println!(
                        "{:6.1?} daemon {from} applies {version}",
                        self.clock.elapsed()
                    );
                    self.nodes[index].on_in_force(version);
                }
                SpreadOutput::Alarm(alarm) => {
                    println!("{:6.1?} daemon {from}: {alarm}", self.clock.elapsed());
                }
            }
        }
    }

    /// Answers a read at once; the snapshot stream is empty.
    fn read(&mut self, index: usize, read: &LogRead) {
        let is_config = read.stream.as_str() == "config";
        let stream = if is_config {
            self.config.as_slice()
        } else {
            &[]
        };
        let start = (read.from.0 as usize).min(stream.len());
        let answer = ReadReply::Batch(RecordBatch {
            first: LogOffset(0),
            next: LogOffset(stream.len() as u64),
            records: stream[start..].to_vec(),
        });
        let outputs = self.nodes[index].on_log_answer(read.tag, Ok(answer));
        self.execute(index, outputs);
    }
}

fn make_node(
    clock: &FakeClock,
    own: &SpreadMember,
    members: &[SpreadMember],
) -> SpreadNode<FakeReplica> {
    let mut node = SpreadNode::new(
        SpreadSettings::default(),
        clock.shared(),
        SmallRng::seed_from_u64(own.id.0),
        FakeReplica::new(),
        own.clone(),
    );
    node.set_members(members);
    node
}

fn member(id: u64) -> SpreadMember {
    SpreadMember {
        id: DaemonId(id),
        domain: "domain-1".parse().expect("valid name"),
        region: "region-1".parse().expect("valid name"),
        run: IncarnationNumber(1),
    }
}
