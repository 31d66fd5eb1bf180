//! Activity of a connection from a caller: whether a request arrives, is in flight or is answered,
//! and since when the connection has been idle.

use {
    crate::instance::{InFlight, InFlightGuard},
    derive_more::Display,
    hawthornmount_core::{config::Limits, id::RequestId},
    hawthornmount_http::capacity::{
        CONNECTION_BYTES, Holding, SOCKET_BUFFER_BYTES, Shortage, Stage,
    },
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Bytes of a head that the memory of a connection includes.
const INCLUDED_HEAD_BYTES: usize = 4 << 10;
/// Bytes that may wait in a buffer of a socket.
const SOCKET_BYTES: usize = SOCKET_BUFFER_BYTES as usize;
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
    /// Whether the body of the request in flight was read to its end.
    has_whole_body: bool,
    /// Whether more was received after the whole request in flight.
    has_more: bool,
    /// Bytes of the head of the request in flight.
    head_bytes: usize,
    /// Counts the connection, from the first byte of its first request until it is closed.
    serving: Option<InFlightGuard>,
}

/// Activity of a connection.
#[derive(Clone, Debug)]
pub struct Activity {
    state: Arc<Mutex<State>>,
    serving: InFlight,
    /// Place and memory of the connection.
    holding: Arc<Holding>,
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
    /// part of a request has arrived, and `holding` is what the connection takes.
    pub fn new(serving: InFlight, holding: Arc<Holding>) -> Self {
        let state = State {
            in_flight: 0,
            received_bytes: 0,
            unwritten_bytes: 0,
            changed: Instant::now(),
            last_request: None,
            has_unread_body: false,
            has_whole_body: false,
            has_more: false,
            head_bytes: 0,
            serving: None,
        };
        Self { state: Arc::new(Mutex::new(state)), serving, holding }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn enter(&self) -> Guard {
        let mut state = self.state.lock();
        state.in_flight += 1;
        state.head_bytes = std::mem::take(&mut state.received_bytes);
        state.has_whole_body = false;
        self.holding.set_stage(Stage::Body);
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

    /// Records that the body of the request in flight was read to its end.
    pub fn set_whole_body(&self) {
        let mut state = self.state.lock();
        if !std::mem::replace(&mut state.has_whole_body, true) && state.unwritten_bytes == 0 {
            self.holding.set_stage(Stage::Busy);
        }
    }

    /// Records bytes that were read while a request is in flight. The caller may have sent more behind
    /// the request, which waits in the buffer of the socket.
    pub fn record_more(&self, bytes: usize) {
        let mut state = self.state.lock();
        if bytes > 0 && !state.has_whole_body {
            self.holding.record_progress(bytes);
        } else if bytes > 0 && !std::mem::replace(&mut state.has_more, true) {
            self.holding.account(state.memory());
        }
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
    ///
    /// # Errors
    ///
    /// Returns what is short if there is no room for them.
    pub fn record_read(&self, bytes: usize) -> Result<(), Shortage> {
        let mut state = self.state.lock();
        if bytes == 0 {
            return Ok(());
        }
        state.serving.get_or_insert_with(|| self.serving.enter());
        if state.received_bytes == 0 {
            state.changed = Instant::now();
            self.holding.set_stage(Stage::Head);
        }
        let before = state.memory();
        state.received_bytes += bytes;
        let memory = state.memory();
        if memory > before { self.holding.resize(memory) } else { Ok(()) }
    }

    /// Records that bytes were written.
    pub fn record_written(&self) {
        let mut state = self.state.lock();
        if std::mem::take(&mut state.unwritten_bytes) > 0 {
            self.holding.set_stage(state.stage());
            self.holding.account(state.memory());
        }
        if state.in_flight == 0 {
            state.changed = Instant::now();
        }
    }

    /// Records the bytes that the connection did not take at an attempt to write.
    pub fn record_unwritten(&self, bytes: usize) {
        let mut state = self.state.lock();
        if std::mem::replace(&mut state.unwritten_bytes, bytes) == 0 && bytes > 0 {
            self.holding.set_stage(Stage::Unread);
            self.holding.account(state.memory());
        }
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
    /// Returns the stage of a connection whose caller takes what is written.
    const fn stage(&self) -> Stage {
        if self.in_flight > 0 && self.has_whole_body {
            Stage::Busy
        } else if self.in_flight > 0 {
            Stage::Body
        } else if self.received_bytes > 0 {
            Stage::Head
        } else {
            Stage::Idle
        }
    }

    /// Returns the memory that the connection takes: itself, the head, what was not written, and the full
    /// buffers of its socket and of that to the server.
    fn memory(&self) -> usize {
        let head = (self.received_bytes + self.head_bytes).saturating_sub(INCLUDED_HEAD_BYTES);
        let unread = if self.has_more { SOCKET_BYTES } else { 0 };
        let unwritten =
            if self.unwritten_bytes > 0 { self.unwritten_bytes + 2 * SOCKET_BYTES } else { 0 };
        // The buffer in which a head is received doubles.
        CONNECTION_BYTES + 2 * head + unread + unwritten
    }

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
        state.head_bytes = 0;
        state.has_more = false;
        if state.unwritten_bytes == 0 {
            self.0.holding.set_stage(state.stage());
        }
        self.0.holding.account(state.memory());
    }
}
