//! Path of an instance to the servers.
//!
//! An instance that reaches no server is told from servers that are down by [`links`]: connections to
//! several servers of several data centres fail at once.

pub mod links;
pub mod monitor;
