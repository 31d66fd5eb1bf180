//! Path of an instance to the servers, and the way around it through another instance.
//!
//! An instance that reaches no server is told from servers that are down by [`links`]: connections to
//! several servers of several data centres fail at once. It passes its callers' requests to a
//! neighbour ([`neighbour`]), which serves them like those of its own callers: routes, keys, limits,
//! quarantine and retries are decided there. A request is passed once at the most, and marked
//! ([`pass`]) with a secret that only instances can read.

pub mod links;
pub mod monitor;
pub mod neighbour;
pub mod pass;
