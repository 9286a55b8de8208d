//! Three daemons enforce the rate limit of one customer together.

use std::time::Duration;

use model::{CallCount, CallRate, DaemonId, FakeClock};
use quetzal_limits::{LimitGate, LimitOutput, PlanLimit, TICK_INTERVAL};

fn main() -> model::Result<()> {
    let clock = FakeClock::new();
    let members: Vec<DaemonId> = (1..=3).map(DaemonId).collect();
    let gate = |&me| LimitGate::new(me, clock.shared());
    let mut gates: Vec<LimitGate> = members.iter().map(gate).collect();
    for gate in &mut gates {
        gate.set_members(&members);
    }
    let customer = "nile-brands".parse()?;
    let service = "catalog".parse()?;
    let limit = PlanLimit {
        rate: CallRate(100.0),
        concurrency: CallCount(20),
    };

    let mut admitted = [0, 0, 0];
    for step in 0..3000 {
        // The first daemon gets three times as many calls as the second, the third gets none.
        let index = usize::from(step % 4 == 3);
        if let Ok(ticket) = gates[index].admit(&customer, &service, limit) {
            admitted[index] += 1;
            gates[index].release(ticket);
        }
        let mut in_transit = Vec::new();
        for (index, gate) in gates.iter_mut().enumerate() {
            let outputs = if step % 20 == 0 {
                gate.on_tick()
            } else {
                gate.report_new_keys()
            };
            in_transit.extend(outputs.into_iter().map(|output| (members[index], output)));
        }
        while let Some((from, LimitOutput::Send { to, message })) = in_transit.pop() {
            let outputs = gates[to.0 as usize - 1].on_message(from, message);
            in_transit.extend(outputs.into_iter().map(|output| (to, output)));
        }
        clock.advance(TICK_INTERVAL / 20);
    }
    let elapsed = Duration::as_secs(&clock.elapsed());
    println!("200 calls/s for {elapsed} s under a limit of 100/s: admitted {admitted:?}");
    Ok(())
}
