//! Routing decisions: which models to try and in which order, which version, which server,
//! whether to admit and whether to retry. Nothing here does I/O; time and randomness are handed
//! in, so that every decision can be replayed.

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
