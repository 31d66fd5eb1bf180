//! Copies of the batches of peers, kept while those peers can't reach the store.

use {
    super::{
        batch::{Batch, Notice, Receipt},
        writer::Writer,
    },
    crate::log::record::{decode, encode},
    async_trait::async_trait,
    bytes::Bytes,
    hawthornmount_core::{
        id::InstanceId,
        snapshot::{Liveness, Member},
    },
    hawthornmount_fleet::{Message, Responder, role},
    hawthornmount_store::Store,
    parking_lot::Mutex,
    std::{cmp::Reverse, sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Limit on the records in copies that one instance keeps for its peers.
const MAX_RECORDS: usize = 100_000;
/// Age at which a copy is written to the store, because its origin has not reported the batch as
/// durable by then.
const WRITE_AFTER: Duration = Duration::from_secs(10);
/// Interval between checks for copies that have reached [`WRITE_AFTER`].
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// A batch of a peer and when it arrived.
struct Copy {
    batch: Batch,
    received: Instant,
}

/// Copies that are kept for peers.
#[derive(Default)]
struct Held {
    copies: Vec<Copy>,
    /// Whether a task runs [`write_overdue`].
    writer_running: bool,
}

/// Keeps copies of the batches of peers and writes those that the peers don't write.
pub struct Copies {
    store: Arc<dyn Store>,
    held: Arc<Mutex<Held>>,
}

impl Copies {
    /// Creates an empty set of copies.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self { store, held: Arc::default() }
    }

    fn keep(&self, batch: Batch) -> Receipt {
        let mut held = self.held.lock();
        let is_same =
            |copy: &Copy| copy.batch.origin == batch.origin && copy.batch.number == batch.number;
        if held.copies.iter().any(is_same) {
            return Receipt::Accepted;
        }
        let records: usize = held.copies.iter().map(|copy| copy.batch.records.len()).sum();
        if records + batch.records.len() > MAX_RECORDS {
            return Receipt::Full;
        }
        held.copies.push(Copy { batch, received: Instant::now() });
        if !held.writer_running {
            held.writer_running = true;
            tokio::spawn(write_overdue(self.store.clone(), self.held.clone()));
        }
        Receipt::Accepted
    }

    fn discard(&self, origin: &str, next: u64) {
        let is_kept = |copy: &Copy| *copy.batch.origin != *origin || copy.batch.number >= next;
        self.held.lock().copies.retain(is_kept);
    }
}

#[async_trait]
impl Responder for Copies {
    async fn respond(&self, message: Message) -> Bytes {
        let receipt = match decode(&message.payload) {
            Ok(Notice::Keep(batch)) => self.keep(batch),
            Ok(Notice::Forget { origin, next }) => {
                self.discard(&origin, next);
                Receipt::Accepted
            }
            Err(error) => {
                log::warn!(
                    "a notice about copies of usage records can't be decoded; cause={error}"
                );
                Receipt::Full
            }
        };
        encode(&receipt).unwrap_or_default().into()
    }
}

/// Returns the live peers of an instance in the order in which they are asked to keep copies: one of
/// each other data centre, then the next of each, and at last those of its own. Rendezvous hashing
/// spreads the copies of different instances.
pub fn holders(members: &[Member], local: &InstanceId) -> Vec<InstanceId> {
    let own = members.iter().find(|member| member.id == *local).map(|member| &member.data_centre);
    let is_peer = |member: &&Member| member.id != *local && member.liveness == Liveness::Alive;
    let mut peers: Vec<&Member> = members.iter().filter(is_peer).collect();
    let weight = |member: &Member| Reverse(role::weight(&member.id, local));
    peers.sort_by_cached_key(|member| (&member.data_centre, weight(member)));
    let ranked = peers
        .chunk_by(|one, other| one.data_centre == other.data_centre)
        .flat_map(|data_centre| data_centre.iter().enumerate());
    let mut ranked: Vec<(usize, &Member)> = ranked.map(|(rank, peer)| (rank, *peer)).collect();
    ranked.sort_by_cached_key(|(rank, peer)| (Some(&peer.data_centre) == own, *rank, weight(peer)));
    ranked.into_iter().map(|(_, peer)| peer.id.clone()).collect()
}

/// Writes overdue copies until no copy is left. A batch counts once, so the origin may still write
/// it too.
async fn write_overdue(store: Arc<dyn Store>, held: Arc<Mutex<Held>>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        while let Some(batch) = next_overdue(&held) {
            let mut writer = Writer::new(store.clone(), batch.origin.clone(), false);
            if writer.write(&batch).await.is_err() {
                break;
            }
            let is_other = |copy: &Copy| copy.batch != batch;
            held.lock().copies.retain(is_other);
        }
        let mut held = held.lock();
        if held.copies.is_empty() {
            held.writer_running = false;
            return;
        }
    }
}

/// Returns the first batch whose copy has reached [`WRITE_AFTER`].
fn next_overdue(held: &Mutex<Held>) -> Option<Batch> {
    let held = held.lock();
    let first = held.copies.iter().find(|copy| copy.received.elapsed() >= WRITE_AFTER)?;
    Some(first.batch.clone())
}
