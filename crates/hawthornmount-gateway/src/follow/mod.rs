//! Follows configuration, servers and roll-outs in the store, and confirms that they are recent.
//!
//! One instance of each data centre reads the store at a fixed interval. The response of a list of all
//! keys contains the changes and also proves that nothing newer exists, so it confirms the
//! [`Freshness`]. While nothing changes, the revision of the store is proof enough, and the keys are
//! not listed. The other instances follow that instance ([`crate::relay`]). Every call to the store has
//! a cost, and a change of any server would wake the watches of all readers. Therefore only the
//! phases of roll-outs are watched, and only while a roll-out is under way. Lists are more frequent
//! while the new version of a roll-out gets most requests, because they contain the evidence of
//! other data centres.

mod directory;
pub mod era;
mod peer;
mod read;
pub mod replica;
mod state;
mod tick;

pub use state::State;

use {
    crate::{
        freshness::Freshness,
        relay::{
            Link, PeerReport, Shared,
            source::{Selector, Source},
        },
        rollout::driver::{self, Part},
        schema::Codec,
        time,
        view::{Cell, View},
    },
    hawthornmount_store::{self as store, Era, Event, Stamp, Store, Txn, Watch},
    peer::{Followed, Transfer},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tick::{Tick, Ticks},
};

/// Fraction of the shortest bound on the age of changes after which all keys are listed again. The
/// rest is time for the call and its response, and for another instance to take over from one that
/// stops reading the store.
const LIST_FRACTION: f64 = 0.4;
/// Fraction of the list interval that is used while a new version gets most requests and may still
/// be rolled back. Lists contain the evidence of other data centres.
const EXPOSED_FRACTION: f64 = 0.5;
/// Time beyond the list interval within which every instance has seen an order. It allows for a
/// list that fails once and is retried, and for an instance that has to find another reader.
const VISIBILITY_MARGIN: Duration = Duration::from_millis(1_200);
/// Interval between two lists if no bound is given.
const DEFAULT_LIST_INTERVAL: Duration = Duration::from_millis(250);
/// Number of keys that are listed per call.
const PAGE_ENTRIES: usize = 500;
/// Time after which the record of the era that was written is listed.
const RECORD_DELAY: Duration = Duration::from_millis(100);
/// Prefix of no key, with which a list returns only the revision of the store.
const NO_KEY_PREFIX: &str = "hawthornmount/none/";

/// Follows the store and publishes views of its content.
pub struct Follower {
    store: Arc<dyn Store>,
    schema: Arc<dyn Codec>,
    freshness: Arc<Freshness>,
    cell: Arc<Cell>,
    state: State,
    relay: Arc<Shared>,
    link: Arc<dyn Link>,
    selector: Selector,
    /// Transfer of a large value that the replica lacks.
    transfer: Option<Transfer>,
    /// Confirmation of the whole content that counts once the replica lacks no value.
    held_confirmation: Option<Duration>,
    /// Instance that was followed last, and what it sent.
    followed: Option<Followed>,
    /// Whether this instance has listed the store since it last followed another one, so that it
    /// has the reports of the other data centres.
    is_reader: bool,
    /// Whether the store is the source, as last logged.
    reads_store: bool,
    /// When this instance last tried to register.
    registered_at: Option<Instant>,
    /// Interval between two lists.
    list_interval: Duration,
    /// Interval at which servers write their entries, if it is known.
    heartbeat: Option<Duration>,
    /// Stamp of the last list, and whether nothing has changed since the one before.
    listed: Option<(Stamp, bool)>,
    /// When the directory is read apart, if the read of the whole content is still under way by then.
    directory_due: Option<Instant>,
    /// Whether the last read of the whole content took long.
    was_slow: bool,
    /// When the last read of the whole content was complete.
    read_at: Option<Instant>,
    /// Era whose record this instance last tried to write.
    recorded_era: Option<Era>,
    /// Watch of the phases of roll-outs and of the reports on them, while one is under way.
    watch: Option<Watch>,
    /// Whether a list of all keys takes several calls or has many bytes, so that only changes are read.
    has_long_list: bool,
    /// Whether the store did not respond to the last call.
    is_store_unreachable: bool,
}

impl Follower {
    /// Creates a follower that publishes to `cell` and, while it reads the store, lists all keys
    /// every `list_interval`.
    pub fn new(
        store: Arc<dyn Store>,
        schema: Arc<dyn Codec>,
        cell: Arc<Cell>,
        state: State,
        relay: Arc<Shared>,
        link: Arc<dyn Link>,
        list_interval: Duration,
    ) -> Self {
        Self {
            store,
            schema,
            freshness: relay.freshness.clone(),
            cell,
            state,
            relay,
            link,
            selector: Selector::default(),
            transfer: None,
            held_confirmation: None,
            followed: None,
            is_reader: false,
            reads_store: true,
            registered_at: None,
            list_interval,
            heartbeat: None,
            listed: None,
            directory_due: None,
            was_slow: false,
            read_at: None,
            recorded_era: None,
            watch: None,
            has_long_list: false,
            is_store_unreachable: false,
        }
    }

    /// Sets the interval at which servers write their entries.
    #[must_use]
    pub const fn with_heartbeat(mut self, heartbeat: Option<Duration>) -> Self {
        self.heartbeat = heartbeat;
        self
    }

    /// Follows the store until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let (peers, before) = self.state.membership().ranked_peers();
            match self.selector.choose(&peers, before, time::now()) {
                Source::Store => self.read_store().await,
                Source::Peer(peer) => self.follow_peer(peer).await,
            }
        }
    }

    /// Registers this instance if it is not registered with its current contact, and shares its
    /// registered secret with the relay.
    fn register(&mut self) {
        let membership = self.state.membership();
        self.relay.set_secret(membership.secret());
        let Some(txn) = membership.registration() else { return };
        let now = time::now();
        if self.registered_at.is_some_and(|at| now < at + self.list_interval * 2) {
            // The write may not have reached the reader's list yet.
            return;
        }
        self.registered_at = Some(now);
        let store = self.store.clone();
        tokio::spawn(async move {
            if let Err(error) = store.commit(txn).await {
                // Another attempt follows if the key stays missing.
                log::warn!("the instance can't be registered; cause={error}");
            }
        });
    }

    /// Waits until the next list is due. While a roll-out is under way, its changes are applied as
    /// they arrive, and phases and reports that are due are written.
    async fn wait_for_list(&mut self, until: Instant) {
        if !self.state.driver().is_active() {
            self.watch = None;
        } else if self.watch.is_none() {
            self.watch = self.open_watch().await;
        }
        let mut ticks = Ticks::new(self);
        loop {
            let tick = tokio::select! {
                tick = ticks.next(self.watch.as_mut(), self.transfer.as_mut()) => tick,
                () = tokio::time::sleep_until(until.into()) => return,
            };
            self.handle(tick, &mut ticks);
        }
    }

    /// Opens the watch of the phases of roll-outs and of the reports on them.
    async fn open_watch(&self) -> Option<Watch> {
        match self.store.watch(driver::WATCH_PREFIX, self.state.revision() + 1).await {
            Ok(watch) => Some(watch),
            Err(error) => {
                log::info!("the watch of roll-outs can't be opened; cause={error}");
                None
            }
        }
    }

    fn handle(&mut self, tick: Tick, ticks: &mut Ticks) {
        match tick {
            Tick::Watch(Some(Ok(event))) => self.apply(&event),
            // The next list contains the missed changes, after which the watch is reopened.
            Tick::Watch(Some(Err(error))) => {
                log::info!("the watch of roll-outs was interrupted; cause={error}");
                self.watch = None;
            }
            Tick::Watch(None) => self.watch = None,
            Tick::Step => self.step_rollouts(),
            Tick::Report => {
                self.report_ends();
                self.write_limits();
            }
            Tick::Expiry => {
                if self.state.expire(time::now()) {
                    self.publish();
                }
            }
            Tick::Value(entry) => self.receive_value(entry),
        }
        ticks.update(self);
    }

    fn apply(&mut self, event: &Event) {
        let changed = match event {
            Event::Put(entry) => {
                self.relay.replica.lock().put(entry);
                self.state.put(entry)
            }
            Event::Delete { key, revision } => {
                self.relay.replica.lock().delete(key, *revision);
                self.state.delete(key, *revision)
            }
            Event::Progress(_) => false,
        };
        if changed {
            self.publish();
            self.relay.notify();
        }
    }

    /// Writes the phases and reports of roll-outs that are due, or delivers the reports to the
    /// instance that this one follows.
    fn step_rollouts(&mut self) {
        let now = time::now();
        self.state.driver_mut().set_followers_in_flight(self.relay.in_flight());
        for report in self.relay.take_reports() {
            self.state.driver_mut().deliver(report, now);
        }
        let part = if self.is_reader {
            Part::Reader { readers: self.state.membership().data_centres() }
        } else {
            Part::Follower
        };
        let step = self.state.step_rollouts(part, now);
        for txn in step.writes {
            self.commit(txn, "a write of a roll-out");
        }
        for report in step.reports {
            self.deliver(report);
        }
        if step.changes_view {
            self.publish();
        }
    }

    /// Commits a write in the background, of which the instances need one only; `what` names it in the
    /// log.
    fn commit(&self, txn: Txn, what: &'static str) {
        let store = self.store.clone();
        tokio::spawn(async move {
            match store.commit(txn).await {
                Ok(commit) if commit.applied => {}
                Ok(_) => log::debug!("another instance wrote {what} first"),
                Err(error) => log::warn!("the store did not confirm {what}; cause={error}"),
            }
        });
    }

    /// Writes the report on ends of servers, if it is due. Every instance writes its own report, so
    /// that evidence does not depend on the reader of the data centre.
    fn report_ends(&self) {
        let Some(quarantine) = self.state.quarantine().cloned() else { return };
        let Some(txn) = quarantine.take_report() else { return };
        let store = self.store.clone();
        tokio::spawn(async move {
            if let Err(error) = store.commit(txn).await {
                log::warn!("the store did not confirm a report on ends of servers; cause={error}");
                quarantine.report_lost();
            }
        });
    }

    /// Writes the record of the store's era, if it is due, and returns whether this is the first attempt
    /// in that era.
    fn write_era(&mut self) -> bool {
        let known = self.relay.replica.lock().get(era::KEY).cloned();
        let Some(txn) = self.state.tracker().record(known.as_ref(), time::now()) else {
            return false;
        };
        self.commit(txn, "the record of the era");
        self.recorded_era.replace(self.state.era()) != Some(self.state.era())
    }

    /// Writes the limits of servers that are due. A write that is lost is repeated.
    fn write_limits(&self) {
        let Some(limits) = self.state.limits() else { return };
        for txn in limits.take_writes() {
            self.commit(txn, "a rate limit");
        }
    }

    /// Delivers a report to the followed instance in the background. A report that is lost is
    /// contained in the next one.
    fn deliver(&mut self, report: PeerReport) {
        let Some(followed) = &self.followed else {
            self.state.driver_mut().report_lost(&report.service);
            return;
        };
        let (peer, link) = (followed.peer.clone(), self.link.clone());
        tokio::spawn(async move {
            if let Err(failed) = link.report(&peer, report).await {
                log::info!("a report was not delivered; peer={} cause={failed}", peer.id);
            }
        });
    }

    fn publish(&self) {
        self.freshness.set_settling(!self.state.tracker().is_settled(time::now(), Duration::ZERO));
        let Some(rules) = self.state.rules().cloned() else { return };
        let (excluded, splits) =
            (self.state.driver().excluded_versions(), self.state.driver().splits());
        let mut view = View::new(rules, self.state.servers(), &excluded, splits);
        view.evacuated = self.state.evacuated();
        self.cell.publish(view);
    }

    fn store_failed(&mut self, error: &store::Error) {
        if !self.is_store_unreachable {
            log::warn!("the store is out of reach; cause={error}");
        }
        self.is_store_unreachable = true;
    }

    fn store_responded(&mut self) {
        if self.is_store_unreachable {
            log::info!("the store answers again");
        }
        self.is_store_unreachable = false;
    }
}

/// Returns the interval between two lists for bounds on the time within which changes must be in
/// force.
pub fn list_interval(bounds: &[Duration]) -> Duration {
    bounds.iter().min().map_or(DEFAULT_LIST_INTERVAL, |shortest| shortest.mul_f64(LIST_FRACTION))
}

/// Returns the time after which every instance with this list interval has seen a change.
pub fn visibility_delay(list_interval: Duration) -> Duration {
    list_interval + VISIBILITY_MARGIN
}
