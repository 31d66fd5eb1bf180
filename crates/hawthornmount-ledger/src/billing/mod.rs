//! Usage records: each is durable before the answer to its request ends, and counts once.
//!
//! Each run of an instance writes numbered batches under keys of its own. While the store is out
//! of reach, batches wait in memory and peers keep copies. A batch counts once, whether its origin
//! or a peer writes it first. Compaction replaces old batches by sums, so that a total takes a
//! bounded number of reads.

mod batch;
mod copies;
mod limiter;
mod writer;

#[cfg(test)]
mod tests;

use {
    crate::{
        Error, Total, Usage,
        log::record::{decode, encode},
    },
    batch::{BATCH_PREFIX, Batch, Notice, Receipt, SUMS_PREFIX, Sums},
    bytes::Bytes,
    copies::Copies,
    hawthornmount_core::{
        id::{InstanceId, RequestId},
        snapshot::Liveness,
    },
    hawthornmount_fleet::{Fleet, Topic},
    hawthornmount_store::{Entry, Store},
    limiter::Limiter,
    parking_lot::Mutex,
    std::{
        collections::VecDeque,
        sync::{Arc, Weak},
        time::Duration,
    },
    tokio::{sync::oneshot, time::Instant},
    writer::Writer,
};

/// Time allowed for writing a batch to the store; then peers get copies.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time allowed for a peer to accept a copy.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of peers that get a copy of a waiting batch.
const COPY_COUNT: usize = 2;
/// Limit on the records of one batch.
const MAX_BATCH_RECORDS: usize = 1_000;
/// Interval between attempts to write the waiting batches.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of request ids that are remembered, so that a record submitted twice counts once.
const MAX_RECENT_REQUESTS: usize = 1_024;
/// Limit on the entries of one page of a listing.
const PAGE_ENTRIES: usize = 100;
/// Interval at which a flush checks whether records still wait.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Default limit on the records that wait for the store.
pub const MAX_WAITING_RECORDS: usize = 50_000;

/// Reports to the caller of [`Billing::record`] whether its record is durable.
type Sender = oneshot::Sender<Result<(), Error>>;

/// A record in the queue.
struct Item {
    usage: Usage,
    sender: Sender,
}

/// A batch with the senders of the callers that wait for it.
struct PendingBatch {
    batch: Batch,
    senders: Vec<Sender>,
}

struct State {
    limiter: Limiter,
    /// Records that are not in a batch yet.
    queue: Vec<Item>,
    /// Batches that the store did not take, in order.
    waiting: VecDeque<Batch>,
    recent_requests: VecDeque<RequestId>,
    /// Number of the next batch.
    next: u64,
    /// Number of the batch that is being written or copied.
    in_progress: Option<u64>,
    /// Whether a task runs [`Billing::write_queue`].
    writer_running: bool,
    /// Whether a task runs [`Billing::retry_waiting`].
    retry_running: bool,
}

/// Stores the usage records of this instance.
pub struct Billing {
    store: Arc<dyn Store>,
    fleet: Arc<dyn Fleet>,
    origin: Arc<str>,
    writer: tokio::sync::Mutex<Writer>,
    state: Mutex<State>,
    max_waiting: usize,
    this: Weak<Self>,
}

impl Billing {
    /// Creates the billing for one run of this instance; at most `max_waiting` records wait in
    /// memory for the store.
    pub fn new(store: Arc<dyn Store>, fleet: Arc<dyn Fleet>, max_waiting: usize) -> Arc<Self> {
        fleet.respond_with(Topic::Usage, Arc::new(Copies::new(store.clone())));
        let origin = hawthornmount_core::id::generate(&fleet.local());
        Arc::new_cyclic(|this| Self {
            writer: tokio::sync::Mutex::new(Writer::new(store.clone(), origin.clone(), true)),
            store,
            fleet,
            origin,
            state: Mutex::new(State::new()),
            max_waiting,
            this: this.clone(),
        })
    }

    /// Makes a record durable, or copies it to peers while the store is out of reach.
    ///
    /// # Errors
    ///
    /// Returns an error if neither is possible or too many records wait.
    pub async fn record(&self, usage: Usage) -> Result<(), Error> {
        let receiver = {
            let mut state = self.state.lock();
            let waiting = state.waiting_records();
            if waiting >= self.max_waiting {
                return Err(Error::Backlog { waiting });
            }
            if state.recent_requests.contains(&usage.request) {
                return Ok(());
            }
            state.recent_requests.push_back(usage.request.clone());
            if state.recent_requests.len() > MAX_RECENT_REQUESTS {
                state.recent_requests.pop_front();
            }
            let (sender, receiver) = oneshot::channel();
            state.queue.push(Item { usage, sender });
            if !state.writer_running
                && let Some(this) = self.this.upgrade()
            {
                state.writer_running = true;
                tokio::spawn(async move { this.write_queue().await });
            }
            receiver
        };
        receiver.await.unwrap_or_else(|_| Err(Error::unknown("the writer of usage has ended")))
    }

    /// Checks that a further record can wait for the store. A tenth of the limit is reserved for
    /// the records of requests that already run.
    ///
    /// # Errors
    ///
    /// Returns an error if too many records wait.
    pub fn check_capacity(&self) -> Result<(), Error> {
        let waiting = self.state.lock().waiting_records();
        if waiting >= self.max_waiting / 10 * 9 {
            return Err(Error::Backlog { waiting });
        }
        Ok(())
    }

    /// Returns the usage of an account, summed over all instances.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer.
    pub async fn total(&self, account: &str) -> Result<Total, Error> {
        // The batches are listed before the sums, so a batch that is compacted meanwhile is in both
        // lists and the check of its number counts it once.
        let batches = self.list(BATCH_PREFIX).await?;
        let mut sums_by_origin: Vec<(Arc<str>, Sums)> = Vec::new();
        for entry in self.list(SUMS_PREFIX).await? {
            sums_by_origin.push((entry.key[SUMS_PREFIX.len()..].into(), decode(&entry.value)?));
        }
        sums_by_origin.sort_by(|one, other| one.0.cmp(&other.0));
        let mut total = Total::default();
        for (_, sums) in &sums_by_origin {
            total.merge(&sums.total_of(account));
        }
        for entry in batches {
            let batch: Batch = decode(&entry.value)?;
            let at = sums_by_origin.binary_search_by(|(origin, _)| origin.cmp(&batch.origin));
            let next = at.map_or(0, |at| sums_by_origin[at].1.next);
            if batch.number >= next {
                let own = batch.records.iter().filter(|usage| *usage.account == *account);
                own.for_each(|usage| total.add(usage));
            }
        }
        Ok(total)
    }

    /// Waits until every record is written.
    ///
    /// # Errors
    ///
    /// Returns an error if records still wait after `timeout`.
    pub async fn flush(&self, timeout: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + timeout;
        loop {
            let waiting = {
                let state = self.state.lock();
                state.waiting_records() + state.queue.len() + usize::from(state.writer_running)
            };
            if waiting == 0 {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(Error::Backlog { waiting });
            }
            tokio::time::sleep(FLUSH_POLL_INTERVAL).await;
        }
    }

    /// Writes the queue in batches until it is empty.
    async fn write_queue(&self) {
        loop {
            let Some(pause) = self.next_pause() else { return };
            tokio::time::sleep(pause).await;
            let pending = self.take_batch();
            let result = self.persist(&pending.batch).await;
            self.state.lock().in_progress = None;
            for sender in pending.senders {
                drop(sender.send(result.clone()));
            }
        }
    }

    /// Returns how many instances share the fleet's write rate.
    fn writer_count(&self) -> usize {
        let members = self.fleet.members();
        members.iter().filter(|member| member.liveness != Liveness::Dead).count()
    }

    /// Returns the time until the next batch may be sent. If the queue is empty, marks the writer
    /// as ended and returns nothing.
    fn next_pause(&self) -> Option<Duration> {
        let writers = self.writer_count();
        let mut state = self.state.lock();
        if state.queue.is_empty() {
            state.writer_running = false;
            return None;
        }
        Some(state.limiter.reserve(writers))
    }

    /// Takes a batch from the queue and gives it the next number.
    fn take_batch(&self) -> PendingBatch {
        let mut state = self.state.lock();
        let count = state.queue.len().min(MAX_BATCH_RECORDS);
        let items: Vec<Item> = state.queue.drain(..count).collect();
        let (records, senders) = items.into_iter().map(|item| (item.usage, item.sender)).unzip();
        let batch = Batch { origin: self.origin.clone(), number: state.next, records };
        state.in_progress = Some(state.next);
        state.next += 1;
        PendingBatch { batch, senders }
    }

    /// Writes a batch. If the store does not take it, copies it to peers and queues it for retry;
    /// without a copy the callers get an error.
    async fn persist(&self, batch: &Batch) -> Result<(), Error> {
        let mut may_be_durable = false;
        if self.state.lock().waiting.is_empty() {
            let mut writer = self.writer.lock().await;
            match tokio::time::timeout(WRITE_TIMEOUT, writer.write(batch)).await {
                Ok(Ok(())) => {
                    writer.compact().await;
                    return Ok(());
                }
                Ok(Err(Error::Unavailable { .. })) => {}
                Ok(Err(_)) | Err(_) => may_be_durable = true,
            }
        }
        let copies = self.copy_to_peers(batch).await;
        if copies > 0 {
            self.retry_later(batch.clone());
            return Ok(());
        }
        // The callers get an error, so their answers are not sent. Nothing is billed, unless the
        // store may hold the batch already.
        self.retry_later(if may_be_durable { batch.clone() } else { batch.unbilled() });
        Err(Error::unavailable("usage records can't be written or copied to a peer"))
    }

    /// Queues a batch to be written when the store is back.
    fn retry_later(&self, batch: Batch) {
        let mut state = self.state.lock();
        state.waiting.push_back(batch);
        if !state.retry_running
            && let Some(this) = self.this.upgrade()
        {
            state.retry_running = true;
            tokio::spawn(async move { this.retry_waiting().await });
        }
    }

    /// Writes the waiting batches in order until none is left, then lets peers drop their copies.
    async fn retry_waiting(&self) {
        loop {
            tokio::time::sleep(RETRY_INTERVAL).await;
            while let Some(batch) = self.first_waiting() {
                if self.writer.lock().await.write(&batch).await.is_err() {
                    break;
                }
                self.state.lock().waiting.pop_front();
            }
            let next = {
                let mut state = self.state.lock();
                if !state.waiting.is_empty() {
                    continue;
                }
                state.retry_running = false;
                // Peers may already hold copies of the batch in progress, which is not durable.
                state.in_progress.unwrap_or(state.next)
            };
            self.release_copies(next).await;
            return;
        }
    }

    fn first_waiting(&self) -> Option<Batch> {
        self.state.lock().waiting.front().cloned()
    }

    /// Copies a batch to peers, first to those in other data centres. Returns how many accepted it.
    async fn copy_to_peers(&self, batch: &Batch) -> usize {
        let Ok(payload) = encode(&Notice::Keep(batch.clone())) else { return 0 };
        let payload = Bytes::from(payload);
        let mut copies = 0;
        for peer in self.peers() {
            if self.send_notice(&peer, payload.clone()).await == Some(Receipt::Accepted) {
                copies += 1;
            }
            if copies == COPY_COUNT {
                break;
            }
        }
        copies
    }

    /// Tells the peers to drop their copies of the batches before `next`.
    async fn release_copies(&self, next: u64) {
        let Ok(payload) = encode(&Notice::Forget { origin: self.origin.clone(), next }) else {
            return;
        };
        let payload = Bytes::from(payload);
        for peer in self.peers() {
            let _ = self.send_notice(&peer, payload.clone()).await;
        }
    }

    /// Sends an encoded [`Notice`]. Returns nothing if the peer does not answer in time.
    async fn send_notice(&self, peer: &InstanceId, payload: Bytes) -> Option<Receipt> {
        let answer = self.fleet.request(peer, Topic::Usage, payload);
        let answer = tokio::time::timeout(COPY_TIMEOUT, answer).await.ok()?.ok()?;
        decode(&answer).ok()
    }

    /// Returns the live peers, those that should keep copies first.
    fn peers(&self) -> Vec<InstanceId> {
        copies::holders(&self.fleet.members(), &self.fleet.local())
    }

    /// Lists all entries whose keys start with `prefix`.
    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        let mut entries: Vec<Entry> = Vec::new();
        loop {
            let after = entries.last().map(|entry| entry.key.clone());
            let page = self.store.list(prefix, after.as_deref(), PAGE_ENTRIES).await;
            let page = page.map_err(|error| Error::unavailable(&error.to_string()))?;
            let is_last = !page.more || page.entries.is_empty();
            entries.extend(page.entries);
            if is_last {
                return Ok(entries);
            }
        }
    }
}

impl State {
    fn new() -> Self {
        Self {
            limiter: Limiter::new(),
            queue: Vec::new(),
            waiting: VecDeque::new(),
            recent_requests: VecDeque::new(),
            next: 0,
            in_progress: None,
            writer_running: false,
            retry_running: false,
        }
    }

    /// Returns the number of records in the batches that wait for the store.
    fn waiting_records(&self) -> usize {
        self.waiting.iter().map(|batch| batch.records.len()).sum()
    }
}
