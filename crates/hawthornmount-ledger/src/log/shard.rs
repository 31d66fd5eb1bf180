//! Batches the operations of one shard into segments.

use {
    super::{
        journal::Journal,
        options::Options,
        record::{Answer, Operation, Record, Settle},
        state::Decision,
    },
    crate::{Claim, Error, Outcome},
    hawthornmount_core::clock::Clock,
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tokio::{
        sync::{Notify, oneshot},
        time::Instant,
    },
};

/// Operations that one segment takes.
const MAX_BATCH: usize = 64;
/// Pause before the store is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before attempts that were given up are recorded again.
const VOID_PAUSE: Duration = Duration::from_secs(1);
/// Attempts given up that wait to be recorded.
const MAX_VOIDS: usize = 65_536;

struct Item {
    operation: Operation,
    due: Instant,
    gives_up: Instant,
    /// Whether a write that carried it may have taken effect.
    touched: bool,
    sender: oneshot::Sender<Answer>,
}

#[derive(Default)]
struct Queue {
    items: Vec<Item>,
    voids: Vec<Settle>,
    driven: bool,
}

/// One shard.
pub struct Shard {
    journal: tokio::sync::Mutex<Journal>,
    queue: Mutex<Queue>,
    more: Notify,
    clock: Arc<dyn Clock>,
    options: Options,
}

impl Shard {
    /// Creates a shard on its log.
    pub fn new(journal: Journal, clock: Arc<dyn Clock>, options: Options) -> Arc<Self> {
        Arc::new(Self {
            journal: tokio::sync::Mutex::new(journal),
            queue: Mutex::default(),
            more: Notify::new(),
            clock,
            options,
        })
    }

    /// Grants an operation, together with others that come at the same time.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer in time.
    pub async fn grant(self: &Arc<Self>, operation: Operation) -> Answer {
        if matches!(operation, Operation::Pinned { .. }) {
            return self.read(&operation).await;
        }
        let now = Instant::now();
        let window = if operation.is_urgent() {
            self.options.batch_window
        } else {
            self.options.settle_batch_window
        };
        let (sender, receiver) = oneshot::channel();
        let gives_up = now + self.options.operation_timeout;
        self.queue.lock().items.push(Item {
            operation,
            due: now + window,
            gives_up,
            touched: false,
            sender,
        });
        self.more.notify_one();
        self.drive();
        receiver.await.unwrap_or_else(|_| Err(Error::unknown("the writer of the ledger has ended")))
    }

    /// Answers an operation that needs no write.
    async fn read(&self, operation: &Operation) -> Answer {
        let mut journal = self.journal.lock().await;
        if !journal.is_loaded() {
            journal.catch_up().await?;
        }
        match journal.state().decide(operation, self.now_ms()) {
            Decision::Final(reply) | Decision::Present(reply) => Ok(reply),
            Decision::Refused(error) => Err(error),
            Decision::Write(_) => Err(Error::form("a read that writes")),
        }
    }

    /// Makes sure that a claim which was answered with an error never holds its key.
    pub fn give_up(self: &Arc<Self>, claim: &Claim) {
        let settle = Settle {
            account: claim.account.clone(),
            key: claim.key.clone(),
            attempt: claim.attempt.clone(),
            outcome: Outcome::NotRun,
        };
        {
            let mut queue = self.queue.lock();
            if queue.voids.len() >= MAX_VOIDS {
                log::warn!("a given-up call is not recorded; request={}", claim.attempt);
                return;
            }
            queue.voids.push(settle);
        }
        self.drive();
    }

    /// Returns how many operations and given-up attempts wait, with one for a write on its way.
    pub fn waiting(&self) -> usize {
        let queue = self.queue.lock();
        queue.items.len() + queue.voids.len() + usize::from(queue.driven)
    }

    /// Starts a writer if there is none.
    fn drive(self: &Arc<Self>) {
        {
            let mut queue = self.queue.lock();
            if queue.driven {
                return;
            }
            queue.driven = true;
        }
        let driver = Driver(Some(self.clone()));
        tokio::spawn(driver.run());
    }

    async fn run(&self) {
        let mut pause = RETRY_PAUSE;
        loop {
            let batch = self.next_batch().await;
            let had_items = !batch.is_empty();
            if had_items {
                self.write(batch).await;
            }
            if self.record_voids().await {
                pause = RETRY_PAUSE;
            } else {
                let _ = tokio::time::timeout(pause, self.more.notified()).await;
                pause = (pause * 2).min(VOID_PAUSE);
            }
            let mut queue = self.queue.lock();
            if queue.items.is_empty() && queue.voids.is_empty() {
                queue.driven = false;
                return;
            }
        }
    }

    /// Waits until an operation is due and takes all that wait with it.
    async fn next_batch(&self) -> Vec<Item> {
        loop {
            let due = {
                let queue = self.queue.lock();
                let full = queue.items.len() >= MAX_BATCH;
                match queue.items.iter().map(|item| item.due).min() {
                    None => return Vec::new(),
                    Some(due) if full || due <= Instant::now() => break,
                    Some(due) => due,
                }
            };
            let _ = tokio::time::timeout_at(due, self.more.notified()).await;
        }
        let mut queue = self.queue.lock();
        let count = queue.items.len().min(MAX_BATCH);
        queue.items.drain(..count).collect()
    }

    async fn write(&self, mut open: Vec<Item>) {
        let mut journal = self.journal.lock().await;
        let mut fresh = false;
        let mut written = false;
        while !open.is_empty() {
            let failure = match self.round(&mut journal, &mut open, &mut fresh).await {
                Ok(()) => {
                    written = true;
                    continue;
                }
                Err(error) => error,
            };
            fresh = false;
            answer_late(&mut open, &failure);
            if !open.is_empty() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        if written {
            journal.compact(self.now_ms()).await;
        }
    }

    /// Answers what can be answered and writes what has to be written first.
    async fn round(
        &self,
        journal: &mut Journal,
        open: &mut Vec<Item>,
        fresh: &mut bool,
    ) -> Result<(), Error> {
        if !journal.is_loaded() {
            journal.catch_up().await?;
            *fresh = true;
        }
        let now_ms = self.now_ms();
        let mut records: Vec<Record> = Vec::new();
        let mut rest = Vec::new();
        let mut stale = false;
        for item in std::mem::take(open) {
            match journal.state().decide(&item.operation, now_ms) {
                Decision::Final(reply) => drop(item.sender.send(Ok(reply))),
                Decision::Refused(error) => drop(item.sender.send(Err(error))),
                Decision::Present(reply) if *fresh => drop(item.sender.send(Ok(reply))),
                Decision::Present(_) => {
                    stale = true;
                    rest.push(item);
                }
                Decision::Write(_) if item.touched && item.gives_up <= Instant::now() => {
                    let error = Error::unknown("the store did not take the record in time");
                    drop(item.sender.send(Err(error)));
                }
                Decision::Write(record) => {
                    records.push(record);
                    rest.push(Item { touched: true, ..item });
                }
            }
        }
        *open = rest;
        if !records.is_empty() {
            journal.append(records, now_ms).await?;
            *fresh = true;
        } else if stale {
            journal.catch_up().await?;
            *fresh = true;
        }
        Ok(())
    }

    /// Records the attempts that were given up. Returns whether none is left.
    async fn record_voids(&self) -> bool {
        let voids: Vec<Settle> = {
            let queue = self.queue.lock();
            queue.voids.iter().take(MAX_BATCH).cloned().collect()
        };
        if voids.is_empty() {
            return true;
        }
        let mut journal = self.journal.lock().await;
        let now_ms = self.now_ms();
        let records = voids.iter().cloned().map(Record::Settle).collect();
        let written = async {
            if !journal.is_loaded() {
                journal.catch_up().await?;
            }
            journal.append(records, now_ms).await
        };
        if !matches!(written.await, Ok(super::journal::Appended::Won)) {
            return false;
        }
        self.queue.lock().voids.drain(..voids.len());
        true
    }

    fn now_ms(&self) -> u64 {
        let elapsed = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Marks its shard as not driven when the writer is dropped before its end.
struct Driver(Option<Arc<Shard>>);

impl Driver {
    async fn run(mut self) {
        if let Some(shard) = &self.0 {
            shard.run().await;
        }
        self.0 = None;
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        if let Some(shard) = &self.0 {
            shard.queue.lock().driven = false;
        }
    }
}

/// Answers the operations whose time is over, or that need no further try, with `failure`.
fn answer_late(open: &mut Vec<Item>, failure: &Error) {
    let now = Instant::now();
    let mut rest = Vec::new();
    for item in std::mem::take(open) {
        let hopeless = matches!(failure, Error::Unavailable { .. }) && item.operation.is_urgent();
        if !hopeless && now < item.gives_up {
            rest.push(item);
            continue;
        }
        let answer =
            if item.touched { Error::unknown(&failure.to_string()) } else { failure.clone() };
        drop(item.sender.send(Err(answer)));
    }
    *open = rest;
}
