//! Activity of a connection from a caller: whether a request arrives, is in flight or is answered,
//! and since when the connection has been idle.

use {
    crate::instance::{InFlight, InFlightGuard},
    derive_more::Display,
    hawthornmount_core::{config::Limits, id::RequestId},
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Shortest time for which a caller may take nothing of a response before its connection is closed.
const MIN_WRITE_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct State {
    in_flight: usize,
    /// Bytes of the next head that have arrived.
    received_bytes: usize,
    /// Bytes that the connection did not take at the last attempt to write.
    unwritten_bytes: usize,
    /// When the phase changed, or when bytes of a complete response were last written.
    changed: Instant,
    last_request: Option<RequestId>,
    has_unread_body: bool,
    /// Counts the connection, from the first byte of its first request until it is closed.
    serving: Option<InFlightGuard>,
}

/// Activity of a connection.
#[derive(Clone, Debug)]
pub struct Activity {
    state: Arc<Mutex<State>>,
    serving: InFlight,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct Guard(Activity);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Phase {
    /// No request has arrived since the last response was written.
    #[display("idle")]
    Idle,
    /// A part of the head of a request has arrived.
    #[display("receiving")]
    Receiving,
    /// A request is in flight.
    #[display("answering")]
    Answering,
    /// A response is complete, and the caller has not taken all of it.
    #[display("writing")]
    Writing,
}

/// Activity at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// What the connection is doing.
    pub phase: Phase,
    /// Bytes of a head that have arrived, or bytes that were not written.
    pub bytes: usize,
    /// Time since the phase changed or, while a response is written, since the caller took a part of it.
    pub age: Duration,
    /// Id of the last request whose head was complete.
    pub last_request: Option<RequestId>,
}

impl Activity {
    /// Creates the activity of a connection that has just been accepted. `serving` counts it once a
    /// part of a request has arrived.
    pub fn new(serving: InFlight) -> Self {
        let state = State {
            in_flight: 0,
            received_bytes: 0,
            unwritten_bytes: 0,
            changed: Instant::now(),
            last_request: None,
            has_unread_body: false,
            serving: None,
        };
        Self { state: Arc::new(Mutex::new(state)), serving }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn enter(&self) -> Guard {
        let mut state = self.state.lock();
        state.in_flight += 1;
        state.received_bytes = 0;
        Guard(self.clone())
    }

    /// Records the id of the request in flight.
    pub fn set_request(&self, id: &RequestId) {
        self.state.lock().last_request = Some(id.clone());
    }

    /// Records that a request was answered before its body was read, so that it is the last one.
    pub fn set_unread_body(&self) {
        self.state.lock().has_unread_body = true;
    }

    /// Returns whether the last request was answered before its body was read.
    pub fn has_unread_body(&self) -> bool {
        self.state.lock().has_unread_body
    }

    /// Returns the bytes of the next head that have arrived; `None` while a request is in flight or a
    /// response is written.
    pub fn head_bytes(&self) -> Option<usize> {
        match self.state.lock().phase() {
            (Phase::Idle | Phase::Receiving, bytes) => Some(bytes),
            (Phase::Answering | Phase::Writing, _) => None,
        }
    }

    /// Records bytes of a head that were read.
    pub fn record_read(&self, bytes: usize) {
        let mut state = self.state.lock();
        if bytes == 0 {
            return;
        }
        state.serving.get_or_insert_with(|| self.serving.enter());
        if state.received_bytes == 0 {
            state.changed = Instant::now();
        }
        state.received_bytes += bytes;
    }

    /// Records that bytes were written.
    pub fn record_written(&self) {
        let mut state = self.state.lock();
        state.unwritten_bytes = 0;
        if state.in_flight == 0 {
            state.changed = Instant::now();
        }
    }

    /// Records the bytes that the connection did not take at an attempt to write.
    pub fn record_unwritten(&self, bytes: usize) {
        self.state.lock().unwritten_bytes = bytes;
    }

    /// Returns the time that is left at `now` until a limit closes the connection; `None` while a
    /// request is in flight. The head of a request has to arrive within its own limit: the limit on
    /// idle time may be shorter than a pause between two pieces of it.
    pub fn time_left(&self, limits: &Limits, now: Instant) -> Option<Duration> {
        let activity = self.snapshot(now);
        let limit = match activity.phase {
            Phase::Answering => return None,
            Phase::Receiving => limits.head_timeout,
            Phase::Writing => limits.idle_timeout.max(MIN_WRITE_TIMEOUT),
            Phase::Idle => limits.idle_timeout,
        };
        Some(limit.saturating_sub(activity.age))
    }

    /// Returns the activity at `now`.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let state = self.state.lock();
        let (phase, bytes) = state.phase();
        Snapshot {
            phase,
            bytes,
            age: now.saturating_duration_since(state.changed),
            last_request: state.last_request.clone(),
        }
    }
}

impl State {
    /// Returns the phase, and the bytes that belong to it.
    const fn phase(&self) -> (Phase, usize) {
        if self.in_flight > 0 {
            (Phase::Answering, self.unwritten_bytes)
        } else if self.unwritten_bytes > 0 {
            (Phase::Writing, self.unwritten_bytes)
        } else if self.received_bytes > 0 {
            (Phase::Receiving, self.received_bytes)
        } else {
            (Phase::Idle, 0)
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.in_flight -= 1;
        state.changed = Instant::now();
    }
}
