//! Quality estimates from ratings, by account, kind of task and version.

use {
    super::{Estimate, Tier},
    hawthornmount_core::{id::AccountId, snapshot::Release},
    std::sync::Arc,
};

/// Assumed quality of the cheapest and of the costliest model before any rating.
const INITIAL_QUALITY: (f64, f64) = (0.7, 0.9);
/// Maximum number of pairs of account and kind of task; beyond it, the pair that was rated longest
/// ago is evicted.
const MAX_CONTEXTS: usize = 1_024;

/// Quality estimate of one version.
#[derive(Clone, Debug)]
struct Entry {
    release: Release,
    estimate: Estimate,
}

/// Quality estimates of versions, sorted by release.
#[derive(Clone, Debug, Default)]
struct Estimates(Vec<Entry>);

/// Quality estimates for one account and kind of task.
#[derive(Clone, Debug)]
struct Context {
    account: AccountId,
    task: Arc<str>,
    estimates: Estimates,
    /// Value of [`Learner::observations`] at the last rating.
    last_observation: u64,
}

/// Quality estimates of all accounts and kinds of task.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    /// Sorted by account and task.
    contexts: Vec<Context>,
    /// Estimates over all accounts and tasks, the priors of those in `contexts`.
    overall: Estimates,
    /// Number of ratings so far.
    observations: u64,
}

impl Learner {
    /// Records a rating.
    pub fn observe(&mut self, account: &AccountId, task: &str, release: &Release, rating: f64) {
        self.observations += 1;
        self.overall.observe(release, rating);
        let found = self.position(account, task);
        let at = found.unwrap_or_else(|at| {
            let (account, task) = (account.clone(), Arc::from(task));
            let estimates = Estimates::default();
            self.contexts.insert(
                at,
                Context { account, task, estimates, last_observation: self.observations },
            );
            at
        });
        self.contexts[at].last_observation = self.observations;
        self.contexts[at].estimates.observe(release, rating);
        self.evict_least_recent();
    }

    /// Sets the quality and its standard deviation in the tiers of `releases`, which are sorted
    /// from cheap to costly.
    pub fn set_qualities(
        &self,
        account: &str,
        task: &str,
        releases: &[Release],
        tiers: &mut [Tier],
    ) {
        let context = self.position(account, task).ok().map(|at| &self.contexts[at].estimates);
        let step = (INITIAL_QUALITY.1 - INITIAL_QUALITY.0)
            / releases.len().max(2).saturating_sub(1) as f64;
        for (at, (release, tier)) in releases.iter().zip(tiers).enumerate() {
            let initial = INITIAL_QUALITY.0 + step * at as f64;
            let prior = self.overall.get(release).quality(initial);
            let estimate =
                context.map_or_else(Estimate::default, |estimates| estimates.get(release));
            tier.quality = estimate.quality(prior);
            tier.standard_deviation = estimate.standard_deviation(prior);
        }
    }

    fn evict_least_recent(&mut self) {
        if self.contexts.len() <= MAX_CONTEXTS {
            return;
        }
        let oldest =
            self.contexts.iter().enumerate().min_by_key(|(_, context)| context.last_observation);
        if let Some(at) = oldest.map(|(at, _)| at) {
            self.contexts.remove(at);
        }
    }

    /// Returns the position of a context, or the one to insert it at as an error.
    fn position(&self, account: &str, task: &str) -> Result<usize, usize> {
        self.contexts
            .binary_search_by(|context| (&*context.account, &*context.task).cmp(&(account, task)))
    }
}

impl Estimates {
    fn observe(&mut self, release: &Release, rating: f64) {
        let found = self.0.binary_search_by(|entry| entry.release.cmp(release));
        let at = found.unwrap_or_else(|at| {
            self.0.insert(at, Entry { release: release.clone(), estimate: Estimate::default() });
            at
        });
        self.0[at].estimate.observe(rating);
    }

    fn get(&self, release: &Release) -> Estimate {
        let found = self.0.binary_search_by(|entry| entry.release.cmp(release));
        found.map_or_else(|_| Estimate::default(), |at| self.0[at].estimate)
    }
}
