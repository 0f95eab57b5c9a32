//! Task that writes refusal batches to the object store.

use std::sync::{Arc, Mutex};

use tokio::sync::watch;

use crate::refusal_record::{Recorder, WriteOutcome};
use crate::refusal_store::write_batch;
use crate::storage::Objects;
use crate::time::{Ms, wall_clock};

/// Interval between checks for a due batch.
const POLL_INTERVAL: Ms = Ms(250);
/// Timeout of a write. If the write succeeds later, the retry finds its object.
const WRITE_TIMEOUT: Ms = Ms::secs(10);
/// Maximum time that a shutdown waits for the last batches.
const FLUSH_TIMEOUT: Ms = Ms::secs(5);

/// Writes batches until `stop` becomes true, then the remaining records.
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
                let write =
                    tokio::time::timeout(WRITE_TIMEOUT.to_std(), write_batch(&objects, &batch));
                let outcome = write.await.unwrap_or(WriteOutcome::Failed);
                lock().on_stored(wall_clock(), outcome);
            }
            None => {
                tokio::select! {
                    () = tokio::time::sleep(POLL_INTERVAL.to_std()) => {}
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
            let outcome = write_batch(&objects, &batch).await;
            let failed = outcome == WriteOutcome::Failed;
            lock().on_stored(wall_clock(), outcome);
            if failed {
                tokio::time::sleep(POLL_INTERVAL.to_std()).await;
            }
        }
    };
    let _ = tokio::time::timeout(FLUSH_TIMEOUT.to_std(), flush).await;
    let left = lock().stats().records;
    if left > 0 {
        log::warn!("{left} refusal records could not be written before the shutdown");
    }
    left
}
