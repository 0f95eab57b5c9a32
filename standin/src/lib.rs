//! Stand-ins for the platform, and a load tool.
//!
//! The stand-ins for the endpoints are the sample engine and service of the main
//! package, which its demo uses as well.

pub mod caller;
pub mod endpoint_instance;
pub mod load;
pub mod node;
pub mod plain;
pub mod platform;
pub mod report;
pub mod row_store;
pub mod store;
pub mod table;
pub mod test_setup;
pub mod weights;
