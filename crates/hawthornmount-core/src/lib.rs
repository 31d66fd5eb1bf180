//! Types and functions shared by all hawthornmount crates: ids, the clock, settings, the
//! configuration model and its merge, the reasons of refusals and retries, metrics, and the
//! immutable snapshot that the control thread publishes to the traffic threads.
//!
//! This crate does no network I/O.

pub mod clock;
pub mod config;
pub mod id;
pub mod merge;
pub mod metrics;
pub mod problem;
pub mod reason;
pub mod settings;
pub mod snapshot;
pub mod table;
pub mod units;
