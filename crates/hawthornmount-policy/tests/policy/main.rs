//! Tests of the routing policy.

mod admission;
mod budget;
mod cascade;
mod fleet;
mod reason;
mod residency;
mod router;
mod server;
mod speed;
