//! In-memory store with the semantics of the platform's store, for tests and stand-ins.

mod state;

use {
    crate::{Commit, Entry, Error, Event, LeaseId, Page, Result, Store, Txn, Watch},
    async_trait::async_trait,
    futures::StreamExt,
    hawthornmount_core::{
        clock::{self, Clock},
        id::Revision,
    },
    parking_lot::Mutex,
    state::State,
    std::{sync::Arc, time::Duration},
    tokio::sync::broadcast,
};

/// Number of unread events after which a watch fails because its reader is too slow.
const WATCH_CAPACITY: usize = 4_096;

/// In-memory store.
pub struct Memory {
    state: Mutex<State>,
    events: broadcast::Sender<Event>,
    clock: Arc<dyn Clock>,
}

impl Memory {
    /// Creates an empty store whose leases expire by the system clock.
    pub fn new() -> Self {
        Self::with_clock(Arc::new(clock::System))
    }

    /// Creates an empty store whose leases expire by `clock`.
    pub fn with_clock(clock: Arc<dyn Clock>) -> Self {
        let (events, _) = broadcast::channel(WATCH_CAPACITY);
        Self { state: Mutex::new(State::default()), events, clock }
    }

    /// Discards the history before `revision`; watches that start before it fail with
    /// [`Error::Compacted`].
    pub fn compact(&self, revision: Revision) {
        self.state.lock().compact(revision);
    }

    /// Returns the current revision.
    pub fn revision(&self) -> Revision {
        self.state.lock().revision()
    }

    /// Expires leases, runs `action` and sends the resulting events to the watches.
    ///
    /// The lock is held throughout, so that watches receive events in order of revision.
    fn with_state<T>(&self, action: impl FnOnce(&mut State, &mut Vec<Event>) -> T) -> T {
        let mut events = Vec::new();
        let mut state = self.state.lock();
        state.expire(self.clock.now(), &mut events);
        let result = action(&mut state, &mut events);
        for event in events {
            let _ = self.events.send(event);
        }
        result
    }
}

impl Default for Memory {
    fn default() -> Self {
        Self::new()
    }
}

#[async_trait]
impl Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        Ok(self.with_state(|state, _| state.get(key)))
    }

    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page> {
        Ok(self.with_state(|state, _| state.list(prefix, after, limit)))
    }

    async fn commit(&self, txn: Txn) -> Result<Commit> {
        self.with_state(|state, events| state.commit(&txn, events))
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        let now = self.clock.now();
        Ok(self.with_state(|state, _| state.grant(now, ttl)))
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration> {
        let now = self.clock.now();
        Ok(self.with_state(|state, _| state.keep_alive(now, lease)))
    }

    async fn revoke(&self, lease: LeaseId) -> Result<()> {
        self.with_state(|state, events| state.revoke(lease, events));
        Ok(())
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<Watch> {
        // Under one lock, so that no event is lost between the history and the subscription.
        let (history, receiver) = {
            let state = self.state.lock();
            (state.history_since(prefix, from)?, self.events.subscribe())
        };
        let prefix: Arc<str> = prefix.into();
        let history = futures::stream::iter(history.into_iter().map(Ok));
        let live = futures::stream::unfold((receiver, prefix), |(mut receiver, prefix)| async {
            loop {
                match receiver.recv().await {
                    Ok(event) if event.is_under(&prefix) => {
                        return Some((Ok(event), (receiver, prefix)));
                    }
                    Ok(_) => {}
                    Err(broadcast::error::RecvError::Closed) => return None,
                    Err(broadcast::error::RecvError::Lagged(_)) => {
                        let cause = "the watch lagged behind and missed events".into();
                        return Some((Err(Error::ResponseLost { cause }), (receiver, prefix)));
                    }
                }
            }
        });
        Ok(history.chain(live).boxed())
    }
}

impl Event {
    fn is_under(&self, prefix: &str) -> bool {
        match self {
            Self::Put(entry) => entry.key.starts_with(prefix),
            Self::Delete { key, .. } => key.starts_with(prefix),
            Self::Progress(_) => true,
        }
    }
}
