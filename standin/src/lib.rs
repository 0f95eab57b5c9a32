//! Stand-ins for the platforms and their endpoints, and a load tool.
//!
//! [`platform`] replaces the services of a cloud platform; its endpoints are the sample engine
//! and service of the main package, which the demo uses too. [`row_store`] and
//! [`endpoint_instance`] replace the store and the endpoints of the users' platform.

pub mod caller;
pub mod http_server;
pub mod instance;
pub mod load;
pub mod node;
pub mod object_store;
pub mod platform;
pub mod report;
pub mod rows;
pub mod table;
pub mod weight_store;
pub mod world;
