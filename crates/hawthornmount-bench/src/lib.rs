//! Experiments of hawthornmount, for development only: each is seeded, bounded in time and count,
//! stays on loopback and compares its figures with the targets of the project.

pub mod compare;
pub mod experiment;
pub mod figure;
pub mod load;
pub mod plot;
pub mod testbed;
pub mod usage;
