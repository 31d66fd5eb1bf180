//! The whole product on loopback: stand-ins for the platform and for backend servers, entry
//! instances in several data centres, a mixed load over HTTP, and checks of its results.

pub mod check;
pub mod deployment;
pub mod load;
pub mod report;
