//! Serving layer for very many LoRA adapters.
//!
//! `docs/design.md` describes the modules. Decisions live in modules without
//! I/O that take the time, inputs and random numbers as arguments; the shell
//! around them carries inputs and outputs.

pub mod denial;
pub mod attempt;
mod bucket;
pub mod check;
pub mod config;
pub mod error;
pub mod fields;
pub mod finding;
pub mod ids;
pub mod loads;
pub mod place;
pub mod platform;
pub mod quota;
pub mod quarantine;
pub mod queue;
pub mod sched;
pub mod slots;
pub mod keys;
pub mod platform;
mod rules;
pub mod dynamo;
pub mod engine;
pub mod error;
pub mod frames;
pub mod http;
pub mod ids;
pub mod memory;
pub mod platform;
pub mod s3;
pub mod service;
pub mod sse;
pub mod time;
pub mod vmlist;

#[doc(hidden)]
pub mod generated;

pub use crate::error::{Category, Error, Place, Result};
