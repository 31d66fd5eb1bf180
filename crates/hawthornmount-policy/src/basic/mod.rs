//! Router that tries models from cheap to costly and takes the less busy of two servers.

use {
    crate::{
        plan::{Candidate, Choice, Ended, Plan, Query, Router},
        rule,
    },
    hawthornmount_core::{
        config::{Account, Config},
        id::{AccountId, ModelId, ServerId, ServiceId},
        reason::Refusal,
        snapshot::{Backend, Health, Release, Snapshot},
        table::Table,
    },
    parking_lot::Mutex,
    rand::{RngExt, seq::IndexedRandom},
    std::time::Instant,
};

/// Router with the simplest rules that keep every promise.
#[derive(Debug, Default)]
pub struct Basic {
    in_flight: Mutex<Table<u32>>,
}

impl Basic {
    /// Creates a router.
    pub fn new() -> Self {
        Self::default()
    }

    fn pick(&self, query: &Query, backends: &[&Backend]) -> Option<Choice> {
        let local: Vec<&Backend> =
            backends.iter().copied().filter(|one| one.data_centre == query.data_centre).collect();
        let pool = if local.is_empty() { backends } else { &local };
        let mut in_flight = self.in_flight.lock();
        let running = |backend: &Backend| in_flight.get(&backend.id).copied().unwrap_or(0);
        let chosen =
            pool.sample(&mut rand::rng(), 2).min_by_key(|backend| running(backend)).copied()?;
        let count = running(chosen) + 1;
        in_flight.insert(chosen.id.clone(), count);
        Some(Choice {
            server: chosen.id.clone(),
            address: chosen.address,
            data_centre: chosen.data_centre.clone(),
        })
    }
}

impl Router for Basic {
    fn plan(&self, snapshot: &Snapshot, query: &Query) -> Result<Plan, Refusal> {
        let config = &snapshot.config;
        let account = config.accounts.get(&query.account).ok_or(Refusal::BadKey)?;
        if let Some(pinned) = &query.pinned {
            return Ok(Plan {
                candidates: vec![candidate(pinned.clone())],
                quality_target: account.quality_target,
            });
        }
        let models = models(config, account, query.model.as_ref())?;
        let candidates: Vec<Candidate> = models
            .iter()
            .filter_map(|model| release(snapshot, &query.account, model))
            .map(candidate)
            .collect();
        if candidates.is_empty() {
            return Err(Refusal::NoVersion);
        }
        Ok(Plan { candidates, quality_target: account.quality_target })
    }

    fn choose(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        release: &Release,
        tried: &[ServerId],
    ) -> Result<Choice, Refusal> {
        let able: Vec<&Backend> = snapshot
            .backends
            .iter()
            .filter(|one| one.health == Health::Up && !tried.contains(&one.id))
            .filter(|one| one.loaded.binary_search(release).is_ok())
            .collect();
        self.pick(query, &able).ok_or(Refusal::NoServer)
    }

    fn choose_service(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        service: &ServiceId,
        tried: &[ServerId],
    ) -> Result<Choice, Refusal> {
        let serves = |backend: &Backend| {
            let server = snapshot.config.servers.get(&backend.id);
            server.is_some_and(|server| server.services.contains(service))
        };
        let able: Vec<&Backend> = snapshot
            .backends
            .iter()
            .filter(|one| one.health == Health::Up && !tried.contains(&one.id))
            .filter(|one| serves(one))
            .collect();
        self.pick(query, &able).ok_or(Refusal::NoServer)
    }

    fn ended(&self, server: &ServerId, _release: Option<&Release>, _ended: Ended, _now: Instant) {
        if let Some(count) = self.in_flight.lock().get_mut(server) {
            *count = count.saturating_sub(1);
        }
    }

    fn rated(&self, _account: &AccountId, _task: &str, _release: &Release, _rating: f64) {}

    fn may_retry(&self, _now: Instant) -> bool {
        true
    }
}

fn candidate(release: Release) -> Candidate {
    Candidate { release, quality: 1.0, explored: false }
}

fn models(
    config: &Config,
    account: &Account,
    named: Option<&ModelId>,
) -> Result<Vec<ModelId>, Refusal> {
    if let Some(model) = named {
        return Ok(vec![model.clone()]);
    }
    let cascade = account.cascade.as_ref().and_then(|id| config.cascades.get(id));
    cascade.map(|cascade| cascade.models.clone()).ok_or(Refusal::NotAllowed)
}

/// Returns the version of `model` for a new session: the one under roll-out for its share of the
/// sessions, else the stable one.
fn release(snapshot: &Snapshot, account: &str, model: &ModelId) -> Option<Release> {
    let row = snapshot.config.models.get(model)?;
    let rolled = snapshot.shares.iter().find(|share| share.release.model == *model);
    if let Some(share) = rolled
        && rule::is_usable(snapshot, account, &share.release)
        && rand::rng().random_bool(share.fraction.clamp(0.0, 1.0))
    {
        return Some(share.release.clone());
    }
    let stable = Release { model: model.clone(), version: row.stable.clone() };
    let usable = rule::is_usable(snapshot, account, &stable).then_some(stable);
    usable.or_else(|| rule::fallback(snapshot, account, model))
}
