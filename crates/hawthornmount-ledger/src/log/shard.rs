//! Executes the operations on one shard, and writes their records in batches as segments.

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

/// Limit on the operations that are written in one segment.
const MAX_BATCH_OPERATIONS: usize = 64;
/// Pause before a failed write is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Limit on the pause, doubled after each failure, before voided attempts are written again.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Limit on the voided attempts that wait to be written.
const MAX_VOIDED_ATTEMPTS: usize = 65_536;

/// An operation that waits for its answer.
struct Item {
    operation: Operation,
    /// Until when it may wait for others to share its segment.
    due: Instant,
    /// When it is answered with an error, if the store still fails.
    deadline: Instant,
    /// Whether a write that contained it may have taken effect.
    may_be_written: bool,
    sender: oneshot::Sender<Answer>,
}

/// Operations and voided attempts that wait for the writer.
#[derive(Default)]
struct Queue {
    items: Vec<Item>,
    /// Voided attempts that are not in the log yet.
    voided: Vec<Settle>,
    /// Whether a task runs [`Shard::run`].
    writer_running: bool,
}

/// One shard: its log and the operations that wait for it.
pub struct Shard {
    journal: tokio::sync::Mutex<Journal>,
    queue: Mutex<Queue>,
    /// Wakes the writer when operations arrive.
    arrivals: Notify,
    clock: Arc<dyn Clock>,
    options: Options,
}

impl Shard {
    /// Creates a shard on its log.
    pub fn new(journal: Journal, clock: Arc<dyn Clock>, options: Options) -> Arc<Self> {
        Arc::new(Self {
            journal: tokio::sync::Mutex::new(journal),
            queue: Mutex::default(),
            arrivals: Notify::new(),
            clock,
            options,
        })
    }

    /// Executes an operation, in one segment with others that arrive within the batch window.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer in time.
    pub async fn execute(self: &Arc<Self>, operation: Operation) -> Answer {
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
        let deadline = now + self.options.operation_timeout;
        self.queue.lock().items.push(Item {
            operation,
            due: now + window,
            deadline,
            may_be_written: false,
            sender,
        });
        self.arrivals.notify_one();
        self.start_writer();
        receiver.await.unwrap_or_else(|_| Err(Error::unknown("the writer of the ledger has ended")))
    }

    /// Executes an operation that needs no write, on the state as of the last read or write of the
    /// log, which may lack what other instances wrote since.
    async fn read(&self, operation: &Operation) -> Answer {
        let mut journal = self.journal.lock().await;
        if !journal.is_loaded() {
            journal.catch_up().await?;
        }
        match journal.state().decide(operation, self.now_ms()) {
            Decision::Final(reply) | Decision::Provisional(reply) => Ok(reply),
            Decision::Refused(error) => Err(error),
            Decision::Write(_) => Err(Error::malformed("a read that writes")),
        }
    }

    /// Voids the attempt of a claim that was answered with an error, so that the claim never holds
    /// its key even if its write takes effect later.
    pub fn void_attempt(self: &Arc<Self>, claim: &Claim) {
        let settle = Settle {
            account: claim.account.clone(),
            key: claim.key.clone(),
            attempt: claim.attempt.clone(),
            outcome: Outcome::NotRun,
        };
        {
            let mut queue = self.queue.lock();
            if queue.voided.len() >= MAX_VOIDED_ATTEMPTS {
                log::warn!("too many voided attempts wait, dropped one; request={}", claim.attempt);
                return;
            }
            queue.voided.push(settle);
        }
        self.start_writer();
    }

    /// Returns how many operations and voided attempts wait, plus one while the writer runs.
    pub fn waiting(&self) -> usize {
        let queue = self.queue.lock();
        queue.items.len() + queue.voided.len() + usize::from(queue.writer_running)
    }

    /// Starts the writer task if none runs.
    fn start_writer(self: &Arc<Self>) {
        {
            let mut queue = self.queue.lock();
            if queue.writer_running {
                return;
            }
            queue.writer_running = true;
        }
        let task = WriterTask(Some(self.clone()));
        tokio::spawn(task.run());
    }

    /// Writes batches and voided attempts until none is left.
    async fn run(&self) {
        let mut pause = RETRY_PAUSE;
        loop {
            let batch = self.next_batch().await;
            let had_items = !batch.is_empty();
            if had_items {
                self.process_batch(batch).await;
            }
            if self.write_voided().await {
                pause = RETRY_PAUSE;
            } else {
                let _ = tokio::time::timeout(pause, self.arrivals.notified()).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
            let mut queue = self.queue.lock();
            if queue.items.is_empty() && queue.voided.is_empty() {
                queue.writer_running = false;
                return;
            }
        }
    }

    /// Waits until an operation is due or a batch is full, and takes the waiting operations, at
    /// most [`MAX_BATCH_OPERATIONS`].
    async fn next_batch(&self) -> Vec<Item> {
        loop {
            let due = {
                let queue = self.queue.lock();
                let full = queue.items.len() >= MAX_BATCH_OPERATIONS;
                match queue.items.iter().map(|item| item.due).min() {
                    None => return Vec::new(),
                    Some(due) if full || due <= Instant::now() => break,
                    Some(due) => due,
                }
            };
            let _ = tokio::time::timeout_at(due, self.arrivals.notified()).await;
        }
        let mut queue = self.queue.lock();
        let count = queue.items.len().min(MAX_BATCH_OPERATIONS);
        queue.items.drain(..count).collect()
    }

    /// Processes a batch until each operation has an answer, then compacts the log if needed.
    async fn process_batch(&self, mut pending: Vec<Item>) {
        let mut journal = self.journal.lock().await;
        let mut is_current = false;
        let mut written = false;
        while !pending.is_empty() {
            let failure = match self.process_once(&mut journal, &mut pending, &mut is_current).await
            {
                Ok(()) => {
                    written = true;
                    continue;
                }
                Err(error) => error,
            };
            is_current = false;
            fail_overdue(&mut pending, &failure);
            if !pending.is_empty() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        if written {
            journal.compact(self.now_ms()).await;
        }
    }

    /// Answers the operations that the state decides, and writes the records of the others. An
    /// operation that is written stays pending until the next call, when the state decides it.
    ///
    /// `is_current` is whether the log was read or written since the batch was taken and since the
    /// last failure. Provisional answers are given only then.
    async fn process_once(
        &self,
        journal: &mut Journal,
        pending: &mut Vec<Item>,
        is_current: &mut bool,
    ) -> Result<(), Error> {
        if !journal.is_loaded() {
            journal.catch_up().await?;
            *is_current = true;
        }
        let now_ms = self.now_ms();
        let mut records: Vec<Record> = Vec::new();
        let mut remaining = Vec::new();
        let mut stale = false;
        for item in std::mem::take(pending) {
            match journal.state().decide(&item.operation, now_ms) {
                Decision::Final(reply) => drop(item.sender.send(Ok(reply))),
                Decision::Refused(error) => drop(item.sender.send(Err(error))),
                Decision::Provisional(reply) if *is_current => drop(item.sender.send(Ok(reply))),
                Decision::Provisional(_) => {
                    stale = true;
                    remaining.push(item);
                }
                Decision::Write(_) if item.may_be_written && item.deadline <= Instant::now() => {
                    let error = Error::unknown("the store did not take the record in time");
                    drop(item.sender.send(Err(error)));
                }
                Decision::Write(record) => {
                    records.push(record);
                    remaining.push(Item { may_be_written: true, ..item });
                }
            }
        }
        *pending = remaining;
        if !records.is_empty() {
            journal.append(records, now_ms).await?;
            *is_current = true;
        } else if stale {
            journal.catch_up().await?;
            *is_current = true;
        }
        Ok(())
    }

    /// Writes voided attempts to the log. Returns false if the write has to be retried.
    async fn write_voided(&self) -> bool {
        let voided: Vec<Settle> = {
            let queue = self.queue.lock();
            queue.voided.iter().take(MAX_BATCH_OPERATIONS).cloned().collect()
        };
        if voided.is_empty() {
            return true;
        }
        let mut journal = self.journal.lock().await;
        let now_ms = self.now_ms();
        let records = voided.iter().cloned().map(Record::Settle).collect();
        let written = async {
            if !journal.is_loaded() {
                journal.catch_up().await?;
            }
            journal.append(records, now_ms).await
        };
        if !matches!(written.await, Ok(super::journal::Appended::Written)) {
            return false;
        }
        self.queue.lock().voided.drain(..voided.len());
        true
    }

    fn now_ms(&self) -> u64 {
        let elapsed = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Writer of a shard. If it is dropped before its end, clears the shard's `writer_running`.
struct WriterTask(Option<Arc<Shard>>);

impl WriterTask {
    async fn run(mut self) {
        if let Some(shard) = &self.0 {
            shard.run().await;
        }
        self.0 = None;
    }
}

impl Drop for WriterTask {
    fn drop(&mut self) {
        if let Some(shard) = &self.0 {
            shard.queue.lock().writer_running = false;
        }
    }
}

/// Answers with `failure` the operations that are past their deadline, and the urgent ones if the
/// store is unavailable, as these are not retried.
fn fail_overdue(pending: &mut Vec<Item>, failure: &Error) {
    let now = Instant::now();
    let mut remaining = Vec::new();
    for item in std::mem::take(pending) {
        let is_final = matches!(failure, Error::Unavailable { .. }) && item.operation.is_urgent();
        if !is_final && now < item.deadline {
            remaining.push(item);
            continue;
        }
        let answer = if item.may_be_written {
            Error::unknown(&failure.to_string())
        } else {
            failure.clone()
        };
        drop(item.sender.send(Err(answer)));
    }
    *pending = remaining;
}
