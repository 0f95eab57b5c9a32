//! Serving layer for LoRA adapters.
//!
//! `docs/design.md` describes the modules. Decision logic is in modules without I/O,
//! which take the time, inputs and random numbers as arguments. The module `shell`
//! performs the I/O: it passes inputs to them and carries out their outputs.

mod adapter_wait;
mod admin_api;
mod admin_client;
pub mod admission;
mod assignment;
pub mod attempt;
pub mod authority;
mod bucket;
pub mod burn_rate;
pub mod cell_placement;
pub mod cell_router;
pub mod claim;
mod claim_driver;
mod claim_entry;
mod claim_read;
mod claim_row;
mod claim_types;
pub mod cli;
mod commands;
mod completion;
pub mod config;
pub mod config_check;
pub mod config_diff;
pub mod config_document;
mod config_rules;
pub mod config_store;
mod connection_limit;
#[doc(hidden)]
pub mod core;
pub mod crash_evidence;
mod crash_watch;
pub mod demo;
pub mod denial;
pub mod departures;
pub mod deployment;
pub mod dynamo;
pub mod edge;
mod edge_listeners;
pub mod endpoint_choice;
pub mod endpoint_holders;
pub mod endpoint_limits;
pub mod endpoint_table;
pub mod engine_client;
#[doc(hidden)]
pub mod entry_node;
pub mod error;
pub mod exposition;
#[doc(hidden)]
pub mod failpoint;
pub mod faulty_listener;
pub mod finding;
pub mod frames;
mod gateway;
#[doc(hidden)]
pub mod generated;
mod heartbeat;
mod help;
pub mod http_client;
pub mod ids;
pub mod invariant;
pub mod key_withdrawal;
pub mod keys;
pub mod lease;
pub mod load_demands;
pub mod log_sink;
pub mod logging;
mod membership;
pub mod memory;
mod mesh;
pub mod metrics;
pub mod node_settings;
pub mod node_tasks;
mod openai;
mod order_executor;
pub mod order_planner;
pub mod overdue;
mod owned_endpoint;
pub mod ownership;
mod peer_handler;
mod peer_links;
mod permit;
#[doc(hidden)]
pub mod permit_issuer;
pub mod platform;
pub mod ports;
pub mod prefix_cache;
pub mod promise;
pub mod quarantine;
pub mod quarantine_list;
mod quarantine_store;
pub mod queue;
pub mod quota;
mod quota_types;
pub mod read_schedule;
pub mod refusal_record;
pub mod refusal_store;
pub mod refusal_writer;
mod request_log;
mod request_proxy;
mod request_send;
mod request_types;
pub mod resend_budget;
mod response_body;
mod retry;
pub mod routing;
pub mod row_version;
pub mod s3;
pub mod sample_engine;
mod sample_record;
mod sample_run;
pub mod sample_service;
mod scan;
pub mod sched;
pub mod sched_types;
mod sent_request;
mod service_call;
pub mod service_client;
pub mod shared_limits;
mod shell;
pub mod slots;
pub mod sse;
pub mod storage;
mod store_calls;
pub mod store_health;
mod store_watcher;
pub mod takeover;
pub mod time;
pub mod toml_fields;
pub mod vm_list;
#[doc(hidden)]
pub mod wire;

pub use crate::error::{Category, Error, Location, Result};
