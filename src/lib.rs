//! Serving layer for very many LoRA adapters.
//!
//! `docs/design.md` describes the modules. Decisions live in modules without
//! I/O that take the time, inputs and random numbers as arguments; the shell
//! around them carries inputs and outputs.

pub mod attempt;
mod bucket;
pub mod burn;
pub mod check;
pub mod cli;
mod client;
mod commands;
pub mod config;
pub mod denial;
pub mod dynamo;
pub mod engine;
mod assign;
pub mod authority;
pub mod claim;
mod claimentry;
mod claimio;
mod claimread;
mod claimrow;
pub mod error;
mod fields;
pub mod finding;
pub mod faulty;
pub mod frames;
#[doc(hidden)]
pub mod generated;
pub mod http;
pub mod ids;
pub mod keys;
pub mod loads;
pub mod memory;
pub mod place;
mod loan;
pub mod platform;
pub mod prefix;
pub mod quarantine;
pub mod queue;
pub mod quota;
mod rules;
pub mod s3;
pub mod sched;
pub mod sample;
mod sample_record;
mod sample_run;
pub mod sample_service;
pub mod service;
pub mod slots;
mod sse;
pub mod lease;
pub mod owner;
pub mod platform;
pub mod promise;
mod scan;
pub mod takeover;
pub mod time;
pub mod vmlist;
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
