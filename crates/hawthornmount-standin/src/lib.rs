//! Stand-ins for the platform's services and for backend servers: the key-value service's gateway,
//! model engines, plain services, the rating service, the weight store and the instance list. Each
//! is an HTTP server on loopback whose behaviour a test can change. Engines and services record
//! what they ran, the weight store records its fetches.

pub mod engine;
pub mod list;
pub mod rating;
pub mod service;
pub mod store;
pub mod weights;

mod fault;
mod http;
