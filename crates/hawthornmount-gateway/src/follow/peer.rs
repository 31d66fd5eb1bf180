//! Following of another instance in place of the store.

use {
    super::{
        Follower,
        replica::{Cursor, Deferral},
        tick::Ticks,
    },
    crate::{
        membership::Peer,
        relay::{
            client::Failed,
            message::{Confirmation, Follow, Update},
            transfer,
        },
        time,
    },
    hawthornmount_store::{Entry, Stamp},
    std::{pin::pin, time::Duration},
    tokio::{sync::oneshot, task::AbortHandle},
};

/// List intervals without a confirmation of the directory after which another source is tried.
const STALE_INTERVALS: f64 = 1.25;
/// List intervals without a confirmation of the whole content after which another source is tried. A
/// reader takes longer for a large configuration.
const STALE_CONTENT_INTERVALS: f64 = 2.5;
/// Time for the calls of the reader in which its confirmation may arrive late.
const STALE_MARGIN: Duration = Duration::from_millis(200);
/// Shortest wait for a confirmation of an instance that is asked for the first time.
const MIN_WAIT: Duration = Duration::from_millis(300);

/// Point up to which the content of another instance is known.
pub struct Followed {
    pub peer: Peer,
    pub cursor: Option<Cursor>,
    pub confirmation: Option<Confirmation>,
}

/// Transfer of a large value, which ends when it is dropped.
pub struct Transfer {
    wanted: Deferral,
    value: oneshot::Receiver<Entry>,
    task: AbortHandle,
}

impl Transfer {
    /// Returns the value once it has arrived, or `None` if the transfer was interrupted.
    pub async fn value(&mut self) -> Option<Entry> {
        (&mut self.value).await.ok()
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Follower {
    /// Asks another instance for what is newer, and applies its response.
    pub(super) async fn follow_peer(&mut self, peer: Peer) {
        self.watch = None;
        self.is_reader = false;
        self.listed = None;
        let wait = self.peer_wait();
        let (cursor, confirmation) = self.known_of(&peer);
        let asked = self.freshness.now();
        let request = Follow { cursor, confirmation, wait, in_flight: self.state.in_flight() };
        let (link, asked_peer) = (self.link.clone(), peer.clone());
        let mut response = pin!(async move { link.follow(&asked_peer, request).await });
        let mut ticks = Ticks::new(self);
        let result = loop {
            let tick = tokio::select! {
                result = &mut response => break result,
                tick = ticks.next(None, self.transfer.as_mut()) => tick,
            };
            self.handle(tick, &mut ticks);
        };
        match result {
            Ok(update) => self.apply_update(&peer, update, asked),
            Err(failed) => self.peer_failed(&peer, &failed),
        }
    }

    /// Returns how long to wait for a confirmation: until the last one is older than a reader's
    /// confirmations usually get. While the store has failed this instance, it waits no longer than
    /// until the store is due again: the other one may follow this instance and learn nothing either.
    fn peer_wait(&self) -> Duration {
        let stale = self.list_interval.mul_f64(STALE_INTERVALS) + STALE_MARGIN;
        let wait = stale.saturating_sub(self.freshness.directory().age());
        let due =
            if self.is_store_unreachable { self.selector.store_delay(time::now()) } else { wait };
        wait.min(due).max(MIN_WAIT)
    }

    /// Returns the point up to which the content of an instance is known, and its last confirmation.
    fn known_of(&mut self, peer: &Peer) -> (Option<Cursor>, Option<Confirmation>) {
        match &self.followed {
            Some(followed) if followed.peer.id == peer.id => {
                (followed.cursor, followed.confirmation)
            }
            _ => {
                log::info!("follows another instance; peer={}", peer.id);
                self.reads_store = false;
                let cursor = self.relay.replica.lock().cursor();
                let cursor = (cursor.stamp != Stamp::default()).then_some(cursor);
                self.followed = Some(Followed { peer: peer.clone(), cursor, confirmation: None });
                (cursor, None)
            }
        }
    }

    /// Applies the response of another instance to a request that was sent at `asked`.
    fn apply_update(&mut self, peer: &Peer, update: Update, asked: Duration) {
        let before = self.followed.replace(Followed {
            peer: peer.clone(),
            cursor: Some(update.cursor),
            confirmation: update.confirmation,
        });
        let is_first = before.is_none_or(|followed| followed.confirmation.is_none());
        let confirmed = confirmed_at(asked, update.confirmed_after_arrival_us);
        let directory_confirmed = confirmed_at(asked, update.directory_after_arrival_us);
        let directory_before = self.freshness.directory().confirmed();
        let stamp = update.stamp();
        let (has_changes, is_behind, reached) = {
            let mut replica = self.relay.replica.lock();
            let is_behind = stamp < replica.cursor().stamp;
            (replica.apply(update.delta, stamp), is_behind, replica.cursor().stamp)
        };
        // The copy that the store was restored from may hold exactly what is known.
        if has_changes || stamp.era > self.state.era() {
            self.apply_replica(reached);
        }
        let is_proof = |confirmed: &Duration| !is_behind && self.is_settled(*confirmed);
        let confirmed = confirmed.filter(is_proof).map(|at| at.min(self.freshness.now()));
        let directory = directory_confirmed.filter(is_proof).map(|at| at.min(self.freshness.now()));
        self.held_confirmation = self.held_confirmation.max(confirmed);
        self.confirm_held();
        let known = self.freshness.directory().confirmed();
        if directory > known
            && let Some(directory) = directory
        {
            self.freshness.directory().confirm(directory);
        }
        let is_newer = self.freshness.directory().confirmed() > directory_before;
        if is_newer && self.content_age() < self.list_interval.mul_f64(STALE_CONTENT_INTERVALS) {
            self.selector.peer_succeeded(&peer.id);
            self.store_responded();
        } else if !is_first && self.is_stale() {
            // The first response comes at once, so the instance may be about to get a confirmation.
            log::info!("the followed instance has no recent confirmation; peer={}", peer.id);
            self.selector.peer_failed(&peer.id, time::now());
            self.followed = None;
        }
        self.start_transfer(peer);
        self.relay.notify();
    }

    /// Returns whether another source is to be tried. No source can confirm anything before the era of
    /// the store has lasted long enough.
    fn is_stale(&self) -> bool {
        if !self.state.tracker().is_settled(time::now(), Duration::ZERO) {
            return false;
        }
        let is_older = |age: Duration, intervals| age >= self.list_interval.mul_f64(intervals);
        is_older(self.freshness.directory().age(), STALE_INTERVALS)
            || is_older(self.content_age(), STALE_CONTENT_INTERVALS)
    }

    /// Returns the age of the last confirmation of the whole content, whether or not a value is missing.
    fn content_age(&self) -> Duration {
        let confirmed = self.held_confirmation.max(self.freshness.confirmed());
        confirmed.map_or(Duration::MAX, |at| self.freshness.now().saturating_sub(at))
    }

    /// Records the last confirmation of the whole content, unless a value is missing.
    fn confirm_held(&mut self) {
        if self.relay.replica.lock().missing().is_none()
            && let Some(confirmed) = self.held_confirmation.take()
        {
            self.freshness.confirm(confirmed);
        }
    }

    /// Begins to fetch a value that the replica lacks, unless that is under way: from `peer`, or from
    /// others that may have it.
    fn start_transfer(&mut self, peer: &Peer) {
        let missing = self.relay.replica.lock().missing().cloned();
        let Some(wanted) = missing else {
            self.transfer = None;
            return;
        };
        if self.transfer.as_ref().is_some_and(|transfer| transfer.wanted.key == wanted.key) {
            return;
        }
        let (sender, value) = oneshot::channel();
        let (link, store) = (self.link.clone(), self.store.clone());
        let (others, _) = self.state.membership().ranked_peers();
        let fetched = transfer::fetch(link, store, peer.clone(), others, wanted.clone());
        let task = tokio::spawn(async move {
            // The receiver is dropped if the value is known from elsewhere.
            let _ = sender.send(fetched.await);
        });
        self.transfer = Some(Transfer { wanted, value, task: task.abort_handle() });
    }

    /// Applies a large value that was transferred, and begins to fetch the next one.
    pub(super) fn receive_value(&mut self, value: Option<Entry>) {
        self.transfer = None;
        let Some(entry) = value else { return };
        let is_changed = self.relay.replica.lock().put(&entry);
        if is_changed && self.state.put(&entry) {
            self.publish();
        }
        self.confirm_held();
        if let Some(peer) = self.followed.as_ref().map(|followed| followed.peer.clone()) {
            self.start_transfer(&peer);
        }
        self.relay.notify();
    }

    /// Applies the content of the replica after changes of another instance.
    fn apply_replica(&mut self, stamp: Stamp) {
        let entries = self.relay.replica.lock().entries();
        // Entries may have expired while no source was available.
        let was_interrupted =
            self.is_store_unreachable || self.freshness.directory().age() > self.outage();
        let may_lack = was_interrupted && self.may_lack_servers(stamp);
        self.state.apply_list(&entries, stamp, may_lack, time::now());
        self.publish();
        self.register();
    }

    /// Returns the age of the last confirmation from which the store counts as having been away.
    pub(super) fn outage(&self) -> Duration {
        self.list_interval.mul_f64(STALE_INTERVALS) * 2
    }

    fn peer_failed(&mut self, peer: &Peer, failed: &Failed) {
        log::info!("the followed instance gave no answer; peer={} cause={failed}", peer.id);
        if let Failed::Frame(reject) = failed {
            self.relay.count_rejected(*reject);
        }
        self.selector.peer_failed(&peer.id, time::now());
        self.followed = None;
    }
}

/// Returns the time of the call to the store that a relayed confirmation answers, as far as the
/// follower knows: the request arrived after it was sent at `asked`, so the call was not earlier.
fn confirmed_at(asked: Duration, after_arrival_us: i64) -> Option<Duration> {
    let offset = Duration::from_micros(after_arrival_us.unsigned_abs());
    if after_arrival_us >= 0 { asked.checked_add(offset) } else { asked.checked_sub(offset) }
}
