//! What every other crate of hawthornmount shares: ids, the clock, settings, the configuration
//! model and its merge, the reasons of refusals and retries, metrics, and the immutable snapshot
//! that the control thread publishes to the traffic threads.
//!
//! Nothing in this crate opens a socket.

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
