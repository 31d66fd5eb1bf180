//! Batches of usage records, and the sums that compaction replaces them with.

use {
    crate::{Total, Usage},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Key prefix of the batches that are not compacted into sums yet.
pub const BATCH_PREFIX: &str = "/hawthornmount/usage/batch/";
/// Key prefix of the sums, one entry for each run of an instance.
pub const SUMS_PREFIX: &str = "/hawthornmount/usage/total/";

/// Usage records that one run of an instance writes in one transaction. Origin and number identify
/// the batch, so it counts once whichever instance writes it and however often.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Batch {
    /// Id of the run of the instance that took the records; each start of an instance has a new id.
    pub origin: Arc<str>,
    /// Sequence number of the batch within the run, from 0.
    pub number: u64,
    pub records: Vec<Usage>,
}

/// Sums of the compacted batches of one run of an instance.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Sums {
    /// Number of the first batch that is not included.
    pub next: u64,
    /// Total of each account, sorted by account.
    pub accounts: AccountTotals,
}

/// Accounts with their totals, sorted by account.
pub type AccountTotals = Vec<(Arc<str>, Total)>;

/// Message to a peer about batches that wait for the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Notice {
    /// Asks the peer to keep a copy of the batch.
    Keep(Batch),
    /// Tells the peer that the batches before `next` are durable, so that it drops its copies.
    Forget {
        /// Id of the run of the sending instance.
        origin: Arc<str>,
        /// Number of the first batch that may not be durable.
        next: u64,
    },
}

/// Answer to a [`Notice`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Receipt {
    /// The notice was applied.
    #[serde(rename = "Yes")]
    Accepted,
    /// The copy was not kept: the limit on copies is reached or the notice can't be decoded.
    Full,
}

impl Batch {
    pub fn key(&self) -> String {
        batch_key(&self.origin, self.number)
    }

    /// Returns the batch with nothing billed and the cost kept, for requests that ran but whose
    /// answers were not sent.
    pub fn unbilled(&self) -> Self {
        let unbilled = |usage: &Usage| Usage { billed: 0, ..usage.clone() };
        Self { records: self.records.iter().map(unbilled).collect(), ..self.clone() }
    }
}

impl Sums {
    /// Adds a batch, whose number must be [`next`](Self::next).
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

    /// Returns the total of an account, which is zero if it has no records.
    pub fn total_of(&self, account: &str) -> Total {
        let at = self.accounts.binary_search_by(|(id, _)| (**id).cmp(account));
        at.map(|at| self.accounts[at].1).unwrap_or_default()
    }
}

pub fn batch_key(origin: &str, number: u64) -> String {
    format!("{BATCH_PREFIX}{origin}/{number:016x}")
}

/// Returns the key of the sums of one run of an instance.
pub fn sums_key(origin: &str) -> String {
    format!("{SUMS_PREFIX}{origin}")
}
