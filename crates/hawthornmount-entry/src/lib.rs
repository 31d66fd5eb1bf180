//! The request path of an entry instance: filters from HTTP in to HTTP out, in the one list of
//! [`filter::chain`], and around it the control thread, the operators' interface and the start and
//! graceful stop of an instance.

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
