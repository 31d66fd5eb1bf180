//! Admission: who may start next when more arrives than can run.

mod demand;
mod gate;

pub use {
    demand::{Demand, Rate},
    gate::{Arrival, Called, Decision, Gate, Ticket},
};
