//! Log lines that stay bounded beside a crowd.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Shortest time between two lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// Counts events of one kind, and tells when to log them.
#[derive(Debug, Default)]
pub struct Throttle(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    logged_at: Option<Instant>,
    count: u64,
}

impl Throttle {
    /// Counts an event. Returns the number of events since the last line if another one is due.
    pub fn count(&self) -> Option<u64> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.count += 1;
        if state.logged_at.is_some_and(|at| at.elapsed() < INTERVAL) {
            return None;
        }
        state.logged_at = Some(Instant::now());
        Some(std::mem::take(&mut state.count))
    }
}
