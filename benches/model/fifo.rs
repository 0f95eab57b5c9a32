//! Baseline scheduler of one engine: first in, first out, with replacement of the least
//! recently used adapter.

use std::collections::{BTreeMap, VecDeque};

use super::store::Store;
use super::traffic::Request;
use super::{BATCH, MAX_LOADS, SLOTS};

/// Queue and slots of one engine.
pub struct Fifo {
    /// Whether a request whose adapter is loaded may start before one that waits for a load.
    pub overtaking: bool,
    /// Queued requests.
    pub queue: VecDeque<usize>,
    /// Number of running requests.
    pub running: usize,
    loaded: BTreeMap<usize, Slot>,
    loading: Vec<usize>,
}

struct Slot {
    last_used: u64,
    pins: usize,
}

/// Changes of the queue.
#[derive(Default)]
pub struct QueueChanges {
    pub started: Vec<usize>,
    pub expired: Vec<usize>,
    /// Requests that wait although the batch has room.
    pub blocked: Vec<usize>,
}

impl Fifo {
    pub fn new(overtaking: bool) -> Self {
        let (queue, loaded, loading) = Default::default();
        Self { overtaking, queue, running: 0, loaded, loading }
    }

    pub fn on_loaded(&mut self, now: u64, adapter: usize) {
        self.loading.retain(|a| *a != adapter);
        self.loaded.insert(adapter, Slot { last_used: now, pins: 0 });
    }

    pub fn on_end(&mut self, adapter: usize) {
        self.running -= 1;
        if let Some(slot) = self.loaded.get_mut(&adapter) {
            slot.pins -= 1;
        }
    }

    /// Starts the requests that can start and orders loads for the first requests of the queue.
    pub fn start_requests(
        &mut self,
        now: u64,
        at: usize,
        requests: &[Request],
        store: &mut Store,
    ) -> QueueChanges {
        let mut out = QueueChanges::default();
        self.queue.retain(|r| {
            let in_time = requests[*r].deadline > now;
            if !in_time {
                out.expired.push(*r);
            }
            in_time
        });
        let mut i = 0;
        while i < self.queue.len() && self.running < BATCH {
            let request = self.queue[i];
            if let Some(slot) = self.loaded.get_mut(&requests[request].adapter) {
                slot.last_used = now;
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
            if self.loading.len() >= MAX_LOADS {
                break;
            }
            if self.loaded.contains_key(&adapter) || self.loading.contains(&adapter) {
                continue;
            }
            if self.loaded.len() + self.loading.len() >= SLOTS {
                let free = self.loaded.iter().filter(|(_, s)| s.pins == 0);
                let Some(oldest) = free.min_by_key(|(_, s)| s.last_used).map(|(a, _)| *a) else {
                    break;
                };
                self.loaded.remove(&oldest);
            }
            self.loading.push(adapter);
            store.queue_load(now, at, adapter);
        }
        out
    }
}
