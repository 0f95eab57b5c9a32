//! Serving layer for very many LoRA adapters.
//!
//! `docs/design.md` describes the modules. Decisions live in modules without
//! I/O that take the time, inputs and random numbers as arguments; the shell
//! around them carries inputs and outputs.

pub mod cell;
pub mod error;
pub mod ids;
pub mod loads;
pub mod place;
pub mod platform;
pub mod prefix;
pub mod quarantine;
pub mod queue;
pub mod sched;
pub mod slots;
pub mod time;

pub use crate::error::{Category, Error, Place, Result};
