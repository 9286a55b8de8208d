//! Injection of faults during a run.

use std::time::Duration;

use model::ClockPort;
use quetzal_route::{AdmissionGate, TargetView};

use crate::run::{Answer, Attempt, COLD_TIME, Event, Run, domain, gate_config};
use crate::scenario::{self, Fault};

/// Time after which a proxy gives up on a lost target.
pub const LOST_AFTER: Duration = Duration::from_millis(250);

/// Time after which the membership detects a loss.
const DETECTION: Duration = Duration::from_secs(2);

/// Time between two changes under churn.
const CHURN_STEP: Duration = Duration::from_millis(500);

impl Run {
    /// Injects the fault; `number` counts the changes.
    pub fn inject(&mut self, number: usize) {
        match (self.scenario.fault, number) {
            (Fault::ColdStart, 0) => {
                self.targets[0].present = false;
                self.update_targets();
                self.schedule(Duration::from_secs(1), Event::Inject(1));
            }
            (Fault::ColdStart, _) => {
                self.targets[0].present = true;
                self.targets[0].cold_until = self.clock.now() + COLD_TIME;
                self.update_targets();
            }
            (Fault::DomainLost, _) => {
                self.domain_lost = true;
                for index in 0..self.targets.len() {
                    if self.targets[index].domain == 0 {
                        self.lose(index);
                    }
                }
                self.schedule(DETECTION, Event::UpdateTargets);
            }
            (Fault::Churn, _) => {
                let index = (number / 2) % self.targets.len();
                self.targets[index].present = number % 2 == 1;
                self.update_targets();
                self.schedule(CHURN_STEP, Event::Inject(number + 1));
            }
            _ => {}
        }
    }

    /// Removes a target and loses all attempts sent to it that have no answer yet.
    fn lose(&mut self, index: usize) {
        self.targets[index].present = false;
        self.targets[index].gate = AdmissionGate::new(gate_config(&self.size), self.clock.shared());
        self.targets[index].running = 0;
        let at_target = |attempt: &Attempt| attempt.choice.target == index;
        let lost = self
            .attempts
            .iter()
            .filter(|(_, attempt)| at_target(attempt));
        let mut lost: Vec<u64> = lost.map(|(number, _)| *number).collect();
        lost.sort_unstable();
        for number in lost {
            self.schedule(LOST_AFTER, Event::AnswerArrives(number, Answer::Lost));
        }
    }

    /// Updates the targets known to the proxies.
    pub fn update_targets(&mut self) {
        let now = self.clock.now();
        let mut views: Vec<TargetView> = Vec::new();
        for (index, target) in self.targets.iter().enumerate() {
            if target.present {
                // A restarted target is cold for `COLD_TIME`, so it started that long before.
                let since = target.cold_until.checked_sub(COLD_TIME).unwrap_or(now);
                let name = domain(target.domain);
                let since = since.max(self.targets_started);
                views.push(scenario::view(index as u64, name, self.size.slots, since));
            }
        }
        for proxy in &mut self.proxies {
            proxy.chooser.set_targets(&views);
        }
    }
}
