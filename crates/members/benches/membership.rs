//! scratch
#[path = "../tests/fleet/mod.rs"]
mod fleet;
use fleet::*;
use quetzal_members::MemberState;
use std::time::{Duration, Instant};

fn main() {
    for n in [720] {
        let t = Instant::now();
        let (d, r) = if n == 14 { (3, 1) } else { (5, 2) };
        let mut f = Fleet::new(n, d, r, 1);
        f.start_all();
        for s in 0..30 {
            f.run_for(Duration::from_secs(1));
            let v: Vec<usize> = f.running().map(|n| n.live_count()).collect();
            println!(
                "   {} s: min {} mean {} reads {} appends {} bytes/d {}",
                s + 1,
                v.iter().min().unwrap(),
                v.iter().sum::<usize>() / n,
                f.seconds[s].reads,
                f.seconds[s].appends,
                f.seconds[s].bytes / n as u64
            );
        }
        let c = f.run_until(Duration::from_secs(60), |f| f.is_complete());
        let reads: u64 = f.seconds.iter().map(|s| s.reads).sum();
        let pr = f.seconds.iter().map(|s| s.reads).max().unwrap();
        let pb = f.seconds.iter().map(|s| s.bytes).max().unwrap() / n as u64;
        println!(
            "{n}: complete {c:?} reads {reads} peak {pr} peak bytes/s/daemon {pb} wall {:?}",
            t.elapsed()
        );
        println!(
            "  {:?} total/daemon {}",
            f.kinds,
            f.seconds.iter().map(|s| s.bytes).sum::<u64>() / n as u64
        );
        println!("  live {:?}", f.running().map(|n| n.live_count()).min());
        f.run_for(Duration::from_secs(20));
        f.link = plain_link(0.01);
        f.reset_counts();
        let t = Instant::now();
        f.run_for(Duration::from_secs(60));
        let b: u64 = f.slots.iter().map(|s| s.bytes).sum::<u64>() / 60 / n as u64;
        let m: u64 = f.slots.iter().map(|s| s.messages).sum::<u64>() / 60 / n as u64;
        println!("  {:?}", f.kinds);
        println!(
            "  steady {b} B/s {m} msg/s false deaths {} suspicions {} wall {:?}",
            f.false_deaths(),
            f.suspicions(),
            t.elapsed()
        );
        let mut times = vec![];
        for i in 0..6 {
            f.crash(i);
            let t = f.run_until(Duration::from_secs(20), |f| {
                f.share_holding(i, |s| s == MemberState::Dead) >= 0.99
            });
            times.push(t);
            f.start(i);
            f.run_for(Duration::from_secs(10));
        }
        println!("  crash {times:?}");
    }
}
