//! Serving layer for very many LoRA adapters.
//!
//! `docs/design.md` describes the modules. Decisions live in modules without
//! I/O that take the time, inputs and random numbers as arguments; the shell
//! around them carries inputs and outputs.

pub mod attempt;
mod bucket;
pub mod claim;
mod claimentry;
mod claimio;
mod claimread;
mod claimrow;
pub mod error;
pub mod ids;
mod loan;
pub mod platform;
pub mod quota;
pub mod time;

pub use crate::error::{Category, Error, Place, Result};
