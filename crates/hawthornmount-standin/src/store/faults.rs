//! Injected faults of the stand-in store.

use std::{
    sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    time::Duration,
};

/// Outcome of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The call takes effect and its response is sent.
    Respond,
    /// The call is refused and has no effect.
    Refuse,
    /// The call takes effect and its response is lost.
    LoseResponse,
}

/// Faults that can be changed while the store runs.
#[derive(Debug, Default)]
pub struct Faults {
    down: AtomicBool,
    watch_silent: AtomicBool,
    delay_us: AtomicU64,
    lose_responses: AtomicU32,
    calls: AtomicU64,
    writes: AtomicU64,
}

impl Faults {
    /// Sets whether every call is refused.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Sets whether open watches drop their events instead of sending them.
    pub fn set_watch_silent(&self, silent: bool) {
        self.watch_silent.store(silent, Ordering::SeqCst);
    }

    /// Sets the delay of every call before it takes effect.
    pub fn set_delay(&self, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.delay_us.store(micros, Ordering::SeqCst);
    }

    /// Loses the responses to the next `count` transactions, which still take effect.
    pub fn lose_responses(&self, count: u32) {
        self.lose_responses.store(count, Ordering::SeqCst);
    }

    /// Returns the number of calls so far; each opened watch counts as one.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::SeqCst)
    }

    /// Returns the number of transactions so far, except those that were refused.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::SeqCst)
    }

    pub(super) fn is_watch_silent(&self) -> bool {
        self.watch_silent.load(Ordering::SeqCst)
    }

    pub(super) fn delay(&self) -> Duration {
        Duration::from_micros(self.delay_us.load(Ordering::SeqCst))
    }

    /// Counts a call and returns its outcome; only responses to transactions are lost.
    pub(super) fn next(&self, path: &str) -> Outcome {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.down.load(Ordering::SeqCst) {
            return Outcome::Refuse;
        }
        if path != "/v3/kv/txn" {
            return Outcome::Respond;
        }
        self.writes.fetch_add(1, Ordering::SeqCst);
        let decrement = |remaining: u32| remaining.checked_sub(1);
        match self.lose_responses.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement) {
            Ok(_) => Outcome::LoseResponse,
            Err(_) => Outcome::Respond,
        }
    }
}
