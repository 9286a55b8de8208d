//! Three members discover one another and learn of a target, without sockets.
//!
//!     cargo run -p quetzal-members --example members

use std::collections::VecDeque;
use std::time::Duration;

use feed::port::{LogRecord, ReadReply, RecordBatch};
use model::{CallCount, ClockPort, DaemonId, FakeClock, IncarnationNumber, LogOffset};
use quetzal_members::{
    JoinTiming, MemberMessage, MemberNode, MemberOutput, MemberProfile, MemberSettings,
    TICK_INTERVAL, TargetAnnouncement, TargetRegistry, TargetState,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const DAEMONS: u64 = 3;

fn main() {
    let clock = FakeClock::new();
    let mut nodes: Vec<MemberNode> = (0..DAEMONS).map(|number| node(number, &clock)).collect();
    let mut registry = TargetRegistry::new(clock.shared());
    registry
        .announce(announcement())
        .expect("the announcement is valid");
    nodes[0].set_targets(registry.digests());

    let mut log: Vec<LogRecord> = Vec::new();
    let mut queue: VecDeque<(u64, u64, MemberMessage)> = VecDeque::new();
    for _ in 0..60 {
        clock.advance(TICK_INTERVAL);
        for number in 0..DAEMONS {
            let outputs = nodes[number as usize].on_tick();
            carry_out(number, outputs, &mut nodes, &mut log, &mut queue, &clock);
        }
        while let Some((from, to, message)) = queue.pop_front() {
            let outputs = nodes[to as usize].on_message(DaemonId(from), message);
            carry_out(to, outputs, &mut nodes, &mut log, &mut queue, &clock);
        }
    }
    println!("after {:?}:", clock.elapsed());
    let service = "catalog".parse().expect("a constant name is valid");
    for node in &nodes {
        println!(
            "{} knows {} members; targets of {service}: {:?}",
            node.own_record().profile.name,
            node.live_count(),
            node.targets(&service)
                .iter()
                .map(|view| view.digest.target.to_string())
                .collect::<Vec<_>>()
        );
    }
}

fn carry_out(
    from: u64,
    outputs: Vec<MemberOutput>,
    nodes: &mut [MemberNode],
    log: &mut Vec<LogRecord>,
    queue: &mut VecDeque<(u64, u64, MemberMessage)>,
    clock: &FakeClock,
) {
    for output in outputs {
        match output {
            MemberOutput::Send { to, message, .. } => queue.push_back((from, to.0, message)),
            MemberOutput::Append { body, .. } => log.push(LogRecord {
                offset: LogOffset(log.len() as u64),
                at: clock.wall(),
                body,
            }),
            MemberOutput::ReadMembers { from: offset, .. } => {
                let start = log.len().min(offset.0 as usize);
                let answer = ReadReply::Batch(RecordBatch {
                    first: LogOffset(0),
                    next: LogOffset(log.len() as u64),
                    records: log[start..].to_vec(),
                });
                let more = nodes[from as usize].on_read_answer(&answer);
                carry_out(from, more, nodes, log, queue, clock);
            }
            MemberOutput::Contact { .. } | MemberOutput::Changed(_) | MemberOutput::Superseded => {}
        }
    }
}

fn node(number: u64, clock: &FakeClock) -> MemberNode {
    let name = |text: String| text.parse().expect("a short name is valid");
    let address = format!("10.0.0.{}:7000", number + 1)
        .parse()
        .expect("an address");
    let settings = MemberSettings {
        id: DaemonId(number),
        incarnation: IncarnationNumber(1),
        profile: MemberProfile {
            name: name(format!("vm-{number}")),
            peer_address: address,
            caller_address: address,
            domain: format!("domain-{number}").parse().expect("a short name"),
            region: "cairo".parse().expect("a short name"),
        },
        record_interval: Duration::from_secs(600),
        seeds: Vec::new(),
        join_timing: JoinTiming::default(),
    };
    MemberNode::new(settings, clock.shared(), SmallRng::seed_from_u64(number))
}

fn announcement() -> TargetAnnouncement {
    TargetAnnouncement {
        target: "catalog-1".parse().expect("a short name"),
        service: "catalog".parse().expect("a short name"),
        address: "10.0.0.1:8080".parse().expect("an address"),
        slots: CallCount(10),
        connections: CallCount(130),
        state: TargetState::Ready,
        load: 0.2,
        incarnation: IncarnationNumber(1),
    }
}
