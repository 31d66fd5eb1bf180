//! Drives the roll-outs. The lease holder advances their progress in the store by compare-and-swap.
//! Every instance reads progress and suspensions from the store and records its own suspensions.

pub mod lease;

use {
    crate::{
        gossip,
        monitor::Monitor,
        order::Orders,
        progress::{self, Conditions, Progress},
        suspension::Suspension,
    },
    hawthornmount_core::{
        config::Rollout,
        id::RolloutId,
        snapshot::{Health, Release, Snapshot},
    },
    hawthornmount_fleet::Fleet,
    hawthornmount_store::{Entry, Result, Store, Txn},
    lease::Lease,
    parking_lot::Mutex,
    serde::{Serialize, de::DeserializeOwned},
    std::{sync::Arc, time::Duration},
};

/// Prefix of all keys of roll-outs in the store.
pub const PREFIX: &str = "/hawthornmount/rollout/";
/// Prefix of the keys of progress records.
const PROGRESS: &str = "/hawthornmount/rollout/progress/";
/// Prefix of the keys of suspensions.
const SUSPENSIONS: &str = "/hawthornmount/rollout/suspension/";
/// Most entries that are read in a round.
const MAX_ENTRIES: usize = 1_000;
/// Shortest interval between two rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Round interval for each fleet member, so that the fleet's total rate of store reads does not
/// grow with its size.
const ROUND_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(125);
/// Interval between two rounds of orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(250);

/// Source of the instance's current snapshot.
pub trait SnapshotSource: Send + Sync {
    /// Returns the current snapshot.
    fn snapshot(&self) -> Arc<Snapshot>;
}

/// Status of the driver for operators.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Name of the lease holder: its instance and incarnation.
    pub holder: Option<Arc<str>>,
    /// Fencing number, if this instance holds the lease.
    pub fence: Option<u64>,
    /// Error of the last round, if it failed.
    pub store_error: Option<Arc<str>>,
}

/// Drives the roll-outs from one instance.
pub struct Driver {
    monitor: Arc<Monitor>,
    store: Arc<dyn Store>,
    fleet: Arc<dyn Fleet>,
    snapshots: Arc<dyn SnapshotSource>,
    lease: Lease,
    /// Suspensions that the store holds, or for whose version it holds a newer one.
    recorded: Vec<Suspension>,
    status: Arc<Mutex<Status>>,
}

impl Driver {
    /// Creates a driver. `lease` has the name of this incarnation of the instance, and `status` is
    /// kept up to date.
    pub fn new(
        monitor: Arc<Monitor>,
        store: Arc<dyn Store>,
        fleet: Arc<dyn Fleet>,
        snapshots: Arc<dyn SnapshotSource>,
        lease: Lease,
        status: Arc<Mutex<Status>>,
    ) -> Self {
        Self { monitor, store, fleet, snapshots, lease, recorded: Vec::new(), status }
    }

    /// Drives the roll-outs and sends orders to engines; never returns.
    pub async fn run(mut self, mut orders: Orders) {
        let mut ticks = tokio::time::interval(ORDER_INTERVAL);
        let mut next_round = tokio::time::Instant::now();
        loop {
            ticks.tick().await;
            let now = tokio::time::Instant::now();
            if now >= next_round || self.has_unrecorded() {
                let result = self.round().await;
                self.update_status(&result);
                next_round = now + self.round_interval();
            }
            orders.round(&self.snapshots.snapshot(), &self.monitor, &self.lease).await;
        }
    }

    /// Reads the store once, records suspensions, and as the lease holder advances the roll-outs.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer; the next round reads its state and continues.
    pub async fn round(&mut self) -> Result<()> {
        let entries = self.store.list(PREFIX, None, MAX_ENTRIES).await?.entries;
        self.merge(&entries);
        let holder = entries.iter().find(|entry| &*entry.key == lease::KEY);
        self.status.lock().holder =
            holder.map(|entry| String::from_utf8_lossy(&entry.value).as_ref().into());
        self.record_suspensions().await?;
        self.lease.acquire_or_renew(&*self.store, holder).await?;
        if self.lease.fence(Duration::ZERO).is_some() {
            gossip::publish_suspensions(&*self.fleet, &self.monitor.suspensions());
            self.advance(&entries).await?;
            gossip::publish_progress(&*self.fleet, &self.monitor.progress());
        }
        Ok(())
    }

    /// Returns the state of the lease in this instance.
    pub const fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Merges the suspensions and progress of the store into the monitor.
    fn merge(&mut self, entries: &[Entry]) {
        let suspensions: Vec<Suspension> = decode(entries, SUSPENSIONS);
        for suspension in &suspensions {
            if !self.recorded.contains(suspension) {
                self.recorded.push(suspension.clone());
            }
        }
        self.monitor.merge_suspensions(suspensions);
        self.monitor.merge_progress(decode(entries, PROGRESS));
    }

    /// Returns whether there are suspensions to record and the last round reached the store.
    fn has_unrecorded(&self) -> bool {
        self.status.lock().store_error.is_none()
            && self.monitor.suspensions().iter().any(|one| !self.recorded.contains(one))
    }

    /// Writes the suspensions that the store does not hold. Of two suspensions of one version, the
    /// one with the newer cause is kept, as in the instances.
    async fn record_suspensions(&mut self) -> Result<()> {
        for suspension in self.monitor.suspensions() {
            if self.recorded.contains(&suspension) {
                continue;
            }
            let key = suspension_key(&suspension);
            let current = self.store.get(&key).await?;
            let txn = match &current {
                None => Txn::new().if_absent(&key),
                Some(entry) => {
                    let stored: Option<Suspension> = serde_json::from_slice(&entry.value).ok();
                    if stored.is_some_and(|stored| stored >= suspension) {
                        self.recorded.push(suspension);
                        continue;
                    }
                    Txn::new().if_unchanged(&key, entry.revision)
                }
            };
            if self.store.commit(txn.put(&key, encode(&suspension))).await?.applied {
                self.recorded.push(suspension);
            }
        }
        Ok(())
    }

    /// Advances the progress of each roll-out by at most one step.
    async fn advance(&mut self, entries: &[Entry]) -> Result<()> {
        let snapshot = self.snapshots.snapshot();
        for row in &snapshot.config.rollouts {
            let key = format!("{PROGRESS}{}", row.id);
            let entry = entries.iter().find(|entry| *entry.key == *key);
            let known: Option<Progress> =
                entry.and_then(|entry| serde_json::from_slice(&entry.value).ok());
            let Some(next) = self.next(&snapshot, &row.id, &row.value, known) else { continue };
            self.write(&key, entry, next).await?;
        }
        Ok(())
    }

    /// Returns the next progress of a roll-out, or `None` if it does not change.
    fn next(
        &self,
        snapshot: &Snapshot,
        id: &RolloutId,
        rollout: &Rollout,
        known: Option<Progress>,
    ) -> Option<Progress> {
        let release = progress::release(rollout);
        let (rated, log_e_value) = self.monitor.assessment(&release);
        let now_ms = self.monitor.now_ms();
        let exclusion = self.monitor.exclusion(&release);
        let capacity = capacity(snapshot, &release);
        let conditions = Conditions { now_ms, rated, exclusion, log_e_value, capacity };
        match known {
            Some(known) if known.matches(rollout) => {
                known.after(rollout, &known.next(rollout, &conditions), &conditions)
            }
            Some(known) if known.generation >= rollout.generation => None,
            _ if conditions.exclusion.is_some() => None,
            _ if capacity < rollout.steps.first().copied().unwrap_or(0.0) => None,
            _ => Some(Progress::begin(id, rollout, now_ms, rated)),
        }
    }

    /// Writes progress, unless the record or the lease holder has changed in the store.
    async fn write(&self, key: &str, entry: Option<&Entry>, mut next: Progress) -> Result<()> {
        let Some(fence) = self.lease.fence(Duration::ZERO) else { return Ok(()) };
        next.by = self.fleet.local();
        next.fence = fence;
        let txn = match entry {
            None => Txn::new().if_absent(key),
            Some(entry) => Txn::new().if_unchanged(key, entry.revision),
        };
        let txn = txn.if_unchanged(lease::KEY, fence).put(key, encode(&next));
        if self.store.commit(txn).await?.applied {
            let what = format!(
                "roll-out moved; rollout={} stage={:?} step={} cause={}",
                next.rollout, next.stage, next.step, next.cause
            );
            log::info!("{what}");
            self.monitor.record_decision(what);
            self.monitor.merge_progress(vec![next]);
        }
        Ok(())
    }

    fn update_status(&self, result: &Result<()>) {
        let mut status = self.status.lock();
        let fence = self.lease.fence(Duration::ZERO);
        match (status.fence, fence) {
            (None, Some(fence)) => {
                self.monitor.record_decision(format!("took the lease; fence={fence}"));
            }
            (Some(fence), None) => {
                self.monitor.record_decision(format!("left the lease; fence={fence}"));
            }
            _ => {}
        }
        status.fence = fence;
        status.store_error = result.as_ref().err().map(|error| error.to_string().into());
    }

    fn round_interval(&self) -> Duration {
        if self.lease.fence(Duration::ZERO).is_some() {
            return MIN_ROUND_INTERVAL;
        }
        let members = u32::try_from(self.fleet.members().len()).unwrap_or(u32::MAX);
        MIN_ROUND_INTERVAL.max(ROUND_INTERVAL_PER_MEMBER * members)
    }
}

/// Returns the fraction of a model's slots on available servers that are on servers with the
/// version loaded.
pub fn capacity(snapshot: &Snapshot, release: &Release) -> f64 {
    let (mut total, mut loaded) = (0, 0);
    for backend in snapshot.backends.iter().filter(|backend| backend.health == Health::Up) {
        let server = snapshot.config.servers.get(&backend.id);
        if !server.is_some_and(|server| server.models.contains(&release.model)) {
            continue;
        }
        total += backend.slots;
        if backend.loaded.binary_search(release).is_ok() {
            loaded += backend.slots;
        }
    }
    if total == 0 { 0.0 } else { f64::from(loaded) / f64::from(total) }
}

fn suspension_key(suspension: &Suspension) -> String {
    let key = &suspension.key;
    format!("{SUSPENSIONS}{}@{}/{}", key.model, key.version, key.generation)
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// Returns the values of the entries below `prefix`; those that can't be decoded are skipped.
fn decode<T: DeserializeOwned>(entries: &[Entry], prefix: &str) -> Vec<T> {
    let under = entries.iter().filter(|entry| entry.key.starts_with(prefix));
    under.filter_map(|entry| serde_json::from_slice(&entry.value).ok()).collect()
}
