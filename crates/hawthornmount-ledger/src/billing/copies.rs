//! Copies of batches that peers keep while the store is out of reach.

use {
    super::{
        batch::{Batch, Kept, Notice},
        writer::Writer,
    },
    crate::log::record::{decode, encode},
    async_trait::async_trait,
    bytes::Bytes,
    hawthornmount_fleet::{Message, Responder},
    hawthornmount_store::Store,
    parking_lot::Mutex,
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Records that an instance keeps for its peers.
const MAX_RECORDS: usize = 100_000;
/// Age at which a copy is written, because its origin has not said that it did.
const WRITE_AFTER: Duration = Duration::from_secs(10);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_secs(2);

struct Copy {
    batch: Batch,
    since: Instant,
}

#[derive(Default)]
struct Held {
    copies: Vec<Copy>,
    tended: bool,
}

/// Copies of the batches of peers.
pub struct Copies {
    store: Arc<dyn Store>,
    held: Arc<Mutex<Held>>,
}

impl Copies {
    /// Creates an empty set of copies.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self { store, held: Arc::default() }
    }

    fn keep(&self, batch: Batch) -> Kept {
        let mut held = self.held.lock();
        let is_same =
            |copy: &Copy| copy.batch.origin == batch.origin && copy.batch.number == batch.number;
        if held.copies.iter().any(is_same) {
            return Kept::Yes;
        }
        let records: usize = held.copies.iter().map(|copy| copy.batch.records.len()).sum();
        if records + batch.records.len() > MAX_RECORDS {
            return Kept::Full;
        }
        held.copies.push(Copy { batch, since: Instant::now() });
        if !held.tended {
            held.tended = true;
            tokio::spawn(tend(self.store.clone(), self.held.clone()));
        }
        Kept::Yes
    }

    fn forget(&self, origin: &str, next: u64) {
        let is_kept = |copy: &Copy| *copy.batch.origin != *origin || copy.batch.number >= next;
        self.held.lock().copies.retain(is_kept);
    }
}

#[async_trait]
impl Responder for Copies {
    async fn respond(&self, message: Message) -> Bytes {
        let kept = match decode(&message.payload) {
            Ok(Notice::Keep(batch)) => self.keep(batch),
            Ok(Notice::Forget { origin, next }) => {
                self.forget(&origin, next);
                Kept::Yes
            }
            Err(error) => {
                log::warn!("a notice on usage records can't be read; cause={error}");
                Kept::Full
            }
        };
        encode(&kept).unwrap_or_default().into()
    }
}

/// Writes copies that have grown old until none is left. A batch counts once, so it does no harm
/// if the origin lives and writes it too.
async fn tend(store: Arc<dyn Store>, held: Arc<Mutex<Held>>) {
    loop {
        tokio::time::sleep(PAUSE).await;
        while let Some(batch) = oldest(&held) {
            let mut writer = Writer::new(store.clone(), batch.origin.clone(), false);
            if writer.write(&batch).await.is_err() {
                break;
            }
            let is_other = |copy: &Copy| copy.batch != batch;
            held.lock().copies.retain(is_other);
        }
        let mut held = held.lock();
        if held.copies.is_empty() {
            held.tended = false;
            return;
        }
    }
}

fn oldest(held: &Mutex<Held>) -> Option<Batch> {
    let held = held.lock();
    let first = held.copies.iter().find(|copy| copy.since.elapsed() >= WRITE_AFTER)?;
    Some(first.batch.clone())
}
