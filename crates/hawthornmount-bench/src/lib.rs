//! Experiments that measure hawthornmount during development. Each takes a seed, is bounded in time
//! and number of requests, uses only loopback addresses and checks its figures against the targets
//! of the project.

pub mod compare;
pub mod experiment;
pub mod figure;
pub mod load;
pub mod plot;
pub mod testbed;
pub mod usage;
