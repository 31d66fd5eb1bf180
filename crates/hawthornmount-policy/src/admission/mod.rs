//! Admission control: which request starts next when more arrive than can run. Both request paths use
//! it: the own interface by accounts, routes by urgency and account.

mod demand;
mod queue;
mod scheduler;

pub use {
    demand::{Demand, Rate},
    queue::{Permit, Queue, Refused},
    scheduler::{Arrival, Decision, Dispatched, Due, Scheduler, Ticket},
};
