//! Drives the roll-outs: whoever holds the lease moves their progress by compare-and-swap, and
//! every instance reads what the store holds and records its suspensions.

pub mod lease;

use {
    crate::{
        monitor::Monitor,
        order::Orders,
        progress::{self, Gate, Progress},
        share,
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

/// Prefix of everything that roll-outs keep in the store.
pub const PREFIX: &str = "/hawthornmount/rollout/";
/// Prefix of the progress records.
const PROGRESS: &str = "/hawthornmount/rollout/progress/";
/// Prefix of the suspensions.
const SUSPENSIONS: &str = "/hawthornmount/rollout/suspension/";
/// Most keys that are read at a time.
const PAGE: usize = 1_000;
/// Least pause between two looks at the store.
const PAUSE: Duration = Duration::from_secs(1);
/// Pause for each member, so that the fleet's looks stay at a constant rate.
const PAUSE_PER_MEMBER: Duration = Duration::from_millis(125);
/// Pause between two rounds of orders.
const ORDER_PAUSE: Duration = Duration::from_millis(250);

/// Present control state of the instance.
pub trait View: Send + Sync {
    /// Returns the present snapshot.
    fn snapshot(&self) -> Arc<Snapshot>;
}

/// State of the driver that operators are shown.
#[derive(Clone, Debug, Default)]
pub struct Role {
    /// Instance that holds the lease, with its life.
    pub holder: Option<Arc<str>>,
    /// Fencing number, if this instance holds the lease.
    pub fence: Option<u64>,
    /// Why the last look at the store failed, if it did.
    pub store_error: Option<Arc<str>>,
}

/// Drives the roll-outs from one instance.
pub struct Driver {
    monitor: Arc<Monitor>,
    store: Arc<dyn Store>,
    fleet: Arc<dyn Fleet>,
    view: Arc<dyn View>,
    lease: Lease,
    recorded: Vec<Suspension>,
    role: Arc<Mutex<Role>>,
}

impl Driver {
    /// Creates a driver. `lease` carries the name of this life of the instance, and `role` is kept
    /// up to date.
    pub fn new(
        monitor: Arc<Monitor>,
        store: Arc<dyn Store>,
        fleet: Arc<dyn Fleet>,
        view: Arc<dyn View>,
        lease: Lease,
        role: Arc<Mutex<Role>>,
    ) -> Self {
        Self { monitor, store, fleet, view, lease, recorded: Vec::new(), role }
    }

    /// Drives the roll-outs and orders the engines; never returns.
    pub async fn run(mut self, mut orders: Orders) {
        let mut look = tokio::time::interval(ORDER_PAUSE);
        let mut next_round = tokio::time::Instant::now();
        loop {
            look.tick().await;
            let now = tokio::time::Instant::now();
            if now >= next_round || self.has_unrecorded() {
                let round = self.round().await;
                self.note(&round);
                next_round = now + self.pause();
            }
            orders.round(&self.view.snapshot(), &self.monitor, &self.lease).await;
        }
    }

    /// Looks at the store once and moves what can be moved.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer; the next round reads back and goes on.
    pub async fn round(&mut self) -> Result<()> {
        let entries = self.store.list(PREFIX, None, PAGE).await?.entries;
        self.take(&entries);
        let holder = entries.iter().find(|entry| &*entry.key == lease::KEY);
        self.role.lock().holder =
            holder.map(|entry| String::from_utf8_lossy(&entry.value).as_ref().into());
        self.record_suspensions().await?;
        self.lease.keep(&*self.store, holder).await?;
        if self.lease.fence(Duration::ZERO).is_some() {
            share::tell_suspensions(&*self.fleet, &self.monitor.suspensions());
            self.advance(&entries).await?;
            share::tell_progress(&*self.fleet, &self.monitor.progress());
        }
        Ok(())
    }

    /// Returns the lease, as orders need it.
    pub const fn lease(&self) -> &Lease {
        &self.lease
    }

    fn take(&mut self, entries: &[Entry]) {
        let suspensions: Vec<Suspension> = read(entries, SUSPENSIONS);
        for one in &suspensions {
            if !self.recorded.contains(one) {
                self.recorded.push(one.clone());
            }
        }
        self.monitor.merge_suspensions(suspensions);
        self.monitor.merge_progress(read(entries, PROGRESS));
    }

    fn has_unrecorded(&self) -> bool {
        self.role.lock().store_error.is_none()
            && self.monitor.suspensions().iter().any(|one| !self.recorded.contains(one))
    }

    /// Records the suspensions that the store does not hold. The newest cause of a key wins there
    /// as it does at the instances.
    async fn record_suspensions(&mut self) -> Result<()> {
        for one in self.monitor.suspensions() {
            if self.recorded.contains(&one) {
                continue;
            }
            let key = suspension_key(&one);
            let known = self.store.get(&key).await?;
            let txn = match &known {
                None => Txn::new().if_absent(&key),
                Some(entry) => {
                    let held: Option<Suspension> = serde_json::from_slice(&entry.value).ok();
                    if held.is_some_and(|held| held >= one) {
                        self.recorded.push(one);
                        continue;
                    }
                    Txn::new().if_unchanged(&key, entry.revision)
                }
            };
            if self.store.commit(txn.put(&key, encode(&one))).await?.applied {
                self.recorded.push(one);
            }
        }
        Ok(())
    }

    /// Moves the progress of each roll-out by one step at the most.
    async fn advance(&mut self, entries: &[Entry]) -> Result<()> {
        let snapshot = self.view.snapshot();
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

    fn next(
        &self,
        snapshot: &Snapshot,
        id: &RolloutId,
        rollout: &Rollout,
        known: Option<Progress>,
    ) -> Option<Progress> {
        let release = progress::release(rollout);
        let (rated, doubt) = self.monitor.standing(&release);
        let now_ms = self.monitor.now_ms();
        let against = self.monitor.against(&release);
        let capacity = capacity(snapshot, &release);
        let gate = Gate { now_ms, rated, against, doubt, capacity };
        match known {
            Some(known) if known.is_of(rollout) => {
                known.after(rollout, &known.next(rollout, &gate), &gate)
            }
            Some(known) if known.generation >= rollout.generation => None,
            _ if gate.against.is_some() => None,
            _ if capacity < rollout.steps.first().copied().unwrap_or(0.0) => None,
            _ => Some(Progress::begin(id, rollout, now_ms, rated)),
        }
    }

    /// Writes progress if neither the record nor the lease has changed hands.
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
            self.monitor.note(what);
            self.monitor.merge_progress(vec![next]);
        }
        Ok(())
    }

    fn note(&self, round: &Result<()>) {
        let mut role = self.role.lock();
        let fence = self.lease.fence(Duration::ZERO);
        match (role.fence, fence) {
            (None, Some(fence)) => self.monitor.note(format!("took the lease; fence={fence}")),
            (Some(fence), None) => self.monitor.note(format!("left the lease; fence={fence}")),
            _ => {}
        }
        role.fence = fence;
        role.store_error = round.as_ref().err().map(|error| error.to_string().into());
    }

    fn pause(&self) -> Duration {
        if self.lease.fence(Duration::ZERO).is_some() {
            return PAUSE;
        }
        let members = u32::try_from(self.fleet.members().len()).unwrap_or(u32::MAX);
        PAUSE.max(PAUSE_PER_MEMBER * members)
    }
}

/// Returns the part of a model's slots on servers that are up and have the version loaded.
pub fn capacity(snapshot: &Snapshot, release: &Release) -> f64 {
    let (mut all, mut loaded) = (0, 0);
    for backend in snapshot.backends.iter().filter(|one| one.health == Health::Up) {
        let server = snapshot.config.servers.get(&backend.id);
        if !server.is_some_and(|server| server.models.contains(&release.model)) {
            continue;
        }
        all += backend.slots;
        if backend.loaded.binary_search(release).is_ok() {
            loaded += backend.slots;
        }
    }
    if all == 0 { 0.0 } else { f64::from(loaded) / f64::from(all) }
}

fn suspension_key(one: &Suspension) -> String {
    format!("{SUSPENSIONS}{}@{}/{}", one.key.model, one.key.version, one.key.generation)
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn read<T: DeserializeOwned>(entries: &[Entry], prefix: &str) -> Vec<T> {
    let under = entries.iter().filter(|entry| entry.key.starts_with(prefix));
    under.filter_map(|entry| serde_json::from_slice(&entry.value).ok()).collect()
}
