//! Serving layer for very many LoRA adapters.
//!
//! `docs/design.md` describes the modules. Decisions live in modules without
//! I/O that take the time, inputs and random numbers as arguments; the shell
//! around them carries inputs and outputs.

pub mod dynamo;
pub mod engine;
pub mod error;
pub mod faulty;
pub mod frames;
pub mod http;
pub mod ids;
pub mod memory;
pub mod platform;
pub mod s3;
pub mod sample;
mod sample_record;
mod sample_run;
pub mod sample_service;
pub mod service;
pub mod sse;
pub mod time;
pub mod vmlist;

pub use crate::error::{Category, Error, Place, Result};
