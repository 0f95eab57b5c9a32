//! Formats and calls of the users' platform.
//!
//! Wire names are decoded here, once, into the types of the modules that use
//! them. These modules only encode and decode: they send nothing, retry nothing and
//! choose nothing.

pub mod document;
pub mod entry;
pub mod headers;
pub mod order;
pub mod settings;
pub mod store;
