//! The ways of choosing a target that are compared.

use std::time::{Duration, Instant};

use model::{ClockPort, DaemonId, DomainName, FakeClock, ServiceName};
use quetzal_route::{CallOutcome, PickedTarget, PickerConfig, TargetPicker, TargetView};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smallvec::SmallVec;

/// A way of choosing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickStrategy {
    Random,
    RoundRobin,
    TwoChoices,
    Picker,
    /// The picker, and a second attempt elsewhere when the first takes long.
    Hedged,
}

impl PickStrategy {
    pub const ALL: [Self; 5] = [
        Self::Random,
        Self::RoundRobin,
        Self::TwoChoices,
        Self::Picker,
        Self::Hedged,
    ];

    /// Whether the choice is the picker's.
    pub fn has_picker(self) -> bool {
        matches!(self, Self::Picker | Self::Hedged)
    }

    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::TwoChoices => "two choices",
            Self::Picker => "picker",
            Self::Hedged => "hedged",
        }
    }
}

/// The choice of one proxy.
pub struct Chooser {
    strategy: PickStrategy,
    service: ServiceName,
    ready: Vec<usize>,
    in_flight: Vec<u32>,
    turn: usize,
    random: SmallRng,
    picker: TargetPicker,
}

/// A choice to be finished.
pub struct Choice {
    pub target: usize,
    ticket: Option<PickedTarget>,
}

impl Chooser {
    pub fn new(strategy: PickStrategy, domain: DomainName, clock: &FakeClock, seed: u64) -> Self {
        let config = PickerConfig {
            domain,
            region: SmallVec::new(),
            slow_start: quetzal_route::SlowStart::default(),
        };
        let mut random = SmallRng::seed_from_u64(seed);
        let picker_random = SmallRng::from_rng(&mut random);
        Self {
            strategy,
            service: "catalog".parse().expect("a sound name"),
            ready: Vec::new(),
            in_flight: Vec::new(),
            turn: random.random_range(0..1000),
            random,
            picker: TargetPicker::new(config, clock.shared(), picker_random),
        }
    }

    /// Takes the targets that the membership knows over; ids are positions.
    pub fn set_targets(&mut self, views: &[TargetView]) {
        self.ready = views.iter().map(|view| view.daemon.0 as usize).collect();
        let count = self.ready.iter().max().map_or(0, |most| most + 1);
        self.in_flight.resize(count.max(self.in_flight.len()), 0);
        if self.strategy.has_picker() {
            self.picker.set_targets(&self.service, views);
        }
    }

    pub fn pick(&mut self, exclude: &[DaemonId]) -> Option<Choice> {
        if self.strategy.has_picker() {
            let ticket = self.picker.pick(&self.service, exclude)?;
            return Some(Choice {
                target: ticket.view.daemon.0 as usize,
                ticket: Some(ticket),
            });
        }
        let allowed = |index: &usize| !exclude.contains(&DaemonId(*index as u64));
        let ready: SmallVec<[usize; 32]> = self.ready.iter().copied().filter(allowed).collect();
        if ready.is_empty() {
            return None;
        }
        let target = match self.strategy {
            PickStrategy::RoundRobin => {
                self.turn += 1;
                ready[self.turn % ready.len()]
            }
            PickStrategy::TwoChoices => {
                let first = ready[self.random.random_range(0..ready.len())];
                let second = ready[self.random.random_range(0..ready.len())];
                let fewer = self.in_flight[second] < self.in_flight[first];
                if fewer { second } else { first }
            }
            PickStrategy::Random | PickStrategy::Picker | PickStrategy::Hedged => {
                ready[self.random.random_range(0..ready.len())]
            }
        };
        self.in_flight[target] += 1;
        Some(Choice {
            target,
            ticket: None,
        })
    }

    pub fn finish(&mut self, choice: &Choice, outcome: &CallOutcome) {
        match &choice.ticket {
            Some(ticket) => self.picker.finish(ticket, outcome),
            None => self.in_flight[choice.target] -= 1,
        }
    }
}

/// Wall time of one pick and finish, the mean over `rounds`, at `count` targets.
pub fn pick_cost(count: u64, rounds: u32) -> Duration {
    let clock = FakeClock::new();
    let domain = |number: u64| -> DomainName {
        let name = format!("domain-{}", number % 5);
        name.parse().expect("a sound name")
    };
    let views: Vec<TargetView> = (0..count)
        .map(|number| crate::scenario::view(number, domain(number), 10, clock.now()))
        .collect();
    clock.advance(Duration::from_secs(60));
    let mut chooser = Chooser::new(PickStrategy::Picker, domain(0), &clock, 1);
    chooser.set_targets(&views);
    let outcome = CallOutcome {
        latency: Duration::from_millis(20),
        waited: Duration::ZERO,
        result: quetzal_route::CallResult::Done,
        load: Some(quetzal_route::TargetLoad::default()),
    };
    let start = Instant::now();
    for _ in 0..rounds {
        if let Some(choice) = chooser.pick(&[]) {
            chooser.finish(&choice, &outcome);
        }
    }
    start.elapsed() / rounds
}
