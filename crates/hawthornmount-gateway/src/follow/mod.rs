//! Follows configuration, servers and roll-outs in the store, and proves that they are recent.
//!
//! A list of all keys comes first, then a watch. A quiet watch proves nothing: it may have lost
//! events or be mute. Every second or so a small question asks for the store's revision. If all
//! changes up to it were seen, the view was current when the question was asked, and the
//! [`Fence`] is confirmed; if not, everything is listed again.

mod state;

pub use state::State;

use {
    crate::{
        fence::Fence,
        rollout::Driver,
        roster::Roster,
        source::Vocabulary,
        view::{Cell, View},
    },
    futures::StreamExt,
    hawthornmount_core::id::Revision,
    hawthornmount_store::{self as store, Event, Store},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Pause between two proofs. Two may fail in a row before additions are no longer certain.
const PROOF_PAUSE: Duration = Duration::from_millis(1_200);
/// Pause after the store gave no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time in which changes that a proof shows have to arrive by the watch.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Pause after changes arrived, so that changes that come close together cost one call. It delays a
/// configuration by a tenth of the time that it has.
const COALESCE: Duration = Duration::from_millis(250);
/// Pause between two looks at a roll-out.
const STEP_PAUSE: Duration = Duration::from_millis(200);
/// Keys that are listed with one call.
const PAGE: usize = 500;

/// Answer to a question for the store's revision.
struct Proof {
    asked: Duration,
    revision: store::Result<Revision>,
}

/// A proof whose changes have not all arrived.
struct Pending {
    asked: Duration,
    revision: Revision,
    until: Instant,
}

/// Why the watch is left and everything is listed again.
enum Left {
    /// The watch broke or its history is gone.
    Broken(store::Error),
    /// Changes did not arrive.
    Behind,
}

/// Follows the store and publishes views.
pub struct Follower {
    store: Arc<dyn Store>,
    vocabulary: Arc<dyn Vocabulary>,
    fence: Arc<Fence>,
    cell: Arc<Cell>,
    state: State,
    /// Whether the store did not answer the last question.
    away: bool,
}

impl Follower {
    /// Creates a follower that publishes to `cell`.
    pub fn new(
        store: Arc<dyn Store>,
        vocabulary: Arc<dyn Vocabulary>,
        fence: Arc<Fence>,
        cell: Arc<Cell>,
        driver: Driver,
        roster: Roster,
    ) -> Self {
        let state = State::new(vocabulary.clone(), driver, roster);
        Self { store, vocabulary, fence, cell, state, away: false }
    }

    /// Follows for ever.
    pub async fn run(mut self) {
        loop {
            if let Err(error) = self.list().await {
                self.lost(&error);
                // Evidence against a version counts here also while the store is away.
                self.step();
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            match self.watch().await {
                Left::Broken(error) => log::info!("the watch broke; cause={error}"),
                Left::Behind => log::info!("the watch missed changes; seen={}", self.state.seen()),
            }
        }
    }

    /// Lists everything.
    async fn list(&mut self) -> store::Result<()> {
        let asked = self.fence.now();
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
        self.fence.confirm(asked);
        self.register();
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

    /// Applies changes as they come until the watch has to be opened again.
    async fn watch(&mut self) -> Left {
        let prefix = self.vocabulary.followed_prefix();
        let mut watch = match self.store.watch(prefix, self.state.seen() + 1).await {
            Ok(watch) => watch,
            Err(error) => return Left::Broken(error),
        };
        let (sender, mut proofs) = mpsc::channel(1);
        let mut due = tokio::time::interval(PROOF_PAUSE);
        due.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        due.reset();
        let mut pending: Option<Pending> = None;
        let mut quiet_until: Option<Instant> = None;
        let mut step = tokio::time::interval(STEP_PAUSE);
        step.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let until = pending.as_ref().map(|pending| pending.until);
            tokio::select! {
                event = watch.next(), if quiet_until.is_none() => match event {
                    Some(Ok(Event::Progress(_))) => {
                        quiet_until = Some(Instant::now() + COALESCE);
                    }
                    Some(Ok(event)) => self.apply(&event),
                    Some(Err(error)) => return Left::Broken(error),
                    None => return Left::Behind,
                },
                () = sleep_until(quiet_until), if quiet_until.is_some() => quiet_until = None,
                _ = due.tick() => self.ask(&sender),
                Some(proof) = proofs.recv() => match proof.revision {
                    Ok(revision) => {
                        self.found();
                        let until = Instant::now() + CATCH_UP;
                        pending = Some(Pending { asked: proof.asked, revision, until });
                    }
                    Err(error) => {
                        self.lost(&error);
                        due.reset_after(RETRY_PAUSE);
                    }
                },
                _ = step.tick(), if self.state.driver().is_active() => {
                    self.step();
                }
                () = sleep_until(until) => return Left::Behind,
            }
            if self.state.expire(Instant::now()) {
                self.publish();
            }
            if let Some(proof) = pending.take_if(|proof| proof.revision <= self.state.seen()) {
                self.fence.confirm(proof.asked);
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

    /// Asks for the store's revision without holding up the watch.
    fn ask(&self, sender: &mpsc::Sender<Proof>) {
        let Ok(permit) = sender.clone().try_reserve_owned() else { return };
        let (store, prefix) = (self.store.clone(), self.vocabulary.probe_prefix());
        let asked = self.fence.now();
        tokio::spawn(async move {
            let revision = store.list(prefix, None, 1).await.map(|page| page.revision);
            permit.send(Proof { asked, revision });
        });
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

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
