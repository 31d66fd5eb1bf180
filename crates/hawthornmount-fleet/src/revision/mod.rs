//! Tracks the configuration revision that this instance holds, the time at which the store last
//! confirmed it, and the peers that hold newer ones. The mesh puts the revision into each digest;
//! the configuration follower advances it.

use {
    hawthornmount_core::id::{InstanceId, Revision},
    parking_lot::Mutex,
    tokio::{
        sync::{Notify, watch},
        time::Instant,
    },
};

/// A peer that holds a newer revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hint {
    /// The peer.
    pub peer: InstanceId,
    /// The revision that it holds.
    pub revision: Revision,
}

/// Maximum number of hints that are kept; the oldest is dropped first.
const MAX_HINTS: usize = 8;

/// Tracker of the held configuration revision.
pub struct Tracker {
    held: watch::Sender<Revision>,
    confirmed: Mutex<Option<Instant>>,
    hints: Mutex<Vec<Hint>>,
    hinted: Notify,
}

impl Tracker {
    /// Creates a tracker that holds no revision.
    pub fn new() -> Self {
        Self {
            held: watch::Sender::new(0),
            confirmed: Mutex::new(None),
            hints: Mutex::new(Vec::new()),
            hinted: Notify::new(),
        }
    }

    /// Returns the held revision, or 0 if there is none.
    pub fn held(&self) -> Revision {
        *self.held.borrow()
    }

    /// Advances to a revision if it is newer than the held one and returns whether it was.
    pub fn advance(&self, revision: Revision) -> bool {
        let newer = self.held.send_if_modified(|held| {
            let newer = revision > *held;
            *held = revision.max(*held);
            newer
        });
        if newer {
            self.hints.lock().retain(|hint| hint.revision > revision);
        }
        newer
    }

    /// Returns a receiver that is notified of changes of the held revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.held.subscribe()
    }

    /// Returns when the held revision was last confirmed to be the newest.
    pub fn confirmed(&self) -> Option<Instant> {
        *self.confirmed.lock()
    }

    /// Records that the held revision was the newest at `at`.
    pub fn confirm(&self, at: Instant) {
        let mut confirmed = self.confirmed.lock();
        *confirmed = (*confirmed).max(Some(at));
    }

    /// Records that `revision` was the newest at `at`, if it is the held one.
    pub fn confirm_if_held(&self, revision: Revision, at: Instant) {
        if revision > 0 && revision == self.held() {
            self.confirm(at);
        }
    }

    /// Records that a peer holds `revision`, if it is newer than the held one.
    pub fn hint(&self, peer: &InstanceId, revision: Revision) {
        if revision <= self.held() {
            return;
        }
        let mut hints = self.hints.lock();
        hints.retain(|hint| hint.peer != *peer);
        hints.push(Hint { peer: peer.clone(), revision });
        if hints.len() > MAX_HINTS {
            hints.remove(0);
        }
        self.hinted.notify_one();
    }

    /// Waits for a peer that holds a newer revision, and removes and returns its hint.
    pub async fn next_hint(&self) -> Hint {
        loop {
            if let Some(hint) = self.take_hint() {
                return hint;
            }
            self.hinted.notified().await;
        }
    }

    fn take_hint(&self) -> Option<Hint> {
        let held = self.held();
        let mut hints = self.hints.lock();
        hints.retain(|hint| hint.revision > held);
        hints.pop()
    }
}

impl Default for Tracker {
    fn default() -> Self {
        Self::new()
    }
}
