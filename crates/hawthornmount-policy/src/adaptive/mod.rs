//! Router that learns: cascades by rated quality, servers by load and speed, retries by budget.

use {
    crate::{
        budget::Budget,
        cascade::{self, Learner, Tier},
        plan::{Candidate, Choice, Class, Ended, Plan, Query, Router},
        rule,
        server::{Pool, Work},
        version,
    },
    hawthornmount_core::{
        config::Account,
        id::{AccountId, ServerId, ServiceId},
        reason::Refusal,
        snapshot::{Liveness, Release, Snapshot},
        units::PRICED_TOKENS,
    },
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Part of the requests that try a model to learn about it.
const EXPLORED: f64 = 0.02;
/// Largest cost of a model that is tried to learn over that of the first choice; costlier ones are
/// learned by escalation.
const EXPLORED_COST: f64 = 5.0;
/// Missing ratings in a row after which answers are taken to go out unrated.
const MISSED_UNTIL_UNRATED: u32 = 3;
/// Time after which ratings are counted on again.
const RATING_PAUSE: Duration = Duration::from_secs(2);
/// Factor on the usual time of a request after which a second copy is worth it.
const HEDGE_FACTOR: f64 = 4.0;
/// Shortest wait before a second copy.
const MIN_HEDGE: Duration = Duration::from_millis(50);

/// Router that learns from the ends of requests and from ratings.
#[derive(Debug)]
pub struct Adaptive {
    pool: Mutex<Pool>,
    learned: Mutex<Learned>,
    budget: Mutex<Budget>,
    rng: Mutex<SmallRng>,
}

#[derive(Debug, Default)]
struct Learned {
    learner: Learner,
    missed: u32,
    unrated_until: Option<Instant>,
}

impl Adaptive {
    /// Creates a router that knows nothing yet.
    pub fn new() -> Self {
        Self::with_seed(rand::rng().random())
    }

    /// Creates a router whose random choices follow from `seed`.
    pub fn with_seed(seed: u64) -> Self {
        Self {
            pool: Mutex::default(),
            learned: Mutex::default(),
            budget: Mutex::new(Budget::new(0)),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        }
    }

    fn pick(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        work: &Work,
        tried: &[ServerId],
    ) -> Result<Choice, Refusal> {
        let mut rng = self.rng.lock();
        let chosen = self.pool.lock().choose(snapshot, query, work, tried, &mut *rng);
        chosen.ok_or(Refusal::NoServer)
    }

    fn tiers(&self, snapshot: &Snapshot, query: &Query, releases: &[Release]) -> Vec<Tier> {
        let tokens = (query.prompt_tokens + query.max_tokens) as f64;
        let pool = self.pool.lock();
        let tier = |release: &Release| {
            let price = snapshot.config.models.get(&release.model).map_or(0, |one| one.price);
            let cost = price as f64 * tokens / PRICED_TOKENS as f64;
            let seconds = pool.seconds(release, query.max_tokens);
            Tier { cost, quality: 0.0, spread: 0.0, seconds }
        };
        let mut tiers: Vec<Tier> = releases.iter().map(tier).collect();
        drop(pool);
        self.learned.lock().learner.fill(&query.account, &query.task, releases, &mut tiers);
        tiers
    }

    fn is_rated_in_line(&self, query: &Query) -> bool {
        let paused = self.learned.lock().unrated_until.is_some_and(|until| query.now < until);
        !query.streamed && !paused
    }

    /// Returns the positions of the tiers to try and whether the first is there only to learn.
    fn order(&self, query: &Query, tiers: &[Tier], target: f64) -> (Vec<usize>, bool) {
        let rated = self.is_rated_in_line(query);
        let path = if rated {
            let left = query.deadline.saturating_duration_since(query.now);
            cascade::rated_path(tiers, left.as_secs_f64())
        } else {
            cascade::single(tiers, target).into_iter().collect()
        };
        let mut rng = self.rng.lock();
        if tiers.len() < 2 || !rng.random_bool(EXPLORED) {
            return (path, false);
        }
        let explored = rng.random_range(0..tiers.len());
        let Some(first) = path.first().copied() else { return (path, false) };
        if first == explored || tiers[explored].cost > tiers[first].cost * EXPLORED_COST {
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
                    explored: explored && place == 0,
                })
                .collect(),
            steps: order.len(),
            quality_target: account.quality_target,
        })
    }

    fn choose(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        release: &Release,
        tried: &[ServerId],
    ) -> Result<Choice, Refusal> {
        self.budget.lock().set_percent(snapshot.config.limits.retry_percent);
        if !rule::is_usable(snapshot, &query.account, release) {
            return Err(Refusal::NoVersion);
        }
        self.pick(snapshot, query, &Work::Release(release.clone()), tried)
    }

    fn choose_service(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        service: &ServiceId,
        tried: &[ServerId],
    ) -> Result<Choice, Refusal> {
        self.budget.lock().set_percent(snapshot.config.limits.retry_percent);
        self.pick(snapshot, query, &Work::Service(service.clone()), tried)
    }

    fn ended(&self, choice: &Choice, release: Option<&Release>, ended: Ended, now: Instant) {
        if matches!(ended, Ended::Answered(_) | Ended::Streamed(_)) {
            self.budget.lock().succeeded();
        }
        let mut rng = self.rng.lock();
        self.pool.lock().ended(choice, release, ended, now, &mut *rng);
    }

    fn rated(&self, account: &AccountId, task: &str, release: &Release, rating: f64) {
        let mut learned = self.learned.lock();
        learned.missed = 0;
        learned.unrated_until = None;
        learned.learner.observe(account, task, release, rating);
    }

    fn unrated(&self, now: Instant) {
        let mut learned = self.learned.lock();
        learned.missed += 1;
        if learned.missed >= MISSED_UNTIL_UNRATED {
            learned.unrated_until = Some(now + RATING_PAUSE);
        }
    }

    fn may_retry(&self, now: Instant) -> bool {
        self.budget.lock().take(now)
    }

    fn hedge_after(&self, release: &Release, query: &Query) -> Option<Duration> {
        let seconds = self.pool.lock().seen_seconds(release, query.max_tokens)?;
        Some(Duration::from_secs_f64(seconds * HEDGE_FACTOR).max(MIN_HEDGE))
    }

    fn seconds(&self, release: &Release, tokens: u64) -> f64 {
        self.pool.lock().seconds(release, tokens)
    }

    fn capacity(&self, snapshot: &Snapshot, query: &Query, class: Class) -> Option<f64> {
        let alive = snapshot.members.iter().filter(|one| one.liveness == Liveness::Alive).count();
        let mut pool = self.pool.lock();
        pool.refresh(snapshot, query);
        Some(pool.capacity(class, alive, query.now))
    }
}

/// Returns the plan of a session that keeps its release; it has no other.
fn pinned_plan(
    snapshot: &Snapshot,
    query: &Query,
    account: &Account,
    pinned: &Release,
) -> Result<Plan, Refusal> {
    if !rule::is_usable(snapshot, &query.account, pinned) {
        return Err(Refusal::NoVersion);
    }
    let candidate = Candidate { release: pinned.clone(), quality: 1.0, explored: false };
    Ok(Plan { candidates: vec![candidate], steps: 1, quality_target: account.quality_target })
}
