//! Serving layer for very many LoRA adapters.
//!
//! `docs/design.md` describes the modules. Decisions live in modules without
//! I/O that take the time, inputs and random numbers as arguments; the shell
//! around them carries inputs and outputs.

pub mod check;
pub mod config;
pub mod error;
pub mod fields;
pub mod finding;
pub mod ids;
pub mod keys;
pub mod platform;
mod rules;
pub mod time;

pub use crate::error::{Category, Error, Place, Result};
