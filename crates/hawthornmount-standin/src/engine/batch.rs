//! Model of the stand-in engine's continuous batching, prefix cache and memory limit.

use {
    parking_lot::Mutex,
    std::{collections::VecDeque, sync::Arc, time::Duration},
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Maximum number of slices that the generation of an answer is split into. The time per token is
/// computed anew for each slice, so that it follows the size of the batch.
pub const MAX_SLICES: u128 = 8;
/// Minimum length of a slice, above the timer's resolution.
pub const MIN_SLICE: Duration = Duration::from_millis(10);
/// Number of leading bytes of a prompt that form its prefix in the cache.
const PREFIX_BYTES: usize = 256;

/// Limits of an engine's batch, prefix cache and memory.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Factor on the latencies of every version, to make an engine slow.
    pub slowdown: f64,
    /// Relative increase of the time between tokens when all slots are busy: 1 doubles it.
    pub congestion: f64,
    /// Prefill time per prompt token if the prefix is not cached.
    pub prefill_per_token: Duration,
    /// Number of prompt and answer tokens that fit into memory at a time.
    pub memory_tokens: u32,
    /// Maximum number of cached prompt prefixes; 0 switches the cache off.
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

/// State of an engine's batch, prefix cache and memory.
pub struct Batch {
    limits: Mutex<Limits>,
    memory: Mutex<Arc<Semaphore>>,
    cache: Mutex<VecDeque<Arc<str>>>,
    stats: Mutex<CacheStats>,
}

/// Statistics of the prefix cache.
#[derive(Clone, Copy, Debug, Default)]
pub struct CacheStats {
    /// Number of prompts whose prefix was cached.
    pub hits: u64,
    /// Number of prompts that were looked up.
    pub lookups: u64,
}

impl Batch {
    pub fn new() -> Self {
        let limits = Limits::default();
        Self {
            limits: Mutex::new(limits),
            memory: Mutex::new(Arc::new(Semaphore::new(limits.memory_tokens as usize))),
            cache: Mutex::default(),
            stats: Mutex::default(),
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
        *self.stats.lock()
    }

    /// Waits until `tokens` fit into memory and reserves them. A request that exceeds the whole
    /// memory reserves all of it.
    pub async fn reserve(&self, tokens: u64) -> Option<OwnedSemaphorePermit> {
        let capacity = self.limits().memory_tokens;
        let tokens = u32::try_from(tokens).unwrap_or(capacity).min(capacity);
        let memory = self.memory.lock().clone();
        memory.acquire_many_owned(tokens).await.ok()
    }

    /// Returns the time to the first token of a prompt, and caches the prompt's prefix. `base` is
    /// the time without prefill and slowdown.
    pub fn first_token(&self, base: Duration, prompt: &str, tokens: u64) -> Duration {
        let limits = self.limits();
        let cached = self.look_up_prefix(prompt, limits.cached_prefixes);
        let tokens = if cached { 0 } else { u32::try_from(tokens).unwrap_or(u32::MAX) };
        (base + limits.prefill_per_token * tokens).mul_f64(limits.slowdown)
    }

    /// Returns the time between two tokens with `running` of `slots` busy. `base` is the time
    /// without slowdown and congestion.
    pub fn per_token(&self, base: Duration, running: u32, slots: u32) -> Duration {
        let limits = self.limits();
        let busy = f64::from(running.min(slots)) / f64::from(slots.max(1));
        base.mul_f64(limits.slowdown * (1.0 + limits.congestion * busy))
    }

    /// Returns whether the prompt's prefix was cached, and makes it the most recently used one.
    fn look_up_prefix(&self, prompt: &str, capacity: usize) -> bool {
        if capacity == 0 {
            return false;
        }
        let end = (0..=PREFIX_BYTES.min(prompt.len()))
            .rev()
            .find(|index| prompt.is_char_boundary(*index));
        let prefix = &prompt[..end.unwrap_or(0)];
        let mut cache = self.cache.lock();
        let position = cache.iter().position(|cached| **cached == *prefix);
        let entry = position.and_then(|index| cache.remove(index)).unwrap_or_else(|| prefix.into());
        cache.push_back(entry);
        while cache.len() > capacity {
            cache.pop_front();
        }
        let mut stats = self.stats.lock();
        stats.lookups += 1;
        stats.hits += u64::from(position.is_some());
        position.is_some()
    }
}
