//! Weight store that determines the duration of adapter loads of all engines.
//!
//! Loads start at a limited rate, and a limited number runs at the same time. A load takes a
//! fixed time up to a threshold of loads in flight over all engines, including waiting ones,
//! and proportionally longer above it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::{Mutex, Semaphore};
use tokio::time::{Instant, sleep, sleep_until};

/// Configuration of a weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreSpec {
    /// Maximum number of loads started per second.
    pub start_rate: f64,
    /// Maximum number of loads that run at the same time.
    pub parallel: usize,
    /// Duration of one load.
    pub load_time: Duration,
    /// Number of loads in flight above which each takes proportionally longer.
    pub slowdown_above: u64,
}

impl Default for WeightStoreSpec {
    fn default() -> Self {
        Self {
            start_rate: 3.0,
            parallel: 2,
            load_time: Duration::from_millis(250),
            slowdown_above: 16,
        }
    }
}

/// Weight store of all engines.
pub struct WeightStore {
    spec: WeightStoreSpec,
    permits: Semaphore,
    // Earliest start of the next load.
    next_start: Mutex<Instant>,
    in_flight: AtomicU64,
    loads: AtomicU64,
}

impl WeightStore {
    /// Creates a store without loads in flight.
    pub fn new(spec: WeightStoreSpec) -> Self {
        Self {
            spec,
            permits: Semaphore::new(spec.parallel),
            next_start: Mutex::new(Instant::now()),
            in_flight: AtomicU64::new(0),
            loads: AtomicU64::new(0),
        }
    }

    /// Number of loads finished so far.
    pub fn loads(&self) -> u64 {
        self.loads.load(Ordering::Relaxed)
    }

    /// Waits until one load has finished.
    pub async fn load(&self) {
        let in_flight = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        let _guard = InFlightGuard(&self.in_flight);
        let Ok(_permit) = self.permits.acquire().await else { return };
        let start = {
            let mut next_start = self.next_start.lock().await;
            let start = (*next_start).max(Instant::now());
            *next_start = start + Duration::from_secs_f64(1.0 / self.spec.start_rate.max(0.001));
            start
        };
        sleep_until(start).await;
        let slowdown = in_flight as f64 / self.spec.slowdown_above.max(1) as f64;
        sleep(self.spec.load_time.mul_f64(slowdown.max(1.0))).await;
        self.loads.fetch_add(1, Ordering::Relaxed);
    }
}

/// Removes a load from the count in flight on drop, also if its caller has gone away.
struct InFlightGuard<'a>(&'a AtomicU64);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
