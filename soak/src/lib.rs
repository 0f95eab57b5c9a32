//! Fault soak: edge nodes as real processes before stand-ins, under seeded faults.
//!
//! A seed gives a plan of faults that overlap and come in series. Signals, proxies and
//! the stand-ins carry it out from outside while callers send; the checks see only what
//! callers and endpoints saw.

pub mod callers;
pub mod check;
pub mod fleet;
pub mod plan;
pub mod proxy;
