//! Writes batches to the store so that each counts once.

use {
    super::batch::{Batch, Sums, batch_key, sums_key},
    crate::{
        Error,
        log::record::{decode, encode},
    },
    hawthornmount_core::id::Revision,
    hawthornmount_store::{Store, Txn},
    std::sync::Arc,
};

/// Number of batches that triggers their compaction into the sums.
const COMPACT_BATCHES: u64 = 64;

/// Writes the batches of one run of an instance.
pub struct Writer {
    store: Arc<dyn Store>,
    origin: Arc<str>,
    sums: Sums,
    /// Revision of the stored sums, if there are any.
    sums_revision: Option<Revision>,
    /// Whether `sums` and `sums_revision` are known to match the store.
    sums_current: bool,
    /// Consecutive batches that this writer wrote and that are not in the sums yet.
    uncompacted: Vec<Batch>,
}

impl Writer {
    /// Creates a writer for the batches of `origin`. Without `is_new` the run may have written
    /// already, so its sums are read from the store before the first write.
    pub fn new(store: Arc<dyn Store>, origin: Arc<str>, is_new: bool) -> Self {
        let sums = Sums::default();
        Self {
            store,
            origin,
            sums,
            sums_revision: None,
            sums_current: is_new,
            uncompacted: Vec::new(),
        }
    }

    /// Makes a batch durable. Does nothing if it is stored or compacted already.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer; after [`Error::Unknown`] the write may have
    /// taken effect.
    pub async fn write(&mut self, batch: &Batch) -> Result<(), Error> {
        loop {
            if !self.sums_current {
                self.read_sums().await?;
            }
            if batch.number < self.sums.next {
                return Ok(());
            }
            let key = batch.key();
            let txn = self.guarded_txn().if_absent(&key).put(&key, encode(batch)?);
            match self.store.commit(txn).await {
                Ok(commit) => {
                    let exists = commit.current.iter().any(|entry| *entry.key == *key);
                    if commit.applied || exists {
                        self.push_uncompacted(batch);
                        return Ok(());
                    }
                    self.sums_current = false;
                }
                Err(error) if error.may_have_applied() => {
                    return Err(Error::unknown(&error.to_string()));
                }
                Err(error) => return Err(Error::unavailable(&error.to_string())),
            }
        }
    }

    /// Adds the batches that this writer wrote to the stored sums and deletes them, if there are at
    /// least [`COMPACT_BATCHES`].
    pub async fn compact(&mut self) {
        if (self.uncompacted.len() as u64) < COMPACT_BATCHES || !self.sums_current {
            return;
        }
        let mut sums = self.sums.clone();
        let mut txn = self.guarded_txn();
        for batch in &self.uncompacted {
            // Sums can't skip a batch, so after a gap none of the kept batches can be added.
            if batch.number != sums.next {
                self.uncompacted.clear();
                return;
            }
            sums.add(batch);
            txn = txn.delete(&batch_key(&self.origin, batch.number));
        }
        let Ok(value) = encode(&sums) else { return };
        match self.store.commit(txn.put(&sums_key(&self.origin), value)).await {
            Ok(commit) if commit.applied => {
                self.sums = sums;
                self.sums_revision = Some(commit.revision);
                self.uncompacted.clear();
            }
            Ok(_) | Err(_) => self.sums_current = false,
        }
    }

    /// Returns a transaction that applies only if the stored sums have not changed.
    fn guarded_txn(&self) -> Txn {
        let key = sums_key(&self.origin);
        match self.sums_revision {
            Some(revision) => Txn::new().if_unchanged(&key, revision),
            None => Txn::new().if_absent(&key),
        }
    }

    /// Adds a batch to those to compact, unless it leaves a gap after the last one.
    fn push_uncompacted(&mut self, batch: &Batch) {
        let follows = self.uncompacted.last().is_none_or(|last| last.number + 1 == batch.number);
        if follows {
            self.uncompacted.push(batch.clone());
        }
    }

    async fn read_sums(&mut self) -> Result<(), Error> {
        let entry = self.store.get(&sums_key(&self.origin)).await;
        let entry = entry.map_err(|error| Error::unavailable(&error.to_string()))?;
        self.sums_revision = entry.as_ref().map(|entry| entry.revision);
        self.sums = match entry {
            Some(entry) => decode(&entry.value)?,
            None => Sums::default(),
        };
        let next = self.sums.next;
        self.uncompacted.retain(|batch| batch.number >= next);
        self.sums_current = true;
        Ok(())
    }
}
