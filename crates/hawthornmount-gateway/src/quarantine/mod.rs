//! Parts of prompts that end servers.
//!
//! A part of a prompt can end every server that begins to write an answer on it. A request that ends a
//! server breaks off right after the head of its answer ([`start::Start`]).

pub mod start;
