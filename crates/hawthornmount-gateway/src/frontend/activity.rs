//! Activity of a connection from a caller: the requests in flight, and when it became idle.

use {
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

#[derive(Debug)]
struct State {
    in_flight: usize,
    changed: Instant,
}

/// Activity of a connection.
#[derive(Clone, Debug)]
pub struct Activity(Arc<Mutex<State>>);

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct Guard(Activity);

impl Activity {
    /// Creates the activity of a connection that has just been accepted.
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new(State { in_flight: 0, changed: Instant::now() })))
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn enter(&self) -> Guard {
        self.0.lock().in_flight += 1;
        Guard(self.clone())
    }

    /// Returns the time for which the connection has been idle at `now`; zero while a request is in
    /// flight.
    pub fn idle_time(&self, now: Instant) -> Duration {
        let state = self.0.lock();
        if state.in_flight > 0 {
            Duration::ZERO
        } else {
            now.saturating_duration_since(state.changed)
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut state = self.0.0.lock();
        state.in_flight -= 1;
        state.changed = Instant::now();
    }
}
