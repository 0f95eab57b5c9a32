//! Baseline scheduler of one engine: first in, first out with least recently used slots.

use std::collections::{BTreeMap, VecDeque};

use super::store::Store;
use super::traffic::Request;
use super::{BATCH, LOADS, SLOTS};

/// Queue and slots of one engine.
pub struct Fifo {
    /// Whether a request whose adapter is loaded may go before one that waits for a load.
    pub overtaking: bool,
    pub queue: VecDeque<usize>,
    pub running: usize,
    loaded: BTreeMap<usize, Slot>,
    loading: Vec<usize>,
}

struct Slot {
    used: u64,
    pins: usize,
}

/// What became of queued requests.
#[derive(Default)]
pub struct Pumped {
    pub started: Vec<usize>,
    pub expired: Vec<usize>,
    /// Requests that wait beside a free place of the batch.
    pub blocked: Vec<usize>,
}

impl Fifo {
    pub fn new(overtaking: bool) -> Self {
        let (queue, loaded, loading) = Default::default();
        Self { overtaking, queue, running: 0, loaded, loading }
    }

    pub fn loaded(&mut self, now: u64, adapter: usize) {
        self.loading.retain(|a| *a != adapter);
        self.loaded.insert(adapter, Slot { used: now, pins: 0 });
    }

    pub fn ended(&mut self, adapter: usize) {
        self.running -= 1;
        if let Some(slot) = self.loaded.get_mut(&adapter) {
            slot.pins -= 1;
        }
    }

    /// Starts what can start and orders loads for the first requests of the queue.
    pub fn pump(&mut self, now: u64, at: usize, requests: &[Request], store: &mut Store) -> Pumped {
        let mut out = Pumped::default();
        self.queue.retain(|r| {
            let alive = requests[*r].deadline > now;
            if !alive {
                out.expired.push(*r);
            }
            alive
        });
        let mut i = 0;
        while i < self.queue.len() && self.running < BATCH {
            let request = self.queue[i];
            if let Some(slot) = self.loaded.get_mut(&requests[request].adapter) {
                slot.used = now;
                slot.pins += 1;
                self.running += 1;
                self.queue.remove(i);
                out.started.push(request);
            } else if self.overtaking {
                i += 1;
            } else {
                break;
            }
        }
        out.blocked.extend(self.queue.iter().take(BATCH - self.running));
        let first: Vec<_> = self.queue.iter().take(SLOTS).map(|r| requests[*r].adapter).collect();
        for adapter in first {
            if self.loading.len() >= LOADS {
                break;
            }
            if self.loaded.contains_key(&adapter) || self.loading.contains(&adapter) {
                continue;
            }
            if self.loaded.len() + self.loading.len() >= SLOTS {
                let free = self.loaded.iter().filter(|(_, s)| s.pins == 0);
                let Some(oldest) = free.min_by_key(|(_, s)| s.used).map(|(a, _)| *a) else { break };
                self.loaded.remove(&oldest);
            }
            self.loading.push(adapter);
            store.order(now, at, adapter);
        }
        out
    }
}
