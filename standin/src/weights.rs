//! Weight store: times the loads of adapters over all engines.
//!
//! Loads start at a limited rate, and only so many run at once. One load takes a
//! fixed time as long as few are in flight over all engines, waiting ones
//! included, and proportionally longer beyond that.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::{Mutex, Semaphore};
use tokio::time::{Instant, sleep, sleep_until};

/// Bounds of a weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightSpec {
    /// Loads started per second.
    pub rate: f64,
    /// Loads that run at once.
    pub parallel: usize,
    /// Time of one load.
    pub time: Duration,
    /// Loads in flight beyond which each takes longer.
    pub knee: u64,
}

impl Default for WeightSpec {
    fn default() -> Self {
        Self { rate: 3.0, parallel: 2, time: Duration::from_millis(250), knee: 16 }
    }
}

/// Weight store.
pub struct Weights {
    spec: WeightSpec,
    places: Semaphore,
    // When the next load may start.
    next: Mutex<Instant>,
    flight: AtomicU64,
    loads: AtomicU64,
}

impl Weights {
    /// A store without loads.
    pub fn new(spec: WeightSpec) -> Self {
        Self {
            spec,
            places: Semaphore::new(spec.parallel),
            next: Mutex::new(Instant::now()),
            flight: AtomicU64::new(0),
            loads: AtomicU64::new(0),
        }
    }

    /// Loads finished so far.
    pub fn loads(&self) -> u64 {
        self.loads.load(Ordering::Relaxed)
    }

    /// Waits until a load is done.
    pub async fn load(&self) {
        let flight = self.flight.fetch_add(1, Ordering::Relaxed) + 1;
        let _leave = Leave(&self.flight);
        let Ok(_place) = self.places.acquire().await else { return };
        let start = {
            let mut next = self.next.lock().await;
            let start = (*next).max(Instant::now());
            *next = start + Duration::from_secs_f64(1.0 / self.spec.rate.max(0.001));
            start
        };
        sleep_until(start).await;
        let crowd = flight as f64 / self.spec.knee.max(1) as f64;
        sleep(self.spec.time.mul_f64(crowd.max(1.0))).await;
        self.loads.fetch_add(1, Ordering::Relaxed);
    }
}

/// Counts a load out of flight, also when its caller goes away.
struct Leave<'a>(&'a AtomicU64);

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
