//! Usage records: durable before the answer ends, each counted once.
//!
//! Each life of an instance writes numbered batches under keys of its own. While the store is out
//! of reach they wait in memory with copies at peers, and whoever writes a batch first, it counts
//! once. Old batches are folded into sums, so that a total takes a bounded number of reads.

mod batch;
mod copies;
mod pace;
mod writer;

#[cfg(test)]
mod tests;

use {
    crate::{
        Error, Total, Usage,
        log::record::{decode, encode},
    },
    batch::{BATCHES, Batch, Kept, Notice, Sums, TOTALS},
    bytes::Bytes,
    copies::Copies,
    hawthornmount_core::{
        id::{InstanceId, RequestId},
        snapshot::{Liveness, Member},
    },
    hawthornmount_fleet::{Fleet, Topic},
    hawthornmount_store::{Entry, Store},
    pace::Pace,
    parking_lot::Mutex,
    std::{
        collections::VecDeque,
        sync::{Arc, Weak},
        time::Duration,
    },
    tokio::{sync::oneshot, time::Instant},
    writer::Writer,
};

/// Time in which the store has to take a batch before peers get copies.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which a peer has to take a copy.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);
/// Peers that get a copy of a batch that waits.
const COPIES: usize = 2;
/// Records of one batch.
const MAX_BATCH: usize = 1_000;
/// Pause before the store is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Request ids that are remembered, so that a record handed in twice counts once.
const MAX_RECENT: usize = 1_024;
/// Entries that one page of a listing holds.
const PAGE: usize = 100;
/// Pause between looks at what still waits.
const FLUSH_PAUSE: Duration = Duration::from_millis(10);

/// Records that may wait for the store by default.
pub const MAX_WAITING: usize = 50_000;

type Sender = oneshot::Sender<Result<(), Error>>;

struct Item {
    usage: Usage,
    sender: Sender,
}

/// A batch with those who wait for it.
struct Work {
    batch: Batch,
    senders: Vec<Sender>,
}

struct State {
    pace: Pace,
    queue: Vec<Item>,
    waiting: VecDeque<Batch>,
    recent: VecDeque<RequestId>,
    next: u64,
    driven: bool,
    retried: bool,
}

/// Usage records of this instance.
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
    /// Creates the records of one life of this instance, at most `max_waiting` in memory.
    pub fn new(store: Arc<dyn Store>, fleet: Arc<dyn Fleet>, max_waiting: usize) -> Arc<Self> {
        fleet.respond_with(Topic::Usage, Arc::new(Copies::new(store.clone())));
        let origin = hawthornmount_core::id::fresh(&fleet.local());
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
            if state.recent.contains(&usage.request) {
                return Ok(());
            }
            state.recent.push_back(usage.request.clone());
            if state.recent.len() > MAX_RECENT {
                state.recent.pop_front();
            }
            let (sender, receiver) = oneshot::channel();
            state.queue.push(Item { usage, sender });
            if !state.driven
                && let Some(this) = self.this.upgrade()
            {
                state.driven = true;
                tokio::spawn(async move { this.drive().await });
            }
            receiver
        };
        receiver.await.unwrap_or_else(|_| Err(Error::unknown("the writer of usage has ended")))
    }

    /// Checks that a further record can wait for the store, with room for those of the requests
    /// that run already.
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

    /// Sums the usage of an account, of all instances.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer.
    pub async fn total(&self, account: &str) -> Result<Total, Error> {
        let batches = self.list(BATCHES).await?;
        let mut lives: Vec<(Arc<str>, Sums)> = Vec::new();
        for entry in self.list(TOTALS).await? {
            lives.push((entry.key[TOTALS.len()..].into(), decode(&entry.value)?));
        }
        lives.sort_by(|one, other| one.0.cmp(&other.0));
        let mut total = Total::default();
        for (_, sums) in &lives {
            total.merge(&sums.of(account));
        }
        for entry in batches {
            let batch: Batch = decode(&entry.value)?;
            let at = lives.binary_search_by(|(origin, _)| origin.cmp(&batch.origin));
            let next = at.map_or(0, |at| lives[at].1.next);
            if batch.number >= next {
                let own = batch.records.iter().filter(|usage| *usage.account == *account);
                own.for_each(|usage| total.add(usage));
            }
        }
        Ok(total)
    }

    /// Waits until nothing waits any more.
    ///
    /// # Errors
    ///
    /// Returns an error if records still wait after `bound`.
    pub async fn flush(&self, bound: Duration) -> Result<(), Error> {
        let ends = Instant::now() + bound;
        loop {
            let waiting = {
                let state = self.state.lock();
                state.waiting_records() + state.queue.len() + usize::from(state.driven)
            };
            if waiting == 0 {
                return Ok(());
            }
            if Instant::now() >= ends {
                return Err(Error::Backlog { waiting });
            }
            tokio::time::sleep(FLUSH_PAUSE).await;
        }
    }

    /// Writes batches as long as records come.
    async fn drive(&self) {
        loop {
            let Some(pause) = self.next_pause() else { return };
            tokio::time::sleep(pause).await;
            let work = self.next_work();
            let result = self.keep(&work.batch).await;
            for sender in work.senders {
                drop(sender.send(result.clone()));
            }
        }
    }

    /// Returns how many instances share the store's writes.
    fn writers(&self) -> usize {
        let members = self.fleet.members();
        members.iter().filter(|member| member.liveness != Liveness::Dead).count()
    }

    /// Returns the time until the next batch may go out; nothing ends the writing.
    fn next_pause(&self) -> Option<Duration> {
        let writers = self.writers();
        let mut state = self.state.lock();
        if state.queue.is_empty() {
            state.driven = false;
            return None;
        }
        Some(state.pace.take(writers))
    }

    fn next_work(&self) -> Work {
        let mut state = self.state.lock();
        let count = state.queue.len().min(MAX_BATCH);
        let items: Vec<Item> = state.queue.drain(..count).collect();
        let (records, senders) = items.into_iter().map(|item| (item.usage, item.sender)).unzip();
        let batch = Batch { origin: self.origin.clone(), number: state.next, records };
        state.next += 1;
        Work { batch, senders }
    }

    /// Writes a batch, or has peers copy it.
    async fn keep(&self, batch: &Batch) -> Result<(), Error> {
        let mut may_stand = false;
        if self.state.lock().waiting.is_empty() {
            let mut writer = self.writer.lock().await;
            match tokio::time::timeout(WRITE_TIMEOUT, writer.write(batch)).await {
                Ok(Ok(())) => {
                    writer.compact().await;
                    return Ok(());
                }
                Ok(Err(Error::Unavailable { .. })) => {}
                Ok(Err(_)) | Err(_) => may_stand = true,
            }
        }
        let copies = self.copy(batch).await;
        if copies > 0 {
            self.wait(batch.clone());
            return Ok(());
        }
        self.wait(if may_stand { batch.clone() } else { batch.unbilled() });
        Err(Error::unavailable("usage records can't be written or copied to a peer"))
    }

    /// Lets a batch wait for the store.
    fn wait(&self, batch: Batch) {
        let mut state = self.state.lock();
        state.waiting.push_back(batch);
        if !state.retried
            && let Some(this) = self.this.upgrade()
        {
            state.retried = true;
            tokio::spawn(async move { this.retry().await });
        }
    }

    /// Writes the batches that wait, in order, until none is left.
    async fn retry(&self) {
        loop {
            tokio::time::sleep(RETRY_PAUSE).await;
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
                state.retried = false;
                state.next
            };
            self.forget(next).await;
            return;
        }
    }

    fn first_waiting(&self) -> Option<Batch> {
        self.state.lock().waiting.front().cloned()
    }

    /// Copies a batch to peers, first to those in other data centres. Returns how many took it.
    async fn copy(&self, batch: &Batch) -> usize {
        let Ok(payload) = encode(&Notice::Keep(batch.clone())) else { return 0 };
        let payload = Bytes::from(payload);
        let mut copies = 0;
        for peer in self.peers() {
            if self.ask(&peer, payload.clone()).await == Some(Kept::Yes) {
                copies += 1;
            }
            if copies == COPIES {
                break;
            }
        }
        copies
    }

    async fn forget(&self, next: u64) {
        let Ok(payload) = encode(&Notice::Forget { origin: self.origin.clone(), next }) else {
            return;
        };
        let payload = Bytes::from(payload);
        for peer in self.peers() {
            let _ = self.ask(&peer, payload.clone()).await;
        }
    }

    async fn ask(&self, peer: &InstanceId, payload: Bytes) -> Option<Kept> {
        let asked = self.fleet.ask(peer, Topic::Usage, payload);
        let answer = tokio::time::timeout(COPY_TIMEOUT, asked).await.ok()?.ok()?;
        decode(&answer).ok()
    }

    /// Returns the live peers, those in other data centres first.
    fn peers(&self) -> Vec<InstanceId> {
        let members = self.fleet.members();
        let local = self.fleet.local();
        let home = members.iter().find(|member| member.id == local);
        let home = home.map(|member| member.data_centre.clone());
        let is_peer = |member: &&Member| member.id != local && member.liveness == Liveness::Alive;
        let mut peers: Vec<&Member> = members.iter().filter(is_peer).collect();
        peers.sort_by_key(|member| Some(&member.data_centre) == home.as_ref());
        peers.into_iter().map(|member| member.id.clone()).collect()
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        let mut entries: Vec<Entry> = Vec::new();
        loop {
            let after = entries.last().map(|entry| entry.key.clone());
            let page = self.store.list(prefix, after.as_deref(), PAGE).await;
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
            pace: Pace::new(),
            queue: Vec::new(),
            waiting: VecDeque::new(),
            recent: VecDeque::new(),
            next: 0,
            driven: false,
            retried: false,
        }
    }

    fn waiting_records(&self) -> usize {
        self.waiting.iter().map(|batch| batch.records.len()).sum()
    }
}
