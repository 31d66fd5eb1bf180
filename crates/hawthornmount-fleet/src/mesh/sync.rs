//! Joining the fleet, and repair of members that gossip missed.

use {
    super::Mesh,
    crate::{
        seed::Seed,
        wire::{Digest, Outcome, Question, Record, Standing},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Pause between two looks at the seeds until one has answered.
const JOIN_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two looks at the seeds afterwards.
const SEED_PAUSE: Duration = Duration::from_secs(5);
/// Seeds that are asked at a look.
const SEEDS_AT_A_LOOK: usize = 3;
/// Acknowledgements with a differing hash in a row after which members are exchanged: gossip of the
/// last change has ended by then.
const REPAIR_AFTER: u32 = 2;
/// Least time between two exchanges because of differing hashes; it doubles with each.
const REPAIR_PAUSE: Duration = Duration::from_secs(1);
/// Most doublings of [`REPAIR_PAUSE`].
const REPAIR_DOUBLINGS: u32 = 4;
/// Least time between two exchanges of members because one came back.
const RETURN_PAUSE: Duration = Duration::from_secs(2);

impl Mesh {
    pub(super) async fn join_all(self: &Arc<Self>) {
        let Some(source) = self.seeds.clone() else { return std::future::pending().await };
        loop {
            if let Some(seeds) = source.seeds().await {
                for seed in self.unknown(seeds) {
                    self.exchange_members(&seed).await;
                }
            }
            let pause = if self.has_joined() { SEED_PAUSE } else { JOIN_PAUSE };
            tokio::time::sleep(pause).await;
        }
    }

    /// Returns some of the seeds that are not members yet.
    fn unknown(&self, seeds: Vec<Seed>) -> Vec<Record> {
        let mut state = self.state.lock();
        let unknown = seeds
            .into_iter()
            .filter(|seed| seed.id != self.id && seed.address.port() != 0)
            .filter(|seed| state.roster.get(&seed.id).is_none())
            .map(record)
            .collect();
        state.choose(unknown, SEEDS_AT_A_LOOK)
    }

    /// Exchanges members with a peer whose hash of the members differs time and again.
    pub(super) fn compare_rosters(self: &Arc<Self>, peer: &Record, digest: &Digest) {
        let doublings = {
            let mut state = self.state.lock();
            if state.roster.hash() == digest.roster {
                state.mismatches = 0;
                return;
            }
            state.mismatches += 1;
            state.mismatches.checked_sub(REPAIR_AFTER)
        };
        let pause =
            doublings.map(|doublings| REPAIR_PAUSE * (1 << doublings.min(REPAIR_DOUBLINGS)));
        if pause.is_some_and(|pause| self.is_due(pause)) {
            self.spawn_exchange(peer.clone());
        }
    }

    /// Exchanges members with a peer that came back, as both sides have news then.
    pub(super) fn sync_soon(self: &Arc<Self>, peer: Record) {
        if self.is_due(RETURN_PAUSE) {
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

    fn is_due(&self, pause: Duration) -> bool {
        self.state.lock().last_sync.is_none_or(|last| last.elapsed() >= pause)
    }

    async fn exchange_members(self: &Arc<Self>, peer: &Record) {
        let question = Question::Sync(self.all_records());
        if let Ok(Outcome::Members(records)) = self.question(peer, question).await {
            self.state.lock().last_sync = Some(Instant::now());
            for record in records {
                self.learn(record);
            }
        }
    }

    pub(super) fn all_records(&self) -> Vec<Record> {
        let state = self.state.lock();
        state.roster.others().chain([state.roster.local()]).cloned().collect()
    }
}

fn record(seed: Seed) -> Record {
    Record {
        id: seed.id,
        incarnation: 0,
        refutation: 0,
        standing: Standing::Alive,
        data_centre: "".into(),
        address: seed.address,
    }
}
