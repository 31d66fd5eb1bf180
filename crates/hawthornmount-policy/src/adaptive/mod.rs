//! Router that adapts to measurements: it orders the models of a cascade by rated quality, chooses
//! servers by load and speed, and limits retries by a budget.

use {
    crate::{
        budget::Budget,
        cascade::{self, Learner, Tier},
        eligibility,
        router::{Candidate, Choice, Class, Outcome, Plan, Query, Router},
        server::{Pool, Workload},
        version,
    },
    hawthornmount_core::{
        config::Account,
        id::{AccountId, ServerId, ServiceId},
        reason::Refusal,
        snapshot::{Liveness, Release, Snapshot},
        units::TOKENS_PER_PRICE,
    },
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Probability that a random model is drawn to be tried first, to get ratings of it. It is not
/// tried if it is the first choice anyway or exceeds [`MAX_EXPLORATION_COST_RATIO`].
const EXPLORATION_PROBABILITY: f64 = 0.02;
/// Largest ratio of the cost of an explored model to that of the first choice. Costlier models get
/// their ratings from escalations.
const MAX_EXPLORATION_COST_RATIO: f64 = 5.0;
/// Consecutive missing ratings after which the router assumes that answers are not rated.
const MAX_MISSING_RATINGS: u32 = 3;
/// Time after which the router expects ratings again.
const UNRATED_PERIOD: Duration = Duration::from_secs(2);
/// Ratio of the delay before a hedged request to the expected time of an answer.
const HEDGE_DELAY_FACTOR: f64 = 4.0;
/// Shortest delay before a hedged request.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(50);

/// Router that learns from the outcomes of requests and from ratings.
#[derive(Debug)]
pub struct Adaptive {
    pool: Mutex<Pool>,
    ratings: Mutex<Ratings>,
    budget: Mutex<Budget>,
    rng: Mutex<SmallRng>,
}

#[derive(Debug, Default)]
struct Ratings {
    learner: Learner,
    /// Consecutive answers whose rating did not arrive.
    missing_ratings: u32,
    /// Time until which the router assumes that answers are not rated.
    unrated_until: Option<Instant>,
}

impl Adaptive {
    /// Creates a router without measurements, with random choices from a random seed.
    pub fn new() -> Self {
        Self::with_seed(rand::rng().random())
    }

    /// Creates a router without measurements, whose random choices are determined by `seed`.
    pub fn with_seed(seed: u64) -> Self {
        Self {
            pool: Mutex::default(),
            ratings: Mutex::default(),
            budget: Mutex::new(Budget::new(0)),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    /// Chooses a server for `workload`.
    fn choose_for(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        workload: &Workload,
        tried: &[ServerId],
    ) -> Result<Choice, Refusal> {
        let mut rng = self.rng.lock();
        let chosen = self.pool.lock().choose(snapshot, query, workload, tried, &mut *rng);
        chosen.ok_or(Refusal::NoServer)
    }

    /// Returns the expected cost, time and quality of the releases.
    fn tiers(&self, snapshot: &Snapshot, query: &Query, releases: &[Release]) -> Vec<Tier> {
        let tokens = (query.prompt_tokens + query.max_tokens) as f64;
        let pool = self.pool.lock();
        let tier = |release: &Release| {
            let price = snapshot.config.models.get(&release.model).map_or(0, |one| one.price);
            let cost = price as f64 * tokens / TOKENS_PER_PRICE as f64;
            let seconds = pool.expected_seconds(release, query.max_tokens);
            Tier { cost, quality: 0.0, standard_deviation: 0.0, seconds }
        };
        let mut tiers: Vec<Tier> = releases.iter().map(tier).collect();
        drop(pool);
        self.ratings.lock().learner.set_qualities(
            &query.account,
            &query.task,
            releases,
            &mut tiers,
        );
        tiers
    }

    /// Returns whether the answer is expected to be rated before it is sent.
    fn has_inline_rating(&self, query: &Query) -> bool {
        let unrated = self.ratings.lock().unrated_until.is_some_and(|until| query.now < until);
        !query.streamed && !unrated
    }

    /// Returns the positions of the tiers to try, and whether the first one is explored.
    fn order(&self, query: &Query, tiers: &[Tier], target: f64) -> (Vec<usize>, bool) {
        let rated = self.has_inline_rating(query);
        let path = if rated {
            let left = query.deadline.saturating_duration_since(query.now);
            cascade::escalation_path(tiers, left.as_secs_f64())
        } else {
            cascade::cheapest_sufficient(tiers, target).into_iter().collect()
        };
        let mut rng = self.rng.lock();
        if tiers.len() < 2 || !rng.random_bool(EXPLORATION_PROBABILITY) {
            return (path, false);
        }
        let explored = rng.random_range(0..tiers.len());
        let Some(first) = path.first().copied() else { return (path, false) };
        if first == explored
            || tiers[explored].cost > tiers[first].cost * MAX_EXPLORATION_COST_RATIO
        {
            return (path, false);
        }
        let rest = path.into_iter().filter(|at| *at != explored);
        (std::iter::once(explored).chain(rest).collect(), true)
    }
}

impl Default for Adaptive {
    fn default() -> Self {
        Self::new()
    }
}

impl Router for Adaptive {
    fn plan(&self, snapshot: &Snapshot, query: &Query) -> Result<Plan, Refusal> {
        let account = snapshot.config.accounts.get(&query.account).ok_or(Refusal::BadKey)?;
        if let Some(pinned) = &query.pinned {
            return pinned_plan(snapshot, query, account, pinned);
        }
        let models = version::models(&snapshot.config, account, query.model.as_ref())?;
        let releases: Vec<Release> = models
            .iter()
            .filter_map(|model| version::choose(snapshot, &query.account, model))
            .collect();
        if releases.is_empty() {
            return Err(Refusal::NoVersion);
        }
        let tiers = self.tiers(snapshot, query, &releases);
        let (order, explored) = self.order(query, &tiers, account.quality_target);
        let rest = (0..releases.len()).filter(|at| !order.contains(at));
        let fallbacks: Vec<usize> = rest.collect();
        let candidates = order.iter().chain(fallbacks.iter()).enumerate();
        Ok(Plan {
            candidates: candidates
                .map(|(place, at)| Candidate {
                    release: releases[*at].clone(),
                    quality: tiers[*at].quality,
                    is_exploration: explored && place == 0,
                })
                .collect(),
            escalation_steps: order.len(),
            quality_target: account.quality_target,
        })
    }

    fn choose_server(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        release: &Release,
        tried: &[ServerId],
    ) -> Result<Choice, Refusal> {
        self.budget.lock().set_percent(snapshot.config.limits.retry_percent);
        if !eligibility::is_usable(snapshot, &query.account, release) {
            return Err(Refusal::NoVersion);
        }
        self.choose_for(snapshot, query, &Workload::Release(release.clone()), tried)
    }

    fn choose_service_server(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        service: &ServiceId,
        tried: &[ServerId],
    ) -> Result<Choice, Refusal> {
        self.budget.lock().set_percent(snapshot.config.limits.retry_percent);
        self.choose_for(snapshot, query, &Workload::Service(service.clone()), tried)
    }

    fn record_outcome(
        &self,
        choice: &Choice,
        release: Option<&Release>,
        outcome: Outcome,
        now: Instant,
    ) {
        if matches!(outcome, Outcome::Answered(_) | Outcome::Streamed(_)) {
            self.budget.lock().record_success();
        }
        let mut rng = self.rng.lock();
        self.pool.lock().record_outcome(choice, release, outcome, now, &mut *rng);
    }

    fn record_rating(&self, account: &AccountId, task: &str, release: &Release, rating: f64) {
        let mut ratings = self.ratings.lock();
        ratings.missing_ratings = 0;
        ratings.unrated_until = None;
        ratings.learner.observe(account, task, release, rating);
    }

    fn record_missing_rating(&self, now: Instant) {
        let mut ratings = self.ratings.lock();
        ratings.missing_ratings += 1;
        if ratings.missing_ratings >= MAX_MISSING_RATINGS {
            ratings.unrated_until = Some(now + UNRATED_PERIOD);
        }
    }

    fn try_acquire_retry(&self, now: Instant) -> bool {
        self.budget.lock().try_acquire(now)
    }

    fn hedge_delay(&self, release: &Release, query: &Query) -> Option<Duration> {
        let seconds = self.pool.lock().measured_seconds(release, query.max_tokens)?;
        Some(Duration::from_secs_f64(seconds * HEDGE_DELAY_FACTOR).max(MIN_HEDGE_DELAY))
    }

    fn expected_seconds(&self, release: &Release, tokens: u64) -> f64 {
        self.pool.lock().expected_seconds(release, tokens)
    }

    fn concurrency_limit(&self, snapshot: &Snapshot, query: &Query, class: Class) -> Option<f64> {
        let alive = snapshot.members.iter().filter(|one| one.liveness == Liveness::Alive).count();
        let mut pool = self.pool.lock();
        pool.refresh(snapshot, query);
        Some(pool.concurrency_limit(class, alive, query.now))
    }
}

/// Returns the plan of a session that is pinned to a release, the only candidate.
fn pinned_plan(
    snapshot: &Snapshot,
    query: &Query,
    account: &Account,
    pinned: &Release,
) -> Result<Plan, Refusal> {
    if !eligibility::is_usable(snapshot, &query.account, pinned) {
        return Err(Refusal::NoVersion);
    }
    let candidate = Candidate { release: pinned.clone(), quality: 1.0, is_exploration: false };
    Ok(Plan {
        candidates: vec![candidate],
        escalation_steps: 1,
        quality_target: account.quality_target,
    })
}
