//! Actors that the harness can run: the distributor or a baseline to compare it with.

use std::time::Duration;

use feed::port::{ReadReply, Result as LogResult};
use model::{ConfigVersion, DaemonId, FakeClock, LogOffset};
use quetzal_spread::{
    FakeReplica, LogAppend, LogRead, LogTag, SpreadMember, SpreadMessage, SpreadNode, SpreadOutput,
    SpreadSettings,
};
use rand::rngs::SmallRng;
use serde::{Serialize, de::DeserializeOwned};

/// Action requested by an actor.
pub enum Effect<M> {
    Send { to: DaemonId, message: M },
    Read(LogRead),
    Append(LogAppend),
    Applied(ConfigVersion),
    Alarm(String),
}

/// Daemon in the harness.
pub trait FleetActor {
    type Message: Clone + Serialize + DeserializeOwned;

    fn tick(&mut self) -> Vec<Effect<Self::Message>>;
    fn message(&mut self, from: DaemonId, message: Self::Message) -> Vec<Effect<Self::Message>>;
    fn log_answer(
        &mut self,
        tag: LogTag,
        answer: LogResult<ReadReply>,
    ) -> Vec<Effect<Self::Message>>;
    fn set_members(&mut self, members: &[SpreadMember]);

    fn append_answer(
        &mut self,
        _tag: LogTag,
        _answer: LogResult<LogOffset>,
    ) -> Vec<Effect<Self::Message>> {
        Vec::new()
    }

    fn in_force(&mut self, _version: ConfigVersion) {}

    /// Returns whether the daemon reads the log.
    fn is_log_reader(&self) -> bool;

    /// Returns whether the daemon reports `version` as in force on all members.
    fn shows_in_force(&self, _version: ConfigVersion) -> bool {
        false
    }

    /// Returns the age of the latest proof of freshness, if there is one.
    fn proof_age(&self) -> Option<Duration> {
        None
    }

    fn encode(message: &Self::Message) -> Vec<u8> {
        bincode::serde::encode_to_vec(message, bincode::config::standard()).expect("encodes")
    }

    fn decode(body: &[u8]) -> Self::Message {
        bincode::serde::decode_from_slice(body, bincode::config::standard())
            .expect("decodes")
            .0
    }
}

/// Distributor under test.
pub type Node = SpreadNode<FakeReplica>;

impl FleetActor for Node {
    type Message = SpreadMessage;

    fn tick(&mut self) -> Vec<Effect<SpreadMessage>> {
        effects(self.on_tick())
    }

    fn message(&mut self, from: DaemonId, message: SpreadMessage) -> Vec<Effect<SpreadMessage>> {
        effects(self.on_peer_message(from, message))
    }

    fn log_answer(
        &mut self,
        tag: LogTag,
        answer: LogResult<ReadReply>,
    ) -> Vec<Effect<SpreadMessage>> {
        effects(self.on_log_answer(tag, answer))
    }

    fn append_answer(
        &mut self,
        tag: LogTag,
        answer: LogResult<LogOffset>,
    ) -> Vec<Effect<SpreadMessage>> {
        effects(self.on_append_answer(tag, &answer))
    }

    fn set_members(&mut self, members: &[SpreadMember]) {
        Self::set_members(self, members);
    }

    fn is_log_reader(&self) -> bool {
        self.is_reading()
    }

    fn shows_in_force(&self, version: ConfigVersion) -> bool {
        let summary = self.fleet_summary();
        summary.is_some_and(|(summary, _)| summary.is_in_force_everywhere(version))
    }

    fn proof_age(&self) -> Option<Duration> {
        self.freshness().proof_age
    }

    fn in_force(&mut self, version: ConfigVersion) {
        self.on_in_force(version);
    }
}

fn effects(outputs: Vec<SpreadOutput>) -> Vec<Effect<SpreadMessage>> {
    outputs
        .into_iter()
        .map(|output| match output {
            SpreadOutput::Send { to, message } => Effect::Send { to, message },
            SpreadOutput::ReadLog(read) => Effect::Read(read),
            SpreadOutput::Append(append) => Effect::Append(append),
            SpreadOutput::Applied(version) => Effect::Applied(version),
            SpreadOutput::Alarm(alarm) => Effect::Alarm(alarm.to_string()),
        })
        .collect()
}

/// Returns a factory of distributors with these settings.
pub fn node_factory(settings: SpreadSettings) -> super::Factory<Node> {
    Box::new(move |clock: &FakeClock, rng: SmallRng, member| {
        SpreadNode::new(
            settings.clone(),
            clock.shared(),
            rng,
            FakeReplica::new(),
            member.clone(),
        )
    })
}
