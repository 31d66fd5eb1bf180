//! The whole product on loopback: stand-ins of the platform and of backend servers, entry
//! instances in two data centres, a mixed load through real HTTP, and checks of what came of it.

pub mod check;
pub mod deployment;
pub mod load;
pub mod report;
