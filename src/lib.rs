//! Serving layer for LoRA adapters.
//!
//! `docs/design.md` describes the modules. Decision logic is in modules without I/O,
//! which take the time, inputs and random numbers as arguments. The module `shell`
//! performs the I/O: it passes inputs to them and carries out their outputs.

mod admin;
pub mod admission;
mod answer;
mod assignment;
pub mod attempt;
pub mod authority;
mod bring;
mod bucket;
pub mod burn_rate;
pub mod cell_placement;
pub mod cell_router;
pub mod check;
pub mod claim;
mod claim_driver;
mod claim_entry;
mod claim_read;
mod claim_row;
mod claim_types;
pub mod cli;
mod client;
mod commands;
mod completion;
pub mod config;
mod connection_limit;
#[doc(hidden)]
pub mod core;
pub mod demo;
pub mod denial;
pub mod deployment;
pub mod diff;
pub mod document;
pub mod dynamo;
pub mod edge;
pub mod endpoint_choice;
pub mod endpoint_holders;
pub mod endpoint_table;
pub mod engine;
#[doc(hidden)]
pub mod entry_node;
pub mod error;
pub mod exposition;
#[doc(hidden)]
pub mod failpoint;
pub mod faulty;
pub mod fields;
pub mod finding;
mod flight;
pub mod frames;
mod front;
mod gateway;
#[doc(hidden)]
pub mod generated;
mod heartbeat;
mod help;
pub mod http;
pub mod ids;
pub mod invariant;
pub mod keys;
pub mod lease;
pub mod load_demands;
pub mod log;
mod membership;
pub mod memory;
mod mesh;
pub mod metrics;
pub mod node;
mod openai;
pub mod operate;
pub mod order_planner;
mod orders;
mod owned_endpoint;
pub mod ownership;
mod peer;
mod peer_handler;
mod permit;
#[doc(hidden)]
pub mod permit_issuer;
pub mod platform;
pub mod ports;
pub mod prefix_cache;
pub mod promise;
pub mod quarantine;
pub mod queue;
pub mod quota;
mod quota_types;
mod record;
pub mod refusal_record;
pub mod refusal_store;
pub mod refusal_writer;
mod relay;
pub mod resend_budget;
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
mod service_call;
pub mod settings;
mod shell;
pub mod sink;
pub mod slots;
pub mod sse;
pub mod storage;
pub mod takeover;
pub mod team_limits;
pub mod time;
pub mod vmlist;
mod watching;
#[doc(hidden)]
pub mod wire;
pub mod withdraw;

pub use crate::error::{Category, Error, Place, Result};
