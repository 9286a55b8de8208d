//! Reads and appends of the log service, off the control loop.
//!
//! The log's client blocks, so each job runs on a thread of the runtime's
//! blocking pool; few run at a time, since only readers wait on the log.

use std::sync::Arc;

use feed::{LogPort, ReadReply, SharedLog};
use model::{KindError, LogOffset, RecordCount, StreamName};
use spread::LogTag;
use spread::message::LogRead;
use tokio::sync::mpsc;

use crate::control::ControlEvent;
use crate::core::DaemonCore;

/// Which area asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobOwner {
    /// Distribution.
    Spread(LogTag),
    /// Membership.
    Members,
    /// Leases of key homes; appends carry their serial number.
    Leases(u64),
}

/// What a job came to.
#[derive(Debug)]
pub enum JobOutcome {
    /// A read.
    Read(JobOwner, Result<ReadReply, KindError>),
    /// An append.
    Append(JobOwner, Result<LogOffset, KindError>),
}

/// Starts jobs and hands their answers to the control loop.
#[derive(Clone, Debug)]
pub struct LogJobRunner {
    core: Arc<DaemonCore>,
    log: SharedLog,
    events: mpsc::Sender<ControlEvent>,
}

impl LogJobRunner {
    /// A desk for `log`.
    pub fn new(core: Arc<DaemonCore>, log: SharedLog, events: mpsc::Sender<ControlEvent>) -> Self {
        Self { core, log, events }
    }

    /// The way to the control loop.
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

    /// Starts a read that does not wait.
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
            let done = job(&*log);
            // A loop that has ended needs no answer.
            drop(events.blocking_send(ControlEvent::Log(done)));
        });
    }
}
