//! Serving layer for very many LoRA adapters.
//!
//! `docs/design.md` describes the modules. Decisions live in modules without
//! I/O that take the time, inputs and random numbers as arguments; the shell
//! around them carries inputs and outputs.

mod assign;
pub mod authority;
pub mod error;
pub mod ids;
pub mod lease;
pub mod owner;
pub mod platform;
pub mod promise;
mod scan;
pub mod takeover;
pub mod time;

pub use crate::error::{Category, Error, Place, Result};
