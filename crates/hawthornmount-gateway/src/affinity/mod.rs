//! Prefix affinity: which server caches the shared prefix of prompts.
//!
//! Many requests can share a long prompt prefix. An instance knows only which prompts it sent
//! itself, so without coordination each instance would have the prefix processed at a different
//! server, and again after a restart. All instances therefore assign a shared prefix to the same
//! preferred server by rendezvous hashing over the servers that they see; when a server joins or
//! leaves, only its own prefixes move. The preferred server is assumed to have cached the prefix,
//! so it is chosen unless its wait is longer than the prefill of the prefix at another server.

use {
    crate::{
        load::{self, Stats},
        message::Part,
    },
    hawthornmount_core::id::{ModelId, ServerId},
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// Returns the preferred server for the shared prefix of a prompt, or `None` if the prompt has no
/// shared prefix or there are no servers.
pub fn preferred_server<'a>(
    model: Option<&ModelId>,
    prompt: &[Part],
    servers: impl Iterator<Item = &'a ServerId>,
) -> Option<&'a ServerId> {
    let prefix = load::prefixes(model, shared_parts(prompt)).last()?;
    let weight = |server: &&ServerId| {
        let mut hasher = DefaultHasher::new();
        (prefix, server).hash(&mut hasher);
        hasher.finish()
    };
    servers.max_by_key(weight)
}

/// Returns the number of leading tokens of a prompt that a server has probably cached; the
/// preferred server counts as having cached the shared prefix.
pub fn cached_tokens(
    stats: &Stats,
    model: Option<&ModelId>,
    prompt: &[Part],
    is_preferred: bool,
) -> u32 {
    let known = stats.cached_tokens(model, prompt);
    if is_preferred {
        known.max(shared_parts(prompt).iter().map(|part| part.tokens).sum())
    } else {
        known
    }
}

/// Returns the parts that other requests can share: all but the last, which is specific to the
/// request or its session.
fn shared_parts(prompt: &[Part]) -> &[Part] {
    prompt.split_last().map_or(&[], |(_own, shared)| shared)
}
