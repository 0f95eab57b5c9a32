//! Instants, durations and the clock that leases use.
//!
//! A node must notice that its lease expired while its VM was suspended, so the
//! production clock also counts time in suspension (`CLOCK_BOOTTIME`).

use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Milliseconds, as a duration or as an instant since an arbitrary start.
///
/// Sums and differences saturate.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Ms(pub u64);

impl Ms {
    /// Duration of `s` seconds.
    pub const fn secs(s: u64) -> Self {
        Self(s * 1000)
    }

    /// Time from `earlier` until `self`; zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts to a duration of the standard library.
    pub const fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Add for Ms {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Ms {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Ms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// Source of the current instant.
pub trait Clock: Clone + Send + Sync + 'static {
    /// The current instant.
    fn now(&self) -> Ms;
}

/// Monotonic system clock that includes time in suspension (`CLOCK_BOOTTIME`).
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Ms {
        let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Ms(t.tv_sec as u64 * 1000 + t.tv_nsec as u64 / 1_000_000)
    }
}

/// Milliseconds since the Unix epoch, for records and reports; not for leases.
pub fn wall_clock() -> Ms {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    Ms(since.map_or(0, |d| d.as_millis() as u64))
}
