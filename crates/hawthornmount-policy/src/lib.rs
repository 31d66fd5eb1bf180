//! Routing decisions: which models to try and in which order, which version, which server,
//! whether to admit a request and whether to retry it.
//!
//! This crate does no I/O, and decisions take the current time as an argument. The random choices
//! of models and servers follow from the seed of [`adaptive::Adaptive::with_seed`], so that they
//! can be reproduced; the random choice of a version under roll-out ([`version::choose`]) and those
//! of [`basic`] have no seed.

pub mod adaptive;
pub mod admission;
pub mod basic;
pub mod budget;
pub mod cascade;
pub mod eligibility;
pub mod residency;
pub mod router;
pub mod server;
pub mod speed;
pub mod version;

pub use router::{Candidate, Choice, Plan, Query, Router};
