//! What the ratings have taught, by account, kind of task and version.

use {
    super::{Belief, Tier},
    hawthornmount_core::{id::AccountId, snapshot::Release},
    std::sync::Arc,
};

/// Chance of a good answer before any rating.
const FIRST_QUALITY: f64 = 0.8;
/// Keys that are kept; beyond, the one that was used longest ago is dropped.
const MAX_KEYS: usize = 4_096;

/// What one belief is about.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    account: AccountId,
    task: Arc<str>,
    release: Release,
}

#[derive(Clone, Debug)]
struct Entry {
    key: Key,
    belief: Belief,
    used: u64,
}

#[derive(Clone, Debug)]
struct Overall {
    release: Release,
    belief: Belief,
}

/// Beliefs in order of their keys.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    entries: Vec<Entry>,
    overall: Vec<Overall>,
    uses: u64,
}

impl Learner {
    /// Takes a rating.
    pub fn observe(&mut self, account: &AccountId, task: &str, release: &Release, rating: f64) {
        self.uses += 1;
        match self.find(account, task, release) {
            Ok(at) => {
                self.entries[at].belief.observe(rating);
                self.entries[at].used = self.uses;
            }
            Err(at) => self.add(at, account, task, release, rating),
        }
        let found = self.overall.binary_search_by(|one| one.release.cmp(release));
        let at = found.unwrap_or_else(|at| {
            self.overall
                .insert(at, Overall { release: release.clone(), belief: Belief::default() });
            at
        });
        self.overall[at].belief.observe(rating);
    }

    /// Sets the quality and its uncertainty in `tier`.
    pub fn fill(&self, account: &AccountId, task: &str, release: &Release, tier: &mut Tier) {
        let overall = self.overall.binary_search_by(|one| one.release.cmp(release)).ok();
        let prior =
            overall.map_or(FIRST_QUALITY, |at| self.overall[at].belief.quality(FIRST_QUALITY));
        let found = self.find(account, task, release).ok();
        let belief = found.map_or_else(Belief::default, |at| self.entries[at].belief);
        tier.quality = belief.quality(prior);
        tier.spread = belief.spread(prior);
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn add(&mut self, at: usize, account: &AccountId, task: &str, release: &Release, rating: f64) {
        let key = Key { account: account.clone(), task: task.into(), release: release.clone() };
        let mut belief = Belief::default();
        belief.observe(rating);
        self.entries.insert(at, Entry { key, belief, used: self.uses });
        if self.entries.len() > MAX_KEYS {
            let oldest = self.entries.iter().enumerate().min_by_key(|(_, entry)| entry.used);
            if let Some(at) = oldest.map(|(at, _)| at) {
                self.entries.remove(at);
            }
        }
    }

    fn find(&self, account: &str, task: &str, release: &Release) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| {
            let key = &entry.key;
            (&*key.account, &*key.task, &key.release).cmp(&(account, task, release))
        })
    }
}
