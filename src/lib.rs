//! Serving layer for very many LoRA adapters.
//!
//! `docs/design.md` describes the modules. Decisions live in modules without
//! I/O that take the time, inputs and random numbers as arguments; the shell
//! around them carries inputs and outputs.

pub mod burn;
pub mod check;
pub mod cli;
mod client;
mod commands;
pub mod config;
pub mod diff;
pub mod document;
pub mod error;
pub mod evidence;
pub mod fields;
pub mod finding;
mod help;
pub mod ids;
pub mod keys;
pub mod log;
pub mod metrics;
pub mod operate;
pub mod platform;
pub mod recorder;
pub mod refusal;
mod rules;
pub mod settings;
pub mod time;
pub mod withdraw;

pub use crate::error::{Category, Error, Place, Result};
