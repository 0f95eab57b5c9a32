//! Fault soak: runs edge nodes as real processes against stand-ins under seeded faults.
//!
//! Each seed determines a plan of overlapping faults in series. The faults are injected from
//! outside, by signals, proxies and the stand-ins, while callers send requests. The checks
//! use only what callers and endpoints observed.

pub mod callers;
pub mod check;
pub mod fleet;
pub mod plan;
