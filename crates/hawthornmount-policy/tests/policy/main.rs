//! Decisions of the policy, case by case.

mod admission;
mod budget;
mod cascade;
mod fleet;
mod reason;
mod router;
mod server;
