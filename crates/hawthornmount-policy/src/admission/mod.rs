//! Admission control: which request starts next when more arrive than can run.

mod demand;
mod scheduler;

pub use {
    demand::{Demand, Rate},
    scheduler::{Arrival, Decision, Dispatched, Scheduler, Ticket},
};
