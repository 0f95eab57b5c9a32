//! Stand-ins for the platforms and their endpoints, and a load tool.
//!
//! [`platform`] replaces the services of a cloud platform; its endpoints are the sample engine
//! and service of the main package, which the demo uses too. [`row_store`] and
//! [`endpoint_instance`] replace the store and the endpoints of the users' platform.

pub mod caller;
pub mod endpoint_instance;
pub mod http_server;
pub mod load;
pub mod node;
pub mod object_store;
pub mod orders;
pub mod platform;
pub mod proxy;
pub mod report;
pub mod row_store;
pub mod table;
pub mod test_setup;
pub mod weight_store;
