//! Batches of usage records, and the totals that they are folded into.

use {
    crate::{Total, Usage},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Prefix of batches that no total holds yet.
pub const BATCHES: &str = "/hawthornmount/usage/batch/";
/// Prefix of the totals, one for each life of an instance.
pub const TOTALS: &str = "/hawthornmount/usage/total/";

/// Records that one life of an instance wrote at once. The number tells batches apart, so that a
/// batch counts once whoever writes it and however often.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Batch {
    /// Life of an instance.
    pub origin: Arc<str>,
    /// Number of the batch in this life.
    pub number: u64,
    /// The records.
    pub records: Vec<Usage>,
}

/// Sums of the batches of one life of an instance.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Sums {
    /// Number of the first batch that is not summed.
    pub next: u64,
    /// Sums by account.
    pub accounts: Accounts,
}

/// Sums by account, in order of their names.
pub type Accounts = Vec<(Arc<str>, Total)>;

/// What peers tell each other of waiting batches.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Notice {
    /// Keep a copy of the batch.
    Keep(Batch),
    /// The batches before `next` are durable.
    Forget {
        /// Life of an instance.
        origin: Arc<str>,
        /// Number of the first batch that may not be durable.
        next: u64,
    },
}

/// Answer to a [`Notice`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kept {
    /// Done.
    Yes,
    /// There is no room.
    Full,
}

impl Batch {
    /// Returns the key of the batch.
    pub fn key(&self) -> String {
        batch_key(&self.origin, self.number)
    }

    /// Returns the batch as what ran without an answer that went out: cost that no one is billed.
    pub fn unbilled(&self) -> Self {
        let unbilled = |usage: &Usage| Usage { billed: 0, ..usage.clone() };
        Self { records: self.records.iter().map(unbilled).collect(), ..self.clone() }
    }
}

impl Sums {
    /// Adds the batch that follows.
    pub fn add(&mut self, batch: &Batch) {
        for usage in &batch.records {
            let at = self.accounts.binary_search_by(|(account, _)| account.cmp(&usage.account));
            let at = at.unwrap_or_else(|at| {
                self.accounts.insert(at, (usage.account.clone(), Total::default()));
                at
            });
            self.accounts[at].1.add(usage);
        }
        self.next = batch.number + 1;
    }

    /// Returns the sum of an account.
    pub fn of(&self, account: &str) -> Total {
        let at = self.accounts.binary_search_by(|(one, _)| (**one).cmp(account));
        at.map(|at| self.accounts[at].1).unwrap_or_default()
    }
}

/// Returns the key of a batch.
pub fn batch_key(origin: &str, number: u64) -> String {
    format!("{BATCHES}{origin}/{number:016x}")
}

/// Returns the key of the sums of a life of an instance.
pub fn total_key(origin: &str) -> String {
    format!("{TOTALS}{origin}")
}
