//! Follows configuration, servers and roll-outs in the store, and confirms that they are recent.
//!
//! All keys are listed at a fixed interval. A response contains the changes and also proves that
//! nothing newer exists, so it confirms the [`Freshness`]. Every call to the store has a cost, and
//! a change of any server would wake the watches of all instances. Therefore only the phases of
//! roll-outs are watched, and only while a roll-out is under way. Lists are more frequent while the
//! new version of a roll-out gets most requests, because they contain the evidence of other
//! instances.

mod state;

pub use state::State;

use {
    crate::{
        freshness::Freshness,
        rollout::driver,
        schema::Codec,
        view::{Cell, View},
    },
    futures::StreamExt,
    hawthornmount_core::id::Revision,
    hawthornmount_store::{self as store, Event, Store, Watch},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Fraction of the shortest bound on the age of changes after which all keys are listed again. The
/// rest is time for the call and its response. A list that fails is retried after [`RETRY_DELAY`].
const LIST_FRACTION: f64 = 0.65;
/// Fraction of the list interval that is used while a new version gets most requests and may still
/// be rolled back. Lists contain the evidence of other instances.
const EXPOSED_FRACTION: f64 = 0.3;
/// Time beyond the list interval within which every instance has seen an order. It allows for a
/// list that fails once and is retried.
const VISIBILITY_MARGIN: Duration = Duration::from_millis(600);
/// Delay before a list that failed is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval at which due phases and reports of roll-outs are written.
const STEP_INTERVAL: Duration = Duration::from_millis(200);
/// Number of keys that are listed per call.
const PAGE_ENTRIES: usize = 500;

/// Follows the store and publishes views of its content.
pub struct Follower {
    store: Arc<dyn Store>,
    schema: Arc<dyn Codec>,
    freshness: Arc<Freshness>,
    cell: Arc<Cell>,
    state: State,
    /// Interval between two lists.
    list_interval: Duration,
    /// Watch of the phases of roll-outs, while one is under way.
    watch: Option<Watch>,
    /// Whether the store did not respond to the last call.
    is_store_unreachable: bool,
}

impl Follower {
    /// Creates a follower that publishes to `cell` and lists all keys every `list_interval`.
    pub fn new(
        store: Arc<dyn Store>,
        schema: Arc<dyn Codec>,
        freshness: Arc<Freshness>,
        cell: Arc<Cell>,
        state: State,
        list_interval: Duration,
    ) -> Self {
        Self {
            store,
            schema,
            freshness,
            cell,
            state,
            list_interval,
            watch: None,
            is_store_unreachable: false,
        }
    }

    /// Follows the store until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let delay = match self.list().await {
                Ok(()) if self.state.driver().is_widely_exposed() => {
                    self.list_interval.mul_f64(EXPOSED_FRACTION)
                }
                Ok(()) => self.list_interval,
                Err(error) => {
                    self.store_failed(&error);
                    // Evidence against a version applies to this instance even while the store is
                    // unreachable.
                    self.step_rollouts();
                    RETRY_DELAY
                }
            };
            self.wait_for_list(Instant::now() + delay).await;
        }
    }

    /// Lists all keys and publishes the resulting view.
    async fn list(&mut self) -> store::Result<()> {
        let asked_at = self.freshness.now();
        let prefix = self.schema.followed_prefix();
        let mut revision = Revision::MAX;
        let mut entries = Vec::new();
        let mut after: Option<Arc<str>> = None;
        loop {
            let page = self.store.list(prefix, after.as_deref(), PAGE_ENTRIES).await?;
            revision = revision.min(page.revision);
            after = page.entries.last().map(|entry| entry.key.clone());
            entries.extend(page.entries);
            if !page.more || after.is_none() {
                break;
            }
        }
        self.state.apply_list(&entries, revision, self.is_store_unreachable, Instant::now());
        self.store_responded();
        self.publish();
        self.freshness.confirm(asked_at);
        self.register();
        self.state.driver().delete_leftover_reports(&self.store);
        Ok(())
    }

    /// Registers this instance if it is not registered yet.
    fn register(&self) {
        let Some(txn) = self.state.membership().registration() else { return };
        let store = self.store.clone();
        tokio::spawn(async move {
            if let Err(error) = store.commit(txn).await {
                // The next list tries again if the key is missing.
                log::warn!("the instance can't be registered; cause={error}");
            }
        });
    }

    /// Waits until the next list is due. While a roll-out is under way, its changes are applied as
    /// they arrive, and phases and reports that are due are written.
    async fn wait_for_list(&mut self, until: Instant) {
        let mut step = tokio::time::interval(STEP_INTERVAL);
        step.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let is_active = self.state.driver().is_active();
        if !is_active {
            self.watch = None;
        } else if self.watch.is_none() {
            self.watch = self.open_watch().await;
        }
        loop {
            let event = async {
                match &mut self.watch {
                    Some(watch) => watch.next().await,
                    None => std::future::pending().await,
                }
            };
            // A server whose grace period has ended is removed before the next list, unless the
            // store is unreachable again.
            let expiry =
                self.state.next_expiry().filter(|at| *at < until && !self.is_store_unreachable);
            tokio::select! {
                event = event => match event {
                    Some(Ok(event)) => self.apply(&event),
                    // The next list contains the missed changes, after which the watch is reopened.
                    Some(Err(error)) => {
                        log::info!("the watch of roll-outs was interrupted; cause={error}");
                        self.watch = None;
                    }
                    None => self.watch = None,
                },
                _ = step.tick(), if is_active => self.step_rollouts(),
                () = tokio::time::sleep_until(expiry.unwrap_or(until).into()), if expiry.is_some() => {
                    if self.state.expire(Instant::now()) {
                        self.publish();
                    }
                }
                () = tokio::time::sleep_until(until.into()) => return,
            }
        }
    }

    /// Opens the watch of the phases of roll-outs.
    async fn open_watch(&self) -> Option<Watch> {
        match self.store.watch(driver::RECORD_PREFIX, self.state.revision() + 1).await {
            Ok(watch) => Some(watch),
            Err(error) => {
                log::info!("the watch of roll-outs can't be opened; cause={error}");
                None
            }
        }
    }

    fn apply(&mut self, event: &Event) {
        let changed = match event {
            Event::Put(entry) => self.state.put(entry),
            Event::Delete { key, revision } => self.state.delete(key, *revision),
            Event::Progress(_) => false,
        };
        if changed {
            self.publish();
        }
    }

    fn step_rollouts(&mut self) {
        if self.state.step_rollouts(&self.store, Instant::now()) {
            self.publish();
        }
    }

    fn publish(&self) {
        let Some(rules) = self.state.rules().cloned() else { return };
        let (excluded, splits) =
            (self.state.driver().excluded_versions(), self.state.driver().splits());
        self.cell.publish(View::new(rules, self.state.servers(), &excluded, splits));
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
    bounds.iter().min().map_or(RETRY_DELAY, |shortest| shortest.mul_f64(LIST_FRACTION))
}

/// Returns the time after which every instance with this list interval has seen a change.
pub fn visibility_delay(list_interval: Duration) -> Duration {
    list_interval + VISIBILITY_MARGIN
}
