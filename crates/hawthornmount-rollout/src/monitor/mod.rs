//! Evaluator of an instance: it keeps the evidence, suspends versions that it condemns and knows the
//! progress of the roll-outs.

mod latency;
mod report;
mod state;

pub use report::{Decision, Report, RolloutReport};

use {
    crate::{
        Evaluator, Sample,
        evidence::{Evidence, Key, Record, pair::Pairs},
        progress::{self, Progress},
        suspension::{Set, Suspension},
    },
    async_trait::async_trait,
    hawthornmount_core::{
        clock::Clock,
        config::Config,
        id::{Incarnation, InstanceId, Revision},
        snapshot::{Release, Share},
    },
    latency::Latency,
    parking_lot::Mutex,
    state::Inner,
    std::{collections::VecDeque, sync::Arc, time::SystemTime},
    tokio::sync::Notify,
};

/// Evaluator of an instance.
pub struct Monitor {
    inner: Mutex<Inner>,
    changed: Notify,
    news: Notify,
    clock: Arc<dyn Clock>,
}

impl Monitor {
    /// Creates a judge that has seen nothing.
    pub fn new(instance: InstanceId, incarnation: Incarnation, clock: Arc<dyn Clock>) -> Self {
        let inner = Inner {
            instance,
            incarnation,
            revision: 0,
            config: Arc::default(),
            members: 1,
            evidence: Evidence::default(),
            fresh: Vec::new(),
            urgent: false,
            pairs: Pairs::default(),
            latency: Latency::default(),
            drifts: Vec::new(),
            sequence: 0,
            suspensions: Set::default(),
            unsent: Vec::new(),
            progress: Vec::new(),
            decisions: VecDeque::new(),
        };
        Self { inner: Mutex::new(inner), changed: Notify::new(), news: Notify::new(), clock }
    }

    /// Takes the configuration in force and the number of members, which share the chance of a
    /// false alarm.
    pub fn configure(&self, revision: Revision, config: &Arc<Config>, members: usize) {
        let mut inner = self.inner.lock();
        inner.members = inner.members.max(members);
        if revision <= inner.revision {
            return;
        }
        inner.revision = revision;
        inner.config = config.clone();
        inner.forget();
    }

    /// Takes tallies of other instances.
    pub fn merge_evidence(&self, cells: Vec<Record>) {
        let mut inner = self.inner.lock();
        let mut changed = false;
        for cell in cells {
            if cell.key.instance != inner.instance {
                changed |= inner.take_cell(cell, self.now_ms());
            }
        }
        self.tell(changed);
    }

    /// Takes suspensions of other instances or of the store, and tells whether one was news.
    pub fn merge_suspensions(&self, suspensions: Vec<Suspension>) -> bool {
        let mut inner = self.inner.lock();
        let mut changed = false;
        for suspension in suspensions {
            let what = format!(
                "heard of a suspension; release={}@{} by={}",
                suspension.key.model, suspension.key.version, suspension.cause.by
            );
            if inner.suspensions.merge(suspension) {
                inner.note(self.now_ms(), what.into());
                changed = true;
            }
        }
        self.tell(changed);
        changed
    }

    /// Takes progress of roll-outs; progress never moves back.
    pub fn merge_progress(&self, progress: Vec<Progress>) -> bool {
        let mut inner = self.inner.lock();
        let mut changed = false;
        for one in progress {
            changed |= inner.take_progress(one);
        }
        self.tell(changed);
        changed
    }

    /// Returns up to `limit` tallies of this instance that changed since the last call.
    pub fn take_changed_evidence(&self, limit: usize) -> Vec<Record> {
        let mut inner = self.inner.lock();
        inner.urgent = false;
        let count = inner.fresh.len().min(limit);
        let keys: Vec<Key> = inner.fresh.drain(..count).collect();
        let tally = |key: Key| {
            let tally = inner.evidence.get(&key)?.clone();
            Some(Record { key, tally })
        };
        keys.into_iter().filter_map(tally).collect()
    }

    /// Tells whether there are tallies that got worse and should not wait.
    pub fn has_urgent_evidence(&self) -> bool {
        self.inner.lock().urgent
    }

    /// Returns the suspensions that this instance made and that were not told yet.
    pub fn take_unsent_suspensions(&self) -> Vec<Suspension> {
        std::mem::take(&mut self.inner.lock().unsent)
    }

    /// Waits until there may be something to tell the other instances at once.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// Returns every suspension that is known.
    pub fn suspensions(&self) -> Vec<Suspension> {
        self.inner.lock().suspensions.all().to_vec()
    }

    /// Returns the progress that is known.
    pub fn progress(&self) -> Vec<Progress> {
        self.inner.lock().progress.clone()
    }

    /// Returns the rated answers of a release and the logarithm of the largest e-value against it.
    pub fn standing(&self, release: &Release) -> (u64, f64) {
        self.inner.lock().standing(release)
    }

    /// Returns why the release gets no new work, if it gets none.
    pub fn against(&self, release: &Release) -> Option<Arc<str>> {
        self.inner.lock().against(release)
    }

    /// Returns what operators are shown.
    pub fn report(&self) -> Report {
        report::build(&self.inner.lock(), self.now_ms())
    }

    /// Keeps a decision for operators.
    pub fn note(&self, what: impl Into<Arc<str>>) {
        let at_ms = self.now_ms();
        self.inner.lock().note(at_ms, what.into());
    }

    fn tell(&self, changed: bool) {
        if changed {
            self.changed.notify_one();
            self.news.notify_one();
        }
    }

    /// Returns the time in milliseconds since the epoch.
    pub fn now_ms(&self) -> u64 {
        let elapsed = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

#[async_trait]
impl Evaluator for Monitor {
    fn observe(&self, sample: Sample) {
        let mut inner = self.inner.lock();
        let changed = inner.observe(&sample, self.now_ms());
        self.tell(changed);
        if inner.urgent {
            self.news.notify_one();
        }
    }

    fn suspended(&self) -> Vec<Release> {
        let inner = self.inner.lock();
        let held = inner.suspensions.in_force(inner.revision, &inner.config);
        let mut releases: Vec<Release> = held.iter().map(|one| one.key.release()).collect();
        releases.dedup();
        releases
    }

    fn shares(&self) -> Vec<Share> {
        let inner = self.inner.lock();
        progress::shares(&inner.config, &inner.progress)
    }

    async fn changed(&self) {
        self.changed.notified().await;
    }
}
