//! Bounds on the memory and the connections that clients may take, over all listeners of a process.
//!
//! Everything that is kept for a client is a [`Holding`]: its connection, a body, an answer. If there is no
//! room for another one, those that make no progress yield, see [`Stage`]; if none does, it is refused.

pub mod body;
pub mod decision;
pub mod machine;
mod throttle;

pub use {
    decision::{SMALL_BODY_BYTES, Stage},
    throttle::Throttle,
};

use {
    decision::{Entry, Yielding, yielding_bytes, yielding_connection, yielding_memory},
    derive_more::{Display, Error},
    std::{
        sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// Memory that an open connection takes, in bytes: its buffers, its task and its socket.
pub const CONNECTION_BYTES: usize = 16 << 10;
/// Size that is set for each of the two buffers of a client's socket, in bytes.
pub const SOCKET_BUFFER_BYTES: u32 = 64 << 10;
/// Share of the memory that large bodies may take, in quarters.
const LARGE_QUARTERS: usize = 3;

/// Part of the connections of a group, as a divisor, that may have yielded and still be open.
const MAX_ENDING_SHARE: usize = 8;

/// Interval at which a holding that waits for memory is tried again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Memory and connections that clients may take.
#[derive(Clone, Debug)]
pub struct Capacity(Arc<Inner>);

/// Connections of one listener or of several.
#[derive(Clone, Debug)]
pub struct Group {
    capacity: Capacity,
    number: usize,
}

/// Something that is kept for a client, until it is dropped.
#[derive(Debug)]
pub struct Holding {
    capacity: Capacity,
    id: u64,
    /// Group of a connection.
    group: Option<usize>,
    signal: Arc<Signal>,
}

/// What is short.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Shortage {
    /// Memory.
    #[display("memory_limit")]
    Memory,
    /// Connections.
    #[display("connection_limit")]
    Connections,
}

/// What is in use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Memory, in bytes.
    pub bytes: usize,
    /// Connections.
    pub connections: usize,
}

#[derive(Debug)]
struct Inner {
    memory: usize,
    state: Mutex<State>,
    /// Notified when memory is given back.
    released: Notify,
}

#[derive(Debug)]
struct State {
    next_id: u64,
    /// Entries, sorted by id.
    entries: Vec<Entry>,
    /// Signals of the entries, in the same order.
    signals: Vec<Arc<Signal>>,
    used: usize,
    /// Memory of the large bodies among it.
    large: usize,
    groups: Vec<Places>,
}

/// What a holding lacks.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Lack {
    Nothing,
    Memory,
    /// Memory of the share of large bodies.
    LargeShare,
}

/// Connections of a group.
#[derive(Debug)]
struct Places {
    max: usize,
    used: usize,
    /// Connections that have yielded and are not closed yet.
    ending: usize,
}

/// Tells the owner of a holding that it has to yield.
#[derive(Debug, Default)]
struct Signal {
    /// What it has to yield for.
    cause: OnceLock<Shortage>,
    notify: Notify,
}

impl Capacity {
    /// Creates a capacity of `memory` bytes, without connections.
    pub fn new(memory: usize) -> Self {
        let state = State {
            next_id: 0,
            entries: Vec::new(),
            signals: Vec::new(),
            used: 0,
            large: 0,
            groups: Vec::new(),
        };
        Self(Arc::new(Inner { memory, state: Mutex::new(state), released: Notify::new() }))
    }

    /// Adds a group of at most `max` connections.
    pub fn group(&self, max: usize) -> Group {
        let mut state = self.lock();
        state.groups.push(Places { max, used: 0, ending: 0 });
        Group { capacity: self.clone(), number: state.groups.len() - 1 }
    }

    /// Returns the memory of all holdings together, in bytes.
    pub fn memory(&self) -> usize {
        self.0.memory
    }

    /// Returns the memory that large bodies may take, in bytes. A larger body is kept only while there is
    /// no other large one.
    pub fn large_memory(&self) -> usize {
        self.0.memory / 4 * LARGE_QUARTERS
    }

    /// Returns what is in use.
    pub fn usage(&self) -> Usage {
        let state = self.lock();
        Usage { bytes: state.used, connections: state.groups.iter().map(|group| group.used).sum() }
    }

    /// Holds `bytes` for a body that is arriving.
    ///
    /// # Errors
    ///
    /// Returns [`Shortage::Memory`] if nothing yields that much.
    pub fn hold(&self, bytes: usize) -> Result<Holding, Shortage> {
        let holding = self.add(&mut self.lock(), None, Stage::Body);
        holding.resize(bytes)?;
        Ok(holding)
    }

    fn add(&self, state: &mut State, group: Option<usize>, stage: Stage) -> Holding {
        let id = state.next_id;
        state.next_id += 1;
        let yields_at = stage.yields_at(Instant::now());
        state.entries.push(Entry { id, group, bytes: 0, stage, yields_at });
        let signal = Arc::new(Signal::default());
        state.signals.push(signal.clone());
        Holding { capacity: self.clone(), id, group, signal }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Every change of the state is complete before anything can panic.
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Group {
    /// Returns the capacity that the group belongs to.
    pub const fn capacity(&self) -> &Capacity {
        &self.capacity
    }

    /// Holds a place and the memory of a new connection.
    ///
    /// # Errors
    ///
    /// Returns what is short if no other connection yields.
    pub fn admit(&self) -> Result<Holding, Shortage> {
        let mut state = self.capacity.lock();
        let places = &state.groups[self.number];
        if places.used >= places.max {
            if places.ending > places.max / MAX_ENDING_SHARE {
                return Err(Shortage::Connections);
            }
            let at = yielding_connection(&state.entries, self.number, Instant::now());
            state.end(at.ok_or(Shortage::Connections)?, Shortage::Connections);
        }
        state.groups[self.number].used += 1;
        let holding = self.capacity.add(&mut state, Some(self.number), Stage::New);
        drop(state);
        holding.resize(CONNECTION_BYTES)?;
        Ok(holding)
    }
}

impl Holding {
    /// Changes the memory to `bytes`.
    ///
    /// # Errors
    ///
    /// Returns what is short if nothing yields that much, or if this holding itself has yielded.
    pub fn resize(&self, bytes: usize) -> Result<(), Shortage> {
        let mut state = self.capacity.lock();
        let Some(at) = state.position(self.id) else {
            return Err(self.signal.cause.get().copied().unwrap_or(Shortage::Memory));
        };
        let before = state.entries[at].bytes;
        state.set_bytes(at, bytes);
        if bytes <= before || state.make_room(self.id, self.capacity.0.memory) {
            drop(state);
            if bytes < before {
                self.capacity.0.released.notify_waiters();
            }
            return Ok(());
        }
        if let Some(at) = state.position(self.id) {
            state.set_bytes(at, before);
        }
        Err(Shortage::Memory)
    }

    /// Changes the memory to `bytes` that are in use already, whether or not others yield that much.
    pub fn account(&self, bytes: usize) {
        let mut state = self.capacity.lock();
        let Some(at) = state.position(self.id) else { return };
        let is_more = bytes > state.entries[at].bytes;
        state.set_bytes(at, bytes);
        if is_more {
            state.make_room(self.id, self.capacity.0.memory);
        } else {
            drop(state);
            self.capacity.0.released.notify_waiters();
        }
    }

    /// Changes the memory to `bytes` once there is room.
    ///
    /// # Errors
    ///
    /// Returns what is short if this holding itself has yielded.
    pub async fn resize_when_free(&self, bytes: usize) -> Result<(), Shortage> {
        loop {
            let released = self.capacity.0.released.notified();
            match self.resize(bytes) {
                Err(Shortage::Memory) if self.signal.cause.get().is_none() => {}
                result => return result,
            }
            // What starts to lag is noticed without a notification.
            let _ = tokio::time::timeout(RECHECK_INTERVAL, released).await;
        }
    }

    /// Changes the stage. It yields from the time at which the new stage does.
    pub fn set_stage(&self, stage: Stage) {
        let mut state = self.capacity.lock();
        let Some(at) = state.position(self.id) else { return };
        let entry = &mut state.entries[at];
        entry.stage = stage;
        entry.yields_at = stage.yields_at(Instant::now());
    }

    /// Records that `bytes` of the body have arrived.
    pub fn record_progress(&self, bytes: usize) {
        let mut state = self.capacity.lock();
        let Some(at) = state.position(self.id) else { return };
        state.entries[at].record_progress(bytes, Instant::now());
    }

    /// Waits until it has to yield, and returns what for.
    pub async fn yielded(&self) -> Shortage {
        loop {
            let notified = self.signal.notify.notified();
            if let Some(cause) = self.signal.cause.get() {
                return *cause;
            }
            notified.await;
        }
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        let mut state = self.capacity.lock();
        if let Some(at) = state.position(self.id) {
            state.remove(at);
        } else if let Some(group) = self.group {
            state.groups[group].ending -= 1;
        }
        drop(state);
        self.capacity.0.released.notify_waiters();
    }
}

impl State {
    fn position(&self, id: u64) -> Option<usize> {
        self.entries.binary_search_by_key(&id, |entry| entry.id).ok()
    }

    fn set_bytes(&mut self, at: usize, bytes: usize) {
        let entry = &mut self.entries[at];
        self.used -= entry.bytes;
        self.large -= if entry.is_large() { entry.bytes } else { 0 };
        entry.bytes = bytes;
        self.used += entry.bytes;
        self.large += if entry.is_large() { entry.bytes } else { 0 };
    }

    /// Lets others yield until the entry `asking` fits, and returns whether it does. Nothing yields in vain.
    fn make_room(&mut self, asking: u64, memory: usize) -> bool {
        let now = Instant::now();
        let Some(at) = self.position(asking) else { return false };
        let (bytes, is_large) = (self.entries[at].bytes, self.entries[at].is_large());
        if self.lack(bytes, is_large, memory, Yielding::default()) == Lack::Nothing {
            return true;
        }
        let yielding = yielding_bytes(&self.entries, asking, now);
        if self.lack(bytes, is_large, memory, yielding) != Lack::Nothing {
            return false;
        }
        loop {
            let lack = self.lack(bytes, is_large, memory, Yielding::default());
            let only_large = match lack {
                Lack::Nothing => return true,
                Lack::Memory => false,
                Lack::LargeShare => true,
            };
            match yielding_memory(&self.entries, asking, only_large, now) {
                Some(at) => self.end(at, Shortage::Memory),
                None => return false,
            }
        }
    }

    /// Returns what an entry of so many bytes lacks if others yield. A body for which the capacity is too
    /// small lacks nothing if there is no other large one.
    const fn lack(&self, bytes: usize, is_large: bool, memory: usize, yielding: Yielding) -> Lack {
        let (used, large) = (self.used - yielding.bytes, self.large - yielding.large);
        let is_only_large = is_large && large == bytes;
        if used > memory && !(is_only_large && used - bytes <= memory) {
            Lack::Memory
        } else if is_large && !is_only_large && large > memory / 4 * LARGE_QUARTERS {
            Lack::LargeShare
        } else {
            Lack::Nothing
        }
    }

    /// Removes an entry and tells its owner to give it up.
    fn end(&mut self, at: usize, cause: Shortage) {
        if let Some(group) = self.entries[at].group {
            self.groups[group].ending += 1;
        }
        let signal = self.remove(at);
        signal.cause.get_or_init(|| cause);
        signal.notify.notify_waiters();
    }

    fn remove(&mut self, at: usize) -> Arc<Signal> {
        self.set_bytes(at, 0);
        if let Some(group) = self.entries.remove(at).group {
            self.groups[group].used -= 1;
        }
        self.signals.remove(at)
    }
}
