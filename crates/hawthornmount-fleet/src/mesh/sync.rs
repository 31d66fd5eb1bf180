//! Joining of the fleet, and repair of member lists where gossip was lost.

use {
    super::Mesh,
    crate::{
        seed::Seed,
        wire::{Digest, Outcome, Query, Record, Standing},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Interval between two reads of the seeds until the instance has joined.
const JOIN_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two reads of the seeds once the instance has joined.
const SEED_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of seeds that are contacted after each read.
const MAX_SEEDS_PER_READ: usize = 3;
/// Consecutive acknowledgements with a differing roster hash after which members are exchanged; by
/// then gossip of the last change has ended.
const MISMATCHES_BEFORE_REPAIR: u32 = 2;
/// Minimum interval between two exchanges because of differing hashes; it doubles with each further
/// mismatch.
const MIN_REPAIR_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of doublings of [`MIN_REPAIR_INTERVAL`].
const MAX_REPAIR_DOUBLINGS: u32 = 4;
/// Minimum interval between two exchanges because a dead member was revived.
const MIN_REVIVAL_SYNC_INTERVAL: Duration = Duration::from_secs(2);

impl Mesh {
    pub(super) async fn join_loop(self: &Arc<Self>) {
        let Some(source) = self.seeds.clone() else { return std::future::pending().await };
        loop {
            if let Some(seeds) = source.seeds().await {
                for seed in self.unknown_seeds(seeds) {
                    self.exchange_members(&seed).await;
                }
            }
            let pause = if self.has_joined() { SEED_INTERVAL } else { JOIN_INTERVAL };
            tokio::time::sleep(pause).await;
        }
    }

    /// Returns some of the seeds that are not members yet.
    fn unknown_seeds(&self, seeds: Vec<Seed>) -> Vec<Record> {
        let mut state = self.state.lock();
        let unknown = seeds
            .into_iter()
            .filter(|seed| seed.id != self.id && seed.address.port() != 0)
            .filter(|seed| state.roster.get(&seed.id).is_none())
            .map(provisional_record)
            .collect();
        state.sample(unknown, MAX_SEEDS_PER_READ)
    }

    /// Exchanges members with a peer if roster hashes have differed repeatedly.
    pub(super) fn compare_rosters(self: &Arc<Self>, peer: &Record, digest: &Digest) {
        let doublings = {
            let mut state = self.state.lock();
            if state.roster.hash() == digest.roster {
                state.digest_mismatches = 0;
                return;
            }
            state.digest_mismatches += 1;
            state.digest_mismatches.checked_sub(MISMATCHES_BEFORE_REPAIR)
        };
        let interval = doublings
            .map(|doublings| MIN_REPAIR_INTERVAL * (1 << doublings.min(MAX_REPAIR_DOUBLINGS)));
        if interval.is_some_and(|interval| self.is_sync_due(interval)) {
            self.spawn_exchange(peer.clone());
        }
    }

    /// Exchanges members with a peer that was dead and is back, as both sides may have missed
    /// updates.
    pub(super) fn sync_with_revived(self: &Arc<Self>, peer: Record) {
        if self.is_sync_due(MIN_REVIVAL_SYNC_INTERVAL) {
            self.spawn_exchange(peer);
        }
    }

    fn spawn_exchange(self: &Arc<Self>, peer: Record) {
        self.state.lock().last_sync = Some(Instant::now());
        let mesh = self.clone();
        tokio::spawn(async move {
            mesh.exchange_members(&peer).await;
        });
    }

    fn is_sync_due(&self, interval: Duration) -> bool {
        self.state.lock().last_sync.is_none_or(|last| last.elapsed() >= interval)
    }

    async fn exchange_members(self: &Arc<Self>, peer: &Record) {
        let query = Query::Sync(self.all_records());
        if let Ok(Outcome::Members(records)) = self.query(peer, query).await {
            self.state.lock().last_sync = Some(Instant::now());
            for record in records {
                self.merge_record(record);
            }
        }
    }

    pub(super) fn all_records(&self) -> Vec<Record> {
        let state = self.state.lock();
        state.roster.others().chain([state.roster.local()]).cloned().collect()
    }
}

/// Returns a record with which a seed can be contacted; its unknown fields have placeholders.
fn provisional_record(seed: Seed) -> Record {
    Record {
        id: seed.id,
        incarnation: 0,
        refutation: 0,
        standing: Standing::Alive,
        data_centre: "".into(),
        address: seed.address,
    }
}
