//! Proof that the era of the store has lasted long enough for its content to be complete.
//!
//! A store that is restored from a copy lacks the last changes until the operator and the servers have
//! written them again. An instance that sees the era change waits for that. An instance that starts
//! can't tell whether the store was restored right before, so it waits as well, unless the store holds
//! a record of the present era. Only instances that have seen the era for the whole time write the
//! record, and it names the era, so that a copy of it proves nothing in a later one.

use {
    hawthornmount_store::{Entry, Era, Txn},
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Key of the record.
pub const KEY: &str = "hawthornmount/era";
/// Time after the start of an era in which the operator and the servers write again what the copy of
/// the store lacked.
pub const RESTATEMENT_TIME: Duration = Duration::from_secs(2);

/// Value of the record.
#[derive(Debug, Deserialize, Serialize)]
struct Record {
    /// Last era that has lasted for [`RESTATEMENT_TIME`].
    settled: Era,
}

/// Present era of the store, and what is known of its age.
#[derive(Debug, Default)]
pub struct Tracker {
    era: Era,
    /// When this instance first saw the era; `None` if the store states none.
    seen: Option<Instant>,
    /// Era that the record in the store names.
    recorded: Option<Era>,
}

impl Tracker {
    /// Begins an era that was first seen at `now`.
    pub const fn begin(&mut self, era: Era, now: Instant) {
        self.era = era;
        self.seen = Some(now);
    }

    /// Applies a key of the store, and returns whether it is the record.
    pub fn put(&mut self, entry: &Entry) -> bool {
        if *entry.key != *KEY {
            return false;
        }
        match serde_json::from_slice::<Record>(&entry.value) {
            Ok(record) => self.recorded = Some(record.settled),
            Err(error) => {
                log::warn!("skipped an invalid record of the store's era; cause={error}");
                self.recorded = None;
            }
        }
        true
    }

    /// Returns whether the content was complete again at the time `age` before `now` when the store was
    /// asked. A list that was asked for earlier does not prove that nothing newer exists, however late
    /// it arrives.
    pub fn is_settled(&self, now: Instant, age: Duration) -> bool {
        let Some(seen) = self.seen.filter(|_| !self.is_recorded()) else { return true };
        let settled = now.checked_duration_since(seen + RESTATEMENT_TIME);
        settled.is_some_and(|settled| settled >= age)
    }

    /// Returns the time until the content is complete, zero if that has passed; `None` if nothing has to
    /// be waited for.
    pub fn settling(&self, now: Instant) -> Option<Duration> {
        let seen = self.seen.filter(|_| !self.is_recorded())?;
        Some((seen + RESTATEMENT_TIME).saturating_duration_since(now))
    }

    /// Returns the write of the record, if it is due; `known` is the record in the store.
    pub fn record(&self, known: Option<&Entry>, now: Instant) -> Option<Txn> {
        if !self.settling(now)?.is_zero() {
            return None;
        }
        let txn = match known {
            None => Txn::new().if_absent(KEY),
            Some(entry) => Txn::new().if_unchanged(KEY, entry.revision),
        };
        let value = serde_json::to_vec(&Record { settled: self.era }).ok()?;
        Some(txn.put(KEY, value))
    }

    fn is_recorded(&self) -> bool {
        self.recorded == Some(self.era)
    }
}
