//! The asynchronous loop that writes refusal batches.

use std::sync::{Arc, Mutex};

use tokio::sync::watch;

use crate::refusal_record::{Recorder, Stored};
use crate::refusal_store::write_batch;
use crate::storage::Objects;
use crate::time::{Ms, wall_clock};

/// How often the loop looks for a due batch.
const POLL: Ms = Ms(250);
/// Longest time for one write. A write that lands later is recognised on the retry.
const WRITE: Ms = Ms::secs(10);
/// Longest time that a shutdown waits for the last batches.
const FLUSH: Ms = Ms::secs(5);

/// Writes batches until `stop` becomes true, then flushes what is left.
///
/// Returns the number of records that could not be written.
pub async fn run<O: Objects>(
    recorder: Arc<Mutex<Recorder>>,
    objects: O,
    mut stop: watch::Receiver<bool>,
) -> usize {
    let lock = || recorder.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    while !*stop.borrow() {
        let batch = lock().next_batch(wall_clock(), false);
        match batch {
            Some(batch) => {
                let write = tokio::time::timeout(WRITE.to_std(), write_batch(&objects, &batch));
                let stored = write.await.unwrap_or(Stored::Failed);
                lock().on_stored(wall_clock(), stored);
            }
            None => {
                tokio::select! {
                    () = tokio::time::sleep(POLL.to_std()) => {}
                    changed = stop.changed() => {
                        if changed.is_err() {
                            break;
                        }
                    }
                }
            }
        }
    }
    let flush = async {
        loop {
            let Some(batch) = lock().next_batch(wall_clock(), true) else { break };
            let stored = write_batch(&objects, &batch).await;
            let failed = stored == Stored::Failed;
            lock().on_stored(wall_clock(), stored);
            if failed {
                tokio::time::sleep(POLL.to_std()).await;
            }
        }
    };
    let _ = tokio::time::timeout(FLUSH.to_std(), flush).await;
    let left = lock().stats().records;
    if left > 0 {
        log::warn!("{left} refusal records could not be written before the shutdown");
    }
    left
}
