//! Follows configuration, servers and roll-outs in the store, and proves that they are recent.
//!
//! All keys are listed at a fixed pace: an answer brings the changes and shows at once that nothing
//! newer exists, so the [`Freshness`] is confirmed. Every call is priced and a change of any server would
//! wake the watches of all instances, so only the phases of roll-outs are watched, while one is under
//! way; lists come more often while its new version gets most requests, since they bring the evidence.

mod state;

pub use state::State;

use {
    crate::{
        freshness::Freshness,
        rollout::driver,
        source::Vocabulary,
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

/// Part of the shortest bound on changes after which everything is listed again. A list that fails is
/// asked again at once, and there is time for the question and its answer.
const LIST_PART: f64 = 0.65;
/// Part of that pause after which lists come while a new version gets most requests and may still be
/// rolled back: they bring what other instances saw of it.
const EXPOSED_PART: f64 = 0.3;
/// Time past the pause between two lists in which every instance has seen an order: a list that
/// fails at first is asked again.
const NOTICE_MARGIN: Duration = Duration::from_millis(600);
/// Pause after the store gave no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two looks at a roll-out.
const STEP_PAUSE: Duration = Duration::from_millis(200);
/// Keys that are listed with one call.
const PAGE: usize = 500;

/// Follows the store and publishes views.
pub struct Follower {
    store: Arc<dyn Store>,
    vocabulary: Arc<dyn Vocabulary>,
    freshness: Arc<Freshness>,
    cell: Arc<Cell>,
    state: State,
    /// Pause between two lists.
    pause: Duration,
    /// Phases of roll-outs, while one is under way.
    watch: Option<Watch>,
    /// Whether the store did not answer the last question.
    away: bool,
}

impl Follower {
    /// Creates a follower that publishes to `cell` and lists every `pause`.
    pub fn new(
        store: Arc<dyn Store>,
        vocabulary: Arc<dyn Vocabulary>,
        freshness: Arc<Freshness>,
        cell: Arc<Cell>,
        state: State,
        pause: Duration,
    ) -> Self {
        Self { store, vocabulary, freshness, cell, state, pause, watch: None, away: false }
    }

    /// Follows for ever.
    pub async fn run(mut self) {
        loop {
            let pause = match self.list().await {
                Ok(()) if self.state.driver().is_exposed() => self.pause.mul_f64(EXPOSED_PART),
                Ok(()) => self.pause,
                Err(error) => {
                    self.lost(&error);
                    // Evidence against a version counts here also while the store is away.
                    self.step();
                    RETRY_PAUSE
                }
            };
            self.watch(Instant::now() + pause).await;
        }
    }

    /// Lists everything.
    async fn list(&mut self) -> store::Result<()> {
        let asked = self.freshness.now();
        let prefix = self.vocabulary.followed_prefix();
        let mut seen = Revision::MAX;
        let mut entries = Vec::new();
        let mut after: Option<Arc<str>> = None;
        loop {
            let page = self.store.list(prefix, after.as_deref(), PAGE).await?;
            seen = seen.min(page.revision);
            after = page.entries.last().map(|entry| entry.key.clone());
            entries.extend(page.entries);
            if !page.more || after.is_none() {
                break;
            }
        }
        self.state.replace(&entries, seen, self.away, Instant::now());
        self.found();
        self.publish();
        self.freshness.confirm(asked);
        self.register();
        self.state.driver().tidy(&self.store);
        Ok(())
    }

    /// Registers this instance, if it is not registered yet.
    fn register(&self) {
        let Some(txn) = self.state.roster().registration() else { return };
        let store = self.store.clone();
        tokio::spawn(async move {
            if let Err(error) = store.commit(txn).await {
                // The next list tries again if the key is missing.
                log::warn!("the instance can't be registered; cause={error}");
            }
        });
    }

    /// Waits until the next list is due. While a roll-out is under way, changes of it are applied as
    /// they come and what it has due is written.
    async fn watch(&mut self, until: Instant) {
        let mut step = tokio::time::interval(STEP_PAUSE);
        step.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let is_active = self.state.driver().is_active();
        if !is_active {
            self.watch = None;
        } else if self.watch.is_none() {
            self.watch = self.open().await;
        }
        loop {
            let event = async {
                match &mut self.watch {
                    Some(watch) => watch.next().await,
                    None => std::future::pending().await,
                }
            };
            // A server that is gone must not wait for the next list, unless the store is away again.
            let expiry = self.state.next_expiry().filter(|at| *at < until && !self.away);
            tokio::select! {
                event = event => match event {
                    Some(Ok(event)) => self.apply(&event),
                    // The next list brings what it missed, and the watch is opened again.
                    Some(Err(error)) => {
                        log::info!("the watch broke; cause={error}");
                        self.watch = None;
                    }
                    None => self.watch = None,
                },
                _ = step.tick(), if is_active => self.step(),
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
    async fn open(&self) -> Option<Watch> {
        match self.store.watch(driver::RECORDS, self.state.seen() + 1).await {
            Ok(watch) => Some(watch),
            Err(error) => {
                log::info!("the watch can't be opened; cause={error}");
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

    fn step(&mut self) {
        if self.state.step(&self.store, Instant::now()) {
            self.publish();
        }
    }

    fn publish(&self) {
        let Some(rules) = self.state.rules().cloned() else { return };
        let (held, splits) = (self.state.driver().held(), self.state.driver().splits());
        self.cell.publish(View::new(rules, self.state.servers(), &held, splits));
    }

    fn lost(&mut self, error: &store::Error) {
        if !self.away {
            log::warn!("the store is out of reach; cause={error}");
        }
        self.away = true;
    }

    fn found(&mut self) {
        if self.away {
            log::info!("the store answers again");
        }
        self.away = false;
    }
}

/// Returns the pause between two lists for bounds on the time in which changes have to hold.
pub fn list_pause(bounds: &[Duration]) -> Duration {
    bounds.iter().min().map_or(RETRY_PAUSE, |least| least.mul_f64(LIST_PART))
}

/// Returns the time after which every instance that lists at a pace has seen a change.
pub fn notice(pause: Duration) -> Duration {
    pause + NOTICE_MARGIN
}
