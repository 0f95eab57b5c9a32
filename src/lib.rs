//! Serving layer for very many LoRA adapters.
//!
//! `docs/design.md` describes the modules. Decisions live in modules without
//! I/O that take the time, inputs and random numbers as arguments; the shell
//! around them carries inputs and outputs.

mod assign;
pub mod attempt;
pub mod authority;
mod bucket;
pub mod burn;
pub mod check;
pub mod claim;
mod claimentry;
mod claimio;
mod claimread;
mod claimrow;
pub mod cli;
mod client;
mod commands;
pub mod config;
pub mod denial;
pub mod diff;
pub mod document;
pub mod dynamo;
pub mod engine;
pub mod error;
pub mod evidence;
pub mod faulty;
pub mod fields;
pub mod finding;
pub mod frames;
#[doc(hidden)]
pub mod generated;
mod help;
pub mod http;
pub mod ids;
pub mod keys;
pub mod lease;
pub mod loads;
mod loan;
pub mod log;
pub mod memory;
pub mod metrics;
pub mod operate;
pub mod owner;
pub mod place;
pub mod platform;
pub mod prefix;
pub mod promise;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod recorder;
pub mod refusal;
mod rules;
pub mod s3;
pub mod sample;
mod sample_record;
mod sample_run;
pub mod sample_service;
mod scan;
pub mod sched;
pub mod service;
pub mod settings;
pub mod slots;
mod sse;
pub mod takeover;
pub mod time;
pub mod vmlist;
pub mod withdraw;

pub use crate::error::{Category, Error, Place, Result};
