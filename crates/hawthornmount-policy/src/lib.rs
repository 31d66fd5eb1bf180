//! Routing decisions: which models to try and in which order, which version, which server,
//! whether to admit a request and whether to retry it.
//!
//! This crate does no I/O. The decisions take the current time and the random values as arguments,
//! so that they can be reproduced.

pub mod adaptive;
pub mod admission;
pub mod basic;
pub mod budget;
pub mod cascade;
pub mod eligibility;
pub mod router;
pub mod server;
pub mod version;

pub use router::{Candidate, Choice, Plan, Query, Router};
