//! Log of one shard on the store.
//!
//! Segment *n* is created only if it is absent and if the index has not changed. If two writers
//! race, one fails, reads what the other wrote and decides again on its operations. Compaction
//! replaces segments by parts, which the index lists; a writer that was paused during a compaction
//! fails because the index has changed.

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

/// Limit on the segments of one page of a listing.
const PAGE_SEGMENTS: usize = 64;
/// Number of segments that triggers compaction.
const COMPACT_SEGMENTS: u64 = 64;
/// Size of the segments that triggers compaction, in bytes.
const COMPACT_BYTES: usize = 256 << 10;
/// Size below which compaction merges the last part with the segments after it, in bytes.
const MERGE_BYTES: usize = 64 << 10;
/// Limit on the segments that one compaction deletes, because the store takes at most 128
/// operations in a transaction.
const MAX_SEGMENT_DELETES: u64 = 100;

/// Result of [`Journal::append`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Appended {
    /// The records are in the log.
    Written,
    /// Another writer was first, or the store's answer was lost. The state has been read again, and
    /// shows whether the records have to be written again.
    Refreshed,
}

/// Result of the compactions of a log.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct Index {
    /// Number of the first segment that is not compacted.
    next: u64,
    /// Number of the first segment that is not deleted yet.
    #[serde(rename = "swept")]
    first_undeleted: u64,
    /// Parts, oldest first.
    parts: Vec<Part>,
}

/// Entry of the index for a stored list of rows that replaces compacted segments.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Part {
    /// Number of the first segment after the part, which is used in the part's key.
    number: u64,
    /// Size in bytes.
    bytes: usize,
    /// Time of the latest change in the part, in milliseconds since the epoch.
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
    /// Number of the next segment to read or write.
    next_segment: u64,
    /// Size of the segments that are not compacted, in bytes.
    segment_bytes: usize,
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
            next_segment: 0,
            segment_bytes: 0,
            loaded: false,
        }
    }

    /// Returns the state as of the last read or write.
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// Returns whether the log has been read, and no gap or failed compaction was found since.
    pub const fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Reads what was written since the last read.
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
        let txn = self.guarded_txn().put(&self.segment_key(self.next_segment), value);
        match self.store.commit(txn).await {
            Ok(commit) if commit.applied => {
                self.apply(segment, bytes);
                Ok(Appended::Written)
            }
            Ok(_) => self.refresh().await,
            Err(error) if error.may_have_applied() => {
                if self.options.mutation == Some(Mutation::NoReadBack) {
                    self.apply(segment, bytes);
                    return Ok(Appended::Written);
                }
                self.refresh().await
            }
            Err(error) => Err(Error::unavailable(&error.to_string())),
        }
    }

    /// Replaces the segments by a part if they reach [`COMPACT_SEGMENTS`] or [`COMPACT_BYTES`]. A
    /// failure leaves the log as it is; the log is then read again before its next use.
    pub async fn compact(&mut self, now_ms: u64) {
        let segments = self.next_segment - self.index.next;
        if segments < COMPACT_SEGMENTS && self.segment_bytes < COMPACT_BYTES {
            return;
        }
        if let Err(error) = self.try_compact(now_ms).await {
            log::warn!("compaction of a ledger shard failed; log={} cause={error}", self.prefix);
            self.loaded = false;
        }
    }

    /// Reads the log again after a write that was not applied or whose answer was lost.
    async fn refresh(&mut self) -> Result<Appended, Error> {
        match self.catch_up().await {
            Ok(()) => Ok(Appended::Refreshed),
            Err(error) => Err(Error::unknown(&error.to_string())),
        }
    }

    async fn try_compact(&mut self, now_ms: u64) -> Result<(), Error> {
        let mut rows = self.state.take_changed();
        let mut index = self.index.clone();
        let mut txn = self.guarded_txn();
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
            rows = merge_rows(self.read_part(last.number).await?, rows);
            index.parts.pop();
        }
        let value = encode(&rows)?;
        let newest_ms = rows.iter().map(|(_, slot)| slot.at_ms()).max().unwrap_or(now_ms);
        index.parts.push(Part { number: self.next_segment, bytes: value.len(), newest_ms });
        txn = txn.put(&self.part_key(self.next_segment), value);
        let first_undeleted = self.next_segment.min(index.first_undeleted + MAX_SEGMENT_DELETES);
        for number in index.first_undeleted..first_undeleted {
            txn = txn.delete(&self.segment_key(number));
        }
        index.first_undeleted = first_undeleted;
        index.next = self.next_segment;
        txn = txn.put(&self.index_key(), encode(&index)?);
        let commit = self.store.commit(txn).await.map_err(|error| from_store(&error))?;
        if !commit.applied {
            return Err(Error::unavailable("another instance has written"));
        }
        self.index = index;
        self.index_revision = Some(commit.revision);
        self.segment_bytes = 0;
        self.state.expire(now_ms);
        Ok(())
    }

    /// Returns a transaction that applies only if the index is unchanged and the next segment does
    /// not exist.
    fn guarded_txn(&self) -> Txn {
        let txn = Txn::new();
        if self.options.mutation == Some(Mutation::NoSegmentGuard) {
            return txn;
        }
        let txn = txn.if_absent(&self.segment_key(self.next_segment));
        match self.index_revision {
            Some(revision) => txn.if_unchanged(&self.index_key(), revision),
            None => txn.if_absent(&self.index_key()),
        }
    }

    /// Reads the index. If it has changed, reads the parts and starts from a state of these alone.
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
            state.insert_part(self.read_part(part.number).await?);
        }
        self.state = state;
        self.next_segment = index.next;
        self.segment_bytes = 0;
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

    /// Reads and applies the segments from the next one on. Returns false at a gap, which means
    /// that the log was compacted after the index was read.
    async fn read_segments(&mut self) -> Result<bool, Error> {
        let prefix = format!("{}/segment/", self.prefix);
        loop {
            let after = self.next_segment.checked_sub(1).map(|last| self.segment_key(last));
            let page = self.store.list(&prefix, after.as_deref(), PAGE_SEGMENTS).await;
            let page = page.map_err(|error| from_store(&error))?;
            for entry in &page.entries {
                if *entry.key != *self.segment_key(self.next_segment) {
                    self.loaded = false;
                    return Ok(false);
                }
                self.apply(decode(&entry.value)?, entry.value.len());
            }
            if !page.more {
                return Ok(true);
            }
        }
    }

    /// Applies the next segment, whose encoded size is `bytes`.
    fn apply(&mut self, segment: Segment, bytes: usize) {
        self.state.apply(segment);
        self.next_segment += 1;
        self.segment_bytes += bytes;
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

/// Merges two lists of rows that are sorted by id; a later row replaces an earlier one.
fn merge_rows(earlier: Vec<Row>, later: Vec<Row>) -> Vec<Row> {
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
