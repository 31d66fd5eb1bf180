//! What the ratings have taught, by account, kind of task and version.

use {
    super::{Belief, Tier},
    hawthornmount_core::{id::AccountId, snapshot::Release},
    std::sync::Arc,
};

/// Chance of a good answer of the cheapest and of the costliest model before any rating.
const FIRST_QUALITY: (f64, f64) = (0.7, 0.9);
/// Pairs of account and task that are kept; beyond, the one that was rated longest ago is dropped.
const MAX_SUBJECTS: usize = 1_024;

/// Belief about one version.
#[derive(Clone, Debug)]
struct Entry {
    release: Release,
    belief: Belief,
}

/// Beliefs about versions in order.
#[derive(Clone, Debug, Default)]
struct Entries(Vec<Entry>);

/// Beliefs on the tasks of one kind of one account.
#[derive(Clone, Debug)]
struct Subject {
    account: AccountId,
    task: Arc<str>,
    entries: Entries,
    used: u64,
}

/// Beliefs in order of account and task.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    subjects: Vec<Subject>,
    overall: Entries,
    uses: u64,
}

impl Learner {
    /// Takes a rating.
    pub fn observe(&mut self, account: &AccountId, task: &str, release: &Release, rating: f64) {
        self.uses += 1;
        self.overall.observe(release, rating);
        let found = self.find(account, task);
        let at = found.unwrap_or_else(|at| {
            let (account, task) = (account.clone(), Arc::from(task));
            let entries = Entries::default();
            self.subjects.insert(at, Subject { account, task, entries, used: self.uses });
            at
        });
        self.subjects[at].used = self.uses;
        self.subjects[at].entries.observe(release, rating);
        self.drop_oldest();
    }

    /// Sets the quality and its uncertainty in the tiers of `releases`, from cheap to costly.
    pub fn fill(&self, account: &str, task: &str, releases: &[Release], tiers: &mut [Tier]) {
        let subject = self.find(account, task).ok().map(|at| &self.subjects[at].entries);
        let step =
            (FIRST_QUALITY.1 - FIRST_QUALITY.0) / releases.len().max(2).saturating_sub(1) as f64;
        for (at, (release, tier)) in releases.iter().zip(tiers).enumerate() {
            let first = FIRST_QUALITY.0 + step * at as f64;
            let prior = self.overall.get(release).quality(first);
            let belief = subject.map_or_else(Belief::default, |entries| entries.get(release));
            tier.quality = belief.quality(prior);
            tier.spread = belief.spread(prior);
        }
    }

    fn drop_oldest(&mut self) {
        if self.subjects.len() <= MAX_SUBJECTS {
            return;
        }
        let oldest = self.subjects.iter().enumerate().min_by_key(|(_, subject)| subject.used);
        if let Some(at) = oldest.map(|(at, _)| at) {
            self.subjects.remove(at);
        }
    }

    fn find(&self, account: &str, task: &str) -> Result<usize, usize> {
        self.subjects
            .binary_search_by(|subject| (&*subject.account, &*subject.task).cmp(&(account, task)))
    }
}

impl Entries {
    fn observe(&mut self, release: &Release, rating: f64) {
        let found = self.0.binary_search_by(|entry| entry.release.cmp(release));
        let at = found.unwrap_or_else(|at| {
            self.0.insert(at, Entry { release: release.clone(), belief: Belief::default() });
            at
        });
        self.0[at].belief.observe(rating);
    }

    fn get(&self, release: &Release) -> Belief {
        let found = self.0.binary_search_by(|entry| entry.release.cmp(release));
        found.map_or_else(|_| Belief::default(), |at| self.0[at].belief)
    }
}
