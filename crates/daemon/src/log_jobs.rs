//! Runs reads and appends on the log service outside of the control loop.
//!
//! The log client blocks, so each job runs on a thread of the runtime's blocking pool. Few
//! jobs run at a time, since only readers of the configuration and key homes wait for records.

use std::sync::Arc;

use feed::{LogPort, ReadReply, SharedLog};
use model::{KindError, LogOffset, RecordCount, StreamName};
use spread::LogTag;
use spread::message::LogRead;
use tokio::sync::mpsc;

use crate::control::ControlEvent;
use crate::core::DaemonCore;

/// The area that started a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobOwner {
    /// Distribution.
    Spread(LogTag),
    /// Membership.
    Members,
    /// Leases of key homes; appends carry their serial number.
    Leases(u64),
}

/// Result of a job.
#[derive(Debug)]
pub enum JobOutcome {
    /// The result of a read.
    Read(JobOwner, Result<ReadReply, KindError>),
    /// The result of an append.
    Append(JobOwner, Result<LogOffset, KindError>),
}

/// Starts jobs and sends their results to the control loop.
#[derive(Clone, Debug)]
pub struct LogJobRunner {
    core: Arc<DaemonCore>,
    log: SharedLog,
    events: mpsc::Sender<ControlEvent>,
}

impl LogJobRunner {
    /// Returns a runner for jobs on `log`.
    pub fn new(core: Arc<DaemonCore>, log: SharedLog, events: mpsc::Sender<ControlEvent>) -> Self {
        Self { core, log, events }
    }

    /// Returns the channel to the control loop.
    pub fn events(&self) -> &mpsc::Sender<ControlEvent> {
        &self.events
    }

    /// Starts a read.
    pub fn read(&self, owner: JobOwner, read: LogRead) {
        self.core.counters.count("log-reads");
        self.run(move |log| {
            JobOutcome::Read(
                owner,
                log.read(&read.stream, read.from, read.limit, read.wait),
            )
        });
    }

    /// Starts an append.
    pub fn append(&self, owner: JobOwner, stream: StreamName, body: Box<[u8]>) {
        self.core.counters.count("log-appends");
        self.run(move |log| JobOutcome::Append(owner, log.append(&stream, &body)));
    }

    /// Starts a read that does not wait for new records.
    pub fn read_now(
        &self,
        owner: JobOwner,
        stream: StreamName,
        from: LogOffset,
        limit: RecordCount,
    ) {
        let read = LogRead {
            tag: LogTag::default(),
            stream,
            from,
            limit,
            wait: std::time::Duration::ZERO,
        };
        self.read(owner, read);
    }

    fn run(&self, job: impl FnOnce(&dyn LogPort) -> JobOutcome + Send + 'static) {
        let log = Arc::clone(&self.log);
        let events = self.events.clone();
        self.core.tasks.spawn_blocking(move || {
            let outcome = job(&*log);
            // A control loop that has ended needs no result.
            drop(events.blocking_send(ControlEvent::Log(outcome)));
        });
    }
}
