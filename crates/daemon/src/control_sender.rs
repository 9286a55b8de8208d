//! Control messages on their way to other daemons.
//!
//! Messages of one turn for one daemon travel as one batch. A daemon that
//! takes no batches costs a bounded number of waiting ones; what is dropped
//! is repaired by the areas' own exchanges.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::timeout;

use crate::core::DaemonCore;
use crate::peer_messages::{ControlBatch, ControlMessage, PeerRequest};

/// Batches that may wait for one daemon.
const MAX_WAITING: usize = 4;
/// Time for a daemon to take a batch.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends control messages.
#[derive(Debug)]
pub struct ControlSender {
    core: Arc<DaemonCore>,
    batches: HashMap<SocketAddr, Vec<ControlMessage>>,
    waiting: Arc<Mutex<HashMap<SocketAddr, usize>>>,
}

impl ControlSender {
    /// A courier with nothing to send.
    pub fn new(core: Arc<DaemonCore>) -> Self {
        Self {
            core,
            batches: HashMap::new(),
            waiting: Arc::default(),
        }
    }

    /// Adds a message to the batch for `address`.
    pub fn add(&mut self, address: SocketAddr, message: ControlMessage) {
        self.batches.entry(address).or_default().push(message);
    }

    /// Sends every batch.
    pub fn flush(&mut self) {
        for (address, messages) in std::mem::take(&mut self.batches) {
            if !self.claim(address) {
                self.core.counters.count("control-batches-dropped");
                continue;
            }
            let batch = ControlBatch {
                from: self.core.id,
                address: self.core.settings.peer_address,
                stamp: self.core.trace().stamp(),
                messages,
            };
            let core = Arc::clone(&self.core);
            let waiting = Arc::clone(&self.waiting);
            self.core.tasks.spawn(async move {
                send_batch(&core, address, batch).await;
                release(&waiting, address);
            });
        }
    }

    fn claim(&self, address: SocketAddr) -> bool {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let count = waiting.entry(address).or_default();
        let free = *count < MAX_WAITING;
        if free {
            *count += 1;
        }
        free
    }
}

fn release(waiting: &Mutex<HashMap<SocketAddr, usize>>, address: SocketAddr) {
    let mut waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(count) = waiting.get_mut(&address) {
        *count -= 1;
        if *count == 0 {
            waiting.remove(&address);
        }
    }
}

async fn send_batch(core: &DaemonCore, address: SocketAddr, batch: ControlBatch) {
    let bytes: usize = batch.messages.iter().map(ControlMessage::len).sum();
    core.counters.count("control-batches");
    core.counters.add("control-bytes", bytes as u64);
    let request = PeerRequest::Control(batch);
    let sending = core.pool.notify(address, &request);
    match timeout(SEND_TIMEOUT, sending).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => core.counters.count_error(error.kind),
        Err(_) => core.counters.count("control-batches-late"),
    }
}
