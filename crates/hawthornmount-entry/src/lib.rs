//! Entry instance of the router. Requests pass through the filters listed in [`filter::chain`]. The
//! other modules are the control thread, the operators' interface, and the start and graceful
//! shutdown of an instance.

pub mod admin;
pub mod answer;
pub mod api;
pub mod control;
pub mod exchange;
pub mod filter;
pub mod instance;
pub mod rater;
pub mod session;
pub mod trace;

pub use {exchange::Exchange, filter::Filter, instance::Instance};
