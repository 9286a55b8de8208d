//! Sends control messages to other daemons in batches.
//!
//! The messages of one iteration of the control loop for one daemon form a batch. Only a
//! limited number of batches wait for a daemon that does not accept them. Later batches are
//! dropped; distribution, membership, limits and leases each repair lost messages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::timeout;

use crate::core::DaemonCore;
use crate::peer_messages::{ControlBatch, ControlMessage, PeerRequest};

/// Maximum number of unsent batches for one daemon.
const MAX_PENDING_BATCHES: usize = 4;
/// Time for a daemon to accept a batch.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Collects control messages and sends them in batches.
#[derive(Debug)]
pub struct ControlSender {
    core: Arc<DaemonCore>,
    batches: HashMap<SocketAddr, Vec<ControlMessage>>,
    pending: Arc<Mutex<HashMap<SocketAddr, usize>>>,
}

impl ControlSender {
    /// Returns a sender without messages.
    pub fn new(core: Arc<DaemonCore>) -> Self {
        Self {
            core,
            batches: HashMap::new(),
            pending: Arc::default(),
        }
    }

    /// Adds a message to the batch for `address`.
    pub fn add(&mut self, address: SocketAddr, message: ControlMessage) {
        self.batches.entry(address).or_default().push(message);
    }

    /// Sends all batches.
    pub fn flush(&mut self) {
        for (address, messages) in std::mem::take(&mut self.batches) {
            if !self.try_reserve(address) {
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
            let pending = Arc::clone(&self.pending);
            self.core.tasks.spawn(async move {
                send_batch(&core, address, batch).await;
                release(&pending, address);
            });
        }
    }

    fn try_reserve(&self, address: SocketAddr) -> bool {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let count = pending.entry(address).or_default();
        let free = *count < MAX_PENDING_BATCHES;
        if free {
            *count += 1;
        }
        free
    }
}

fn release(pending: &Mutex<HashMap<SocketAddr, usize>>, address: SocketAddr) {
    let mut pending = pending.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(count) = pending.get_mut(&address) {
        *count -= 1;
        if *count == 0 {
            pending.remove(&address);
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
