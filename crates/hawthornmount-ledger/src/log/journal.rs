//! Log of one shard on the store.
//!
//! Segment *n* is created only if it is absent and if the index has not changed, so of two writers
//! one loses, reads what the other wrote and decides again. Compaction folds the segments into
//! parts and names these in the index; a writer that slept through it finds the index changed.

use {
    super::{
        options::{Mutation, Options},
        record::{Record, Segment, decode, encode},
        state::{Row, State},
    },
    crate::Error,
    hawthornmount_core::id::Revision,
    hawthornmount_store::{self as store, Store, Txn},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Segments that one page of a listing holds.
const PAGE: usize = 64;
/// Segments after which the log is compacted.
const COMPACT_SEGMENTS: u64 = 64;
/// Bytes of segments after which the log is compacted.
const COMPACT_BYTES: usize = 256 << 10;
/// Size up to which a part is merged with the segments that follow it, in bytes.
const MERGE_BYTES: usize = 64 << 10;

/// Segments that one compaction deletes; the store takes 128 operations at a time.
const MAX_DELETES: u64 = 100;

/// Outcome of an [`append`](Journal::append).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Appended {
    /// The records stand in the log.
    Won,
    /// Others were first, or it is not known; what they wrote was read.
    Decide,
}

/// What compaction made of a log.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct Index {
    /// Number of the first segment that no part holds.
    next: u64,
    /// Number of the first segment that is not deleted yet.
    swept: u64,
    /// Parts in order.
    parts: Vec<Part>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Part {
    /// Number of the first segment after the part, which names it.
    number: u64,
    /// Size in bytes.
    bytes: usize,
    /// Newest change in it, in milliseconds since the epoch.
    newest_ms: u64,
}

/// Log of one shard.
pub struct Journal {
    store: Arc<dyn Store>,
    options: Options,
    prefix: Arc<str>,
    state: State,
    index: Index,
    index_revision: Option<Revision>,
    next: u64,
    bytes: usize,
    loaded: bool,
}

impl Journal {
    /// Creates the log of a shard without reading it.
    pub fn new(store: Arc<dyn Store>, options: Options, shard: u32) -> Self {
        Self {
            store,
            prefix: format!("/hawthornmount/ledger/{shard:04}").into(),
            state: State::new(options.retention),
            options,
            index: Index::default(),
            index_revision: None,
            next: 0,
            bytes: 0,
            loaded: false,
        }
    }

    /// Returns the state as far as it was read.
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// Tells whether the log was read since it was created or found broken.
    pub const fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Reads what was written since the last look.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer.
    pub async fn catch_up(&mut self) -> Result<(), Error> {
        loop {
            self.read_index().await?;
            if self.read_segments().await? {
                return Ok(());
            }
        }
    }

    /// Writes a segment of `records`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer: [`Error::Unavailable`] if the records are
    /// not written, [`Error::Unknown`] if they may be.
    pub async fn append(&mut self, records: Vec<Record>, now_ms: u64) -> Result<Appended, Error> {
        let segment = Segment { at_ms: now_ms, records };
        let value = encode(&segment)?;
        let bytes = value.len();
        let txn = self.guarded().put(&self.segment_key(self.next), value);
        match self.store.commit(txn).await {
            Ok(commit) if commit.applied => {
                self.fold(segment, bytes);
                Ok(Appended::Won)
            }
            Ok(_) => self.decide_again().await,
            Err(error) if error.may_have_applied() => {
                if self.options.mutation == Some(Mutation::NoReadBack) {
                    self.fold(segment, bytes);
                    return Ok(Appended::Won);
                }
                self.decide_again().await
            }
            Err(error) => Err(Error::unavailable(&error.to_string())),
        }
    }

    /// Folds the segments into a part if they have grown many; a failure leaves the log as it is.
    pub async fn compact(&mut self, now_ms: u64) {
        let segments = self.next - self.index.next;
        if segments < COMPACT_SEGMENTS && self.bytes < COMPACT_BYTES {
            return;
        }
        if let Err(error) = self.try_compact(now_ms).await {
            log::warn!("a log of the ledger is not compacted; log={} cause={error}", self.prefix);
            self.loaded = false;
        }
    }

    async fn decide_again(&mut self) -> Result<Appended, Error> {
        match self.catch_up().await {
            Ok(()) => Ok(Appended::Decide),
            Err(error) => Err(Error::unknown(&error.to_string())),
        }
    }

    async fn try_compact(&mut self, now_ms: u64) -> Result<(), Error> {
        let mut rows = self.state.take_changed();
        let mut index = self.index.clone();
        let mut txn = self.guarded();
        let retention_ms = u64::try_from(self.options.retention.as_millis()).unwrap_or(u64::MAX);
        for part in &index.parts {
            if part.newest_ms.saturating_add(retention_ms) < now_ms {
                txn = txn.delete(&self.part_key(part.number));
            }
        }
        index.parts.retain(|part| part.newest_ms.saturating_add(retention_ms) >= now_ms);
        if let Some(last) = index.parts.last()
            && last.bytes < MERGE_BYTES
        {
            txn = txn.delete(&self.part_key(last.number));
            rows = merge(self.read_part(last.number).await?, rows);
            index.parts.pop();
        }
        let value = encode(&rows)?;
        let newest_ms = rows.iter().map(|(_, slot)| slot.at_ms()).max().unwrap_or(now_ms);
        index.parts.push(Part { number: self.next, bytes: value.len(), newest_ms });
        txn = txn.put(&self.part_key(self.next), value);
        let swept = self.next.min(index.swept + MAX_DELETES);
        for number in index.swept..swept {
            txn = txn.delete(&self.segment_key(number));
        }
        index.swept = swept;
        index.next = self.next;
        txn = txn.put(&self.index_key(), encode(&index)?);
        let commit = self.store.commit(txn).await.map_err(|error| from_store(&error))?;
        if !commit.applied {
            return Err(Error::unavailable("another instance has written"));
        }
        self.index = index;
        self.index_revision = Some(commit.revision);
        self.bytes = 0;
        self.state.expire(now_ms);
        Ok(())
    }

    /// Returns a transaction that applies only if no one else has written.
    fn guarded(&self) -> Txn {
        let txn = Txn::new();
        if self.options.mutation == Some(Mutation::NoSegmentGuard) {
            return txn;
        }
        let txn = txn.absent(&self.segment_key(self.next));
        match self.index_revision {
            Some(revision) => txn.unchanged(&self.index_key(), revision),
            None => txn.absent(&self.index_key()),
        }
    }

    async fn read_index(&mut self) -> Result<(), Error> {
        let entry = self.store.get(&self.index_key()).await.map_err(|error| from_store(&error))?;
        let revision = entry.as_ref().map(|entry| entry.revision);
        if self.loaded && revision == self.index_revision {
            return Ok(());
        }
        let index: Index = match &entry {
            Some(entry) => decode(&entry.value)?,
            None => Index::default(),
        };
        let mut state = State::new(self.options.retention);
        for part in &index.parts {
            state.load(self.read_part(part.number).await?);
        }
        self.state = state;
        self.next = index.next;
        self.bytes = 0;
        self.index = index;
        self.index_revision = revision;
        self.loaded = true;
        Ok(())
    }

    async fn read_part(&self, number: u64) -> Result<Vec<Row>, Error> {
        let entry =
            self.store.get(&self.part_key(number)).await.map_err(|error| from_store(&error))?;
        let entry = entry.ok_or_else(|| Error::unavailable("the log was compacted meanwhile"))?;
        decode(&entry.value)
    }

    /// Folds the segments that follow. Returns whether it found no gap.
    async fn read_segments(&mut self) -> Result<bool, Error> {
        let prefix = format!("{}/segment/", self.prefix);
        loop {
            let after = self.next.checked_sub(1).map(|last| self.segment_key(last));
            let page = self.store.list(&prefix, after.as_deref(), PAGE).await;
            let page = page.map_err(|error| from_store(&error))?;
            for entry in &page.entries {
                if *entry.key != *self.segment_key(self.next) {
                    self.loaded = false;
                    return Ok(false);
                }
                self.fold(decode(&entry.value)?, entry.value.len());
            }
            if !page.more {
                return Ok(true);
            }
        }
    }

    fn fold(&mut self, segment: Segment, bytes: usize) {
        self.state.apply(segment);
        self.next += 1;
        self.bytes += bytes;
    }

    fn segment_key(&self, number: u64) -> String {
        format!("{}/segment/{number:016x}", self.prefix)
    }

    fn part_key(&self, number: u64) -> String {
        format!("{}/part/{number:016x}", self.prefix)
    }

    fn index_key(&self) -> String {
        format!("{}/index", self.prefix)
    }
}

/// Merges rows in order of their ids; a later row replaces an earlier one.
fn merge(earlier: Vec<Row>, later: Vec<Row>) -> Vec<Row> {
    let mut rows: Vec<Row> = earlier
        .into_iter()
        .filter(|(id, _)| later.binary_search_by(|(other, _)| other.cmp(id)).is_err())
        .collect();
    rows.extend(later);
    rows.sort_by(|one, other| one.0.cmp(&other.0));
    rows
}

fn from_store(error: &store::Error) -> Error {
    Error::unavailable(&error.to_string())
}
