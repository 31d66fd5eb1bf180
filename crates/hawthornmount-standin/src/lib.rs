//! Small stand-ins for what the platform gives: the key-value service's gateway, model engines,
//! plain services, the service that rates answers and the list of instances. Each is a real HTTP
//! server on loopback with faults that a test can switch on, and keeps count of what really ran.

pub mod engine;
pub mod list;
pub mod rating;
pub mod service;
pub mod store;
pub mod weights;

mod fault;
mod http;
