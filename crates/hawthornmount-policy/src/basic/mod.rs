//! Router with fixed strategies, the baseline that the adaptive router is compared with.

use {
    crate::{
        router::{Candidate, Choice, Outcome, Plan, Query, Router},
        version,
    },
    hawthornmount_core::{
        id::{AccountId, ServerId, ServiceId},
        reason::Refusal,
        snapshot::{Backend, Health, Release, Snapshot},
        table::Table,
    },
    parking_lot::Mutex,
    rand::seq::IndexedRandom,
    std::time::Instant,
};

/// Load-balancing strategy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Strategy {
    /// A random server.
    Random,
    /// The servers in turn.
    RoundRobin,
    /// The server with the lowest reported load.
    LeastReported,
    /// Of two random servers, the one with the lower sum of the reported load and the requests in
    /// flight from this router.
    #[default]
    TwoChoices,
}

/// Router that tries models from cheap to costly and chooses servers by a fixed strategy.
#[derive(Debug, Default)]
pub struct Basic {
    strategy: Strategy,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    in_flight: Table<u32>,
    /// Number of round-robin choices so far.
    turn: usize,
}

impl Basic {
    /// Creates a router that chooses the less loaded of two random servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a router with the given load-balancing strategy.
    pub fn with_strategy(strategy: Strategy) -> Self {
        Self { strategy, state: Mutex::default() }
    }

    fn pick(&self, query: &Query, backends: &[&Backend]) -> Option<Choice> {
        let local: Vec<&Backend> =
            backends.iter().copied().filter(|one| one.data_centre == query.data_centre).collect();
        let pool = if local.is_empty() { backends } else { &local };
        let mut state = self.state.lock();
        let chosen = state.pick(self.strategy, pool)?;
        let count = state.in_flight(chosen) + 1;
        state.in_flight.insert(chosen.id.clone(), count);
        Some(Choice {
            server: chosen.id.clone(),
            address: chosen.address,
            data_centre: chosen.data_centre.clone(),
            max_tokens: query.max_tokens,
        })
    }
}

impl State {
    fn pick<'a>(&mut self, strategy: Strategy, pool: &[&'a Backend]) -> Option<&'a Backend> {
        let mut rng = rand::rng();
        match strategy {
            Strategy::Random => pool.choose(&mut rng).copied(),
            Strategy::RoundRobin => {
                self.turn += 1;
                pool.get(self.turn % pool.len().max(1)).copied()
            }
            Strategy::LeastReported => pool.iter().copied().min_by_key(|one| one.load),
            Strategy::TwoChoices => {
                let load = |one: &&&Backend| one.load + self.in_flight(one);
                pool.sample(&mut rng, 2).min_by_key(load).copied()
            }
        }
    }

    fn in_flight(&self, backend: &Backend) -> u32 {
        self.in_flight.get(&backend.id).copied().unwrap_or(0)
    }
}

impl Router for Basic {
    fn plan(&self, snapshot: &Snapshot, query: &Query) -> Result<Plan, Refusal> {
        let config = &snapshot.config;
        let account = config.accounts.get(&query.account).ok_or(Refusal::BadKey)?;
        if let Some(pinned) = &query.pinned {
            return Ok(Plan {
                candidates: vec![candidate(pinned.clone())],
                escalation_steps: 1,
                quality_target: account.quality_target,
            });
        }
        let models = version::models(config, account, query.model.as_ref())?;
        let candidates: Vec<Candidate> = models
            .iter()
            .filter_map(|model| version::choose(snapshot, &query.account, model))
            .map(candidate)
            .collect();
        if candidates.is_empty() {
            return Err(Refusal::NoVersion);
        }
        let escalation_steps = candidates.len();
        Ok(Plan { candidates, escalation_steps, quality_target: account.quality_target })
    }

    fn choose_server(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        release: &Release,
        tried: &[ServerId],
    ) -> Result<Choice, Refusal> {
        let eligible: Vec<&Backend> = snapshot
            .backends
            .iter()
            .filter(|one| one.health == Health::Up && !tried.contains(&one.id))
            .filter(|one| one.loaded.binary_search(release).is_ok())
            .collect();
        self.pick(query, &eligible).ok_or(Refusal::NoServer)
    }

    fn choose_service_server(
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
        let eligible: Vec<&Backend> = snapshot
            .backends
            .iter()
            .filter(|one| one.health == Health::Up && !tried.contains(&one.id))
            .filter(|one| serves(one))
            .collect();
        self.pick(query, &eligible).ok_or(Refusal::NoServer)
    }

    fn record_outcome(
        &self,
        choice: &Choice,
        _release: Option<&Release>,
        _outcome: Outcome,
        _now: Instant,
    ) {
        if let Some(count) = self.state.lock().in_flight.get_mut(&choice.server) {
            *count = count.saturating_sub(1);
        }
    }

    fn record_rating(&self, _account: &AccountId, _task: &str, _release: &Release, _rating: f64) {}

    fn try_acquire_retry(&self, _now: Instant) -> bool {
        true
    }
}

fn candidate(release: Release) -> Candidate {
    Candidate { release, quality: 1.0, is_exploration: false }
}
