//! Serving layer for LoRA adapters.
//!
//! `docs/design.md` describes the modules. Decisions live in modules without
//! I/O that take the time, inputs and random numbers as arguments; the shell
//! around them carries inputs and outputs.

mod admin;
pub mod admission;
mod answer;
mod assign;
pub mod attempt;
pub mod authority;
mod beat;
mod bring;
mod bucket;
pub mod burn;
mod calls;
pub mod cell;
pub mod check;
pub mod choice;
pub mod claim;
mod claimentry;
mod claimio;
mod claimread;
mod claimrow;
pub mod cli;
mod client;
mod commands;
mod completion;
pub mod config;
#[doc(hidden)]
pub mod core;
pub mod demo;
pub mod denial;
pub mod deployment;
pub mod depot;
pub mod diff;
pub mod document;
pub mod dynamo;
pub mod edge;
pub mod endpoints;
pub mod engine;
#[doc(hidden)]
pub mod entry;
pub mod error;
pub mod evidence;
pub mod exposition;
#[doc(hidden)]
pub mod failpoint;
pub mod faulty;
pub mod fields;
pub mod finding;
mod fleet;
mod flight;
pub mod frames;
mod front;
mod gateway;
#[doc(hidden)]
pub mod generated;
#[doc(hidden)]
pub mod grant;
mod help;
pub mod http;
pub mod ids;
pub mod invariant;
mod keyed;
pub mod keys;
pub mod lease;
mod limit;
pub mod loads;
mod loan;
pub mod log;
pub mod memory;
mod mesh;
pub mod metrics;
pub mod node;
mod openai;
pub mod operate;
mod orders;
mod owned;
pub mod owner;
mod peer;
mod peer_handler;
mod permit;
pub mod place;
pub mod platform;
pub mod ports;
pub mod prefix;
pub mod promise;
pub mod quarantine;
pub mod queue;
pub mod quota;
mod record;
pub mod recorder;
pub mod refusal;
mod relay;
pub mod resend;
mod retry;
pub mod routing;
mod rules;
pub mod s3;
pub mod sample;
mod sample_record;
mod sample_run;
pub mod sample_service;
mod scan;
pub mod sched;
pub mod sched_types;
mod serve;
pub mod service;
pub mod settings;
pub mod share;
mod shell;
pub mod sink;
pub mod slots;
pub mod sse;
pub mod steward;
pub mod storage;
pub mod takeover;
pub mod time;
pub mod vmlist;
mod watching;
#[doc(hidden)]
pub mod wire;
pub mod withdraw;

pub use crate::error::{Category, Error, Place, Result};
