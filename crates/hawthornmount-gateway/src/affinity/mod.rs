//! Which server reads the shared parts of prompts.
//!
//! An instance only knows which prompts it sent itself, so without an agreement each instance has a
//! shared part read at another server, and again after its restart. All instances give a shared part
//! the same home by rendezvous hashing over the servers they see; a server that comes or goes moves
//! only its own parts. The home counts as having read the part, so it is chosen while its wait is not
//! longer than reading the part elsewhere takes.
//!
//! Answers the load of long prompts with parts that many requests share, sent by many instances.

use {
    crate::{
        load::{self, Stats},
        message::Part,
    },
    hawthornmount_core::id::{ModelId, ServerId},
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// Returns the home of a prompt's shared parts among servers; `None` if the prompt shares nothing.
pub fn preferred_server<'a>(
    model: Option<&ModelId>,
    prompt: &[Part],
    servers: impl Iterator<Item = &'a ServerId>,
) -> Option<&'a ServerId> {
    let shared = load::prefixes(model, shared(prompt)).last()?;
    let weight = |server: &&ServerId| {
        let mut hasher = DefaultHasher::new();
        (shared, server).hash(&mut hasher);
        hasher.finish()
    };
    servers.max_by_key(weight)
}

/// Returns how many leading tokens of a prompt a server has probably read.
pub fn cached_tokens(
    stats: &Stats,
    model: Option<&ModelId>,
    prompt: &[Part],
    is_preferred: bool,
) -> u32 {
    let known = stats.cached_tokens(model, prompt);
    if is_preferred {
        known.max(shared(prompt).iter().map(|part| part.tokens).sum())
    } else {
        known
    }
}

/// Returns the parts that other requests share: all but the last, which belongs to the request
/// itself or to its session.
fn shared(prompt: &[Part]) -> &[Part] {
    prompt.split_last().map_or(&[], |(_own, shared)| shared)
}
