//! Evaluator of versions in an instance: holds the evidence, suspends versions when the evidence
//! against them is sufficient, and tracks the progress of the roll-outs.

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

/// Evaluator of versions in an instance.
pub struct Monitor {
    inner: Mutex<Inner>,
    changed: Notify,
    urgent_update: Notify,
    clock: Arc<dyn Clock>,
}

impl Monitor {
    /// Creates a monitor without evidence.
    pub fn new(instance: InstanceId, incarnation: Incarnation, clock: Arc<dyn Clock>) -> Self {
        let inner = Inner {
            instance,
            incarnation,
            revision: 0,
            config: Arc::default(),
            members: 1,
            evidence: Evidence::default(),
            changed_keys: Vec::new(),
            has_urgent: false,
            pairs: Pairs::default(),
            latency: Latency::default(),
            drifts: Vec::new(),
            sequence: 0,
            suspensions: Set::default(),
            unsent: Vec::new(),
            progress: Vec::new(),
            decisions: VecDeque::new(),
        };
        Self {
            inner: Mutex::new(inner),
            changed: Notify::new(),
            urgent_update: Notify::new(),
            clock,
        }
    }

    /// Sets the configuration in force and the number of members, among which the probability of a
    /// false alarm is divided.
    pub fn configure(&self, revision: Revision, config: &Arc<Config>, members: usize) {
        let mut inner = self.inner.lock();
        inner.members = inner.members.max(members);
        if revision <= inner.revision {
            return;
        }
        inner.revision = revision;
        inner.config = config.clone();
        inner.discard_obsolete();
    }

    /// Merges tallies of other instances; those of this instance are ignored.
    pub fn merge_evidence(&self, records: Vec<Record>) {
        let mut inner = self.inner.lock();
        let mut changed = false;
        for record in records {
            if record.key.instance != inner.instance {
                changed |= inner.merge_record(record, self.now_ms());
            }
        }
        self.notify_if(changed);
    }

    /// Merges suspensions from other instances or from the store. Returns whether one was new.
    pub fn merge_suspensions(&self, suspensions: Vec<Suspension>) -> bool {
        let mut inner = self.inner.lock();
        let mut changed = false;
        for suspension in suspensions {
            let what = format!(
                "heard of a suspension; release={}@{} by={}",
                suspension.key.model, suspension.key.version, suspension.cause.by
            );
            if inner.suspensions.merge(suspension) {
                inner.record_decision(self.now_ms(), what.into());
                changed = true;
            }
        }
        self.notify_if(changed);
        changed
    }

    /// Merges progress of roll-outs; older progress is ignored. Returns whether any was new.
    pub fn merge_progress(&self, progress: Vec<Progress>) -> bool {
        let mut inner = self.inner.lock();
        let mut changed = false;
        for one in progress {
            changed |= inner.merge_progress(one);
        }
        self.notify_if(changed);
        changed
    }

    /// Takes up to `limit` tallies of this instance that changed since they were last taken, the
    /// worsened ones first.
    pub fn take_changed_evidence(&self, limit: usize) -> Vec<Record> {
        let mut inner = self.inner.lock();
        inner.has_urgent = false;
        let count = inner.changed_keys.len().min(limit);
        let keys: Vec<Key> = inner.changed_keys.drain(..count).collect();
        let record = |key: Key| {
            let tally = inner.evidence.get(&key)?.clone();
            Some(Record { key, tally })
        };
        keys.into_iter().filter_map(record).collect()
    }

    /// Returns whether there are worsened tallies that should be sent without delay.
    pub fn has_urgent_evidence(&self) -> bool {
        self.inner.lock().has_urgent
    }

    /// Takes the suspensions made by this instance that were not taken before.
    pub fn take_unsent_suspensions(&self) -> Vec<Suspension> {
        std::mem::take(&mut self.inner.lock().unsent)
    }

    /// Waits until there may be something to send to the other instances without delay.
    pub async fn urgent_update(&self) {
        self.urgent_update.notified().await;
    }

    /// Returns all known suspensions, also those that are no longer in force.
    pub fn suspensions(&self) -> Vec<Suspension> {
        self.inner.lock().suspensions.all().to_vec()
    }

    /// Returns the known progress of the roll-outs.
    pub fn progress(&self) -> Vec<Progress> {
        self.inner.lock().progress.clone()
    }

    /// Returns the number of ratings of a release and the largest log e-value against it.
    pub fn assessment(&self, release: &Release) -> (u64, f64) {
        self.inner.lock().assessment(release)
    }

    /// Returns why a release gets no new requests, if it is withdrawn or suspended.
    pub fn exclusion(&self, release: &Release) -> Option<Arc<str>> {
        self.inner.lock().exclusion(release)
    }

    /// Returns the report on roll-outs and suspensions for operators.
    pub fn report(&self) -> Report {
        report::build(&self.inner.lock(), self.now_ms())
    }

    /// Keeps a decision for operators.
    pub fn record_decision(&self, what: impl Into<Arc<str>>) {
        let at_ms = self.now_ms();
        self.inner.lock().record_decision(at_ms, what.into());
    }

    fn notify_if(&self, changed: bool) {
        if changed {
            self.changed.notify_one();
            self.urgent_update.notify_one();
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
        self.notify_if(changed);
        if inner.has_urgent {
            self.urgent_update.notify_one();
        }
    }

    fn suspended(&self) -> Vec<Release> {
        let inner = self.inner.lock();
        let in_force = inner.suspensions.in_force(inner.revision, &inner.config);
        let mut releases: Vec<Release> = in_force.iter().map(|one| one.key.release()).collect();
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
