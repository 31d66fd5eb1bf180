//! Writes batches to the store, once each.

use {
    super::batch::{Batch, Sums, batch_key, total_key},
    crate::{
        Error,
        log::record::{decode, encode},
    },
    hawthornmount_core::id::Revision,
    hawthornmount_store::{Store, Txn},
    std::sync::Arc,
};

/// Batches after which they are folded into the sums.
const COMPACT_BATCHES: u64 = 64;

/// Writer of the batches of one life of an instance.
pub struct Writer {
    store: Arc<dyn Store>,
    origin: Arc<str>,
    sums: Sums,
    revision: Option<Revision>,
    known: bool,
    recent: Vec<Batch>,
}

impl Writer {
    /// Creates a writer of a life that has written nothing yet if `is_new`, else of one whose
    /// sums have to be read first.
    pub fn new(store: Arc<dyn Store>, origin: Arc<str>, is_new: bool) -> Self {
        let sums = Sums::default();
        Self { store, origin, sums, revision: None, known: is_new, recent: Vec::new() }
    }

    /// Makes a batch durable; one that is durable already counts once.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer; the batch may be durable then.
    pub async fn write(&mut self, batch: &Batch) -> Result<(), Error> {
        loop {
            if !self.known {
                self.read().await?;
            }
            if batch.number < self.sums.next {
                return Ok(());
            }
            let key = batch.key();
            let txn = self.guarded().if_absent(&key).put(&key, encode(batch)?);
            match self.store.commit(txn).await {
                Ok(commit) => {
                    let stands = commit.current.iter().any(|entry| *entry.key == *key);
                    if commit.applied || stands {
                        self.remember(batch);
                        return Ok(());
                    }
                    self.known = false;
                }
                Err(error) if error.may_have_applied() => {
                    return Err(Error::unknown(&error.to_string()));
                }
                Err(error) => return Err(Error::unavailable(&error.to_string())),
            }
        }
    }

    /// Folds the batches that this writer wrote into the sums if there are many.
    pub async fn compact(&mut self) {
        if (self.recent.len() as u64) < COMPACT_BATCHES || !self.known {
            return;
        }
        let mut sums = self.sums.clone();
        let mut txn = self.guarded();
        for batch in &self.recent {
            if batch.number != sums.next {
                self.recent.clear();
                return;
            }
            sums.add(batch);
            txn = txn.delete(&batch_key(&self.origin, batch.number));
        }
        let Ok(value) = encode(&sums) else { return };
        match self.store.commit(txn.put(&total_key(&self.origin), value)).await {
            Ok(commit) if commit.applied => {
                self.sums = sums;
                self.revision = Some(commit.revision);
                self.recent.clear();
            }
            Ok(_) | Err(_) => self.known = false,
        }
    }

    fn guarded(&self) -> Txn {
        let key = total_key(&self.origin);
        match self.revision {
            Some(revision) => Txn::new().if_unchanged(&key, revision),
            None => Txn::new().if_absent(&key),
        }
    }

    fn remember(&mut self, batch: &Batch) {
        let follows = self.recent.last().is_none_or(|last| last.number + 1 == batch.number);
        if follows {
            self.recent.push(batch.clone());
        }
    }

    async fn read(&mut self) -> Result<(), Error> {
        let entry = self.store.get(&total_key(&self.origin)).await;
        let entry = entry.map_err(|error| Error::unavailable(&error.to_string()))?;
        self.revision = entry.as_ref().map(|entry| entry.revision);
        self.sums = match entry {
            Some(entry) => decode(&entry.value)?,
            None => Sums::default(),
        };
        let next = self.sums.next;
        self.recent.retain(|batch| batch.number >= next);
        self.known = true;
        Ok(())
    }
}
