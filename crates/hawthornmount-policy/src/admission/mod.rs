//! Admission: who may start next when more arrives than can run.

mod demand;
mod scheduler;

pub use {
    demand::{Demand, Rate},
    scheduler::{Arrival, Decision, Dispatched, Scheduler, Ticket},
};
