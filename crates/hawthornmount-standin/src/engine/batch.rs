//! Continuous batching, prefix cache and limited memory of the stand-in engine.

use {
    parking_lot::Mutex,
    std::{collections::VecDeque, sync::Arc, time::Duration},
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Most slices in which an answer's time is spent, so that it follows the size of the batch.
pub const SLICES: u128 = 8;
/// Shortest slice, longer than the timer's grain.
pub const MIN_SLICE: Duration = Duration::from_millis(10);
/// Bytes of a prompt's start that tell prefixes apart.
const PREFIX_BYTES: usize = 256;

/// How an engine batches and what it can hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Factor on the times of every version, to make one engine slow.
    pub slowdown: f64,
    /// Time between tokens with all slots busy over that of a single request, less 1.
    pub congestion: f64,
    /// Time that a token of the prompt takes, unless it is cached.
    pub prefill_per_token: Duration,
    /// Tokens of prompts and answers that fit into memory at a time.
    pub memory_tokens: u32,
    /// Prompt prefixes that are cached.
    pub cached_prefixes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            congestion: 0.0,
            prefill_per_token: Duration::ZERO,
            memory_tokens: u32::MAX >> 4,
            cached_prefixes: 0,
        }
    }
}

/// State of the batch.
pub struct Batch {
    limits: Mutex<Limits>,
    memory: Mutex<Arc<Semaphore>>,
    cache: Mutex<VecDeque<Arc<str>>>,
    hits: Mutex<CacheStats>,
}

/// Use of the prefix cache.
#[derive(Clone, Copy, Debug, Default)]
pub struct CacheStats {
    /// Prompts whose prefix was cached.
    pub hits: u64,
    /// All prompts.
    pub lookups: u64,
}

impl Batch {
    pub fn new() -> Self {
        let limits = Limits::default();
        Self {
            limits: Mutex::new(limits),
            memory: Mutex::new(Arc::new(Semaphore::new(limits.memory_tokens as usize))),
            cache: Mutex::default(),
            hits: Mutex::default(),
        }
    }

    pub fn set(&self, limits: Limits) {
        if self.limits.lock().memory_tokens != limits.memory_tokens {
            *self.memory.lock() = Arc::new(Semaphore::new(limits.memory_tokens as usize));
        }
        *self.limits.lock() = limits;
    }

    pub fn limits(&self) -> Limits {
        *self.limits.lock()
    }

    pub fn cache_stats(&self) -> CacheStats {
        *self.hits.lock()
    }

    /// Waits until `tokens` fit into memory.
    pub async fn reserve(&self, tokens: u64) -> Option<OwnedSemaphorePermit> {
        let most = self.limits().memory_tokens;
        let tokens = u32::try_from(tokens).unwrap_or(most).min(most);
        let memory = self.memory.lock().clone();
        memory.acquire_many_owned(tokens).await.ok()
    }

    /// Returns the time to the first token of a prompt, and caches its prefix.
    pub fn first_token(&self, usual: Duration, prompt: &str, tokens: u64) -> Duration {
        let limits = self.limits();
        let cached = self.look_up(prompt, limits.cached_prefixes);
        let tokens = if cached { 0 } else { u32::try_from(tokens).unwrap_or(u32::MAX) };
        (usual + limits.prefill_per_token * tokens).mul_f64(limits.slowdown)
    }

    /// Returns the time between two tokens with `running` of `slots` busy.
    pub fn per_token(&self, usual: Duration, running: u32, slots: u32) -> Duration {
        let limits = self.limits();
        let busy = f64::from(running.min(slots)) / f64::from(slots.max(1));
        usual.mul_f64(limits.slowdown * (1.0 + limits.congestion * busy))
    }

    fn look_up(&self, prompt: &str, room: usize) -> bool {
        if room == 0 {
            return false;
        }
        let end =
            (0..=PREFIX_BYTES.min(prompt.len())).rev().find(|at| prompt.is_char_boundary(*at));
        let prefix = &prompt[..end.unwrap_or(0)];
        let mut cache = self.cache.lock();
        let found = cache.iter().position(|one| **one == *prefix);
        let entry = found.and_then(|at| cache.remove(at)).unwrap_or_else(|| prefix.into());
        cache.push_back(entry);
        while cache.len() > room {
            cache.pop_front();
        }
        let mut hits = self.hits.lock();
        hits.lookups += 1;
        hits.hits += u64::from(found.is_some());
        found.is_some()
    }
}
