//! Routing decisions: which models to try and in which order, which version, which server,
//! whether to admit and whether to retry. Nothing here does I/O; time and randomness are handed
//! in, so that every decision can be replayed.

pub mod adaptive;
pub mod admission;
pub mod basic;
pub mod budget;
pub mod cascade;
pub mod plan;
pub mod rule;
pub mod server;
pub mod version;

pub use plan::{Candidate, Choice, Plan, Query, Router};
