//! Proxy between one instance and the store that injects faults.

use {
    async_trait::async_trait,
    hawthornmount_core::id::Revision,
    hawthornmount_store::{Commit, Entry, Error, LeaseId, Page, Result, Store, Txn, Watch},
    hdrhistogram::Histogram,
    parking_lot::Mutex,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Delay after which a late write reaches the store.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(1_500);
/// Delay after which the sender of a late write gets the error that its answer was lost.
const LOST_ANSWER_DELAY: Duration = Duration::from_millis(50);
/// Highest latency that the histogram records, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Faults that a proxy injects.
#[derive(Debug, Default)]
pub struct Faults {
    /// Whether every call fails, as in a network partition.
    pub unreachable: AtomicBool,
    /// Number of next writes that take effect but whose answers are lost.
    pub lost_answers: AtomicU64,
    /// Number of next writes that reach the store only after their sender got the error that the
    /// answer was lost.
    pub late_writes: AtomicU64,
    /// Delay of every write, in milliseconds, as with a paused writer.
    pub write_delay_ms: AtomicU64,
}

/// Store that forwards calls to another store and injects faults.
pub struct Proxy {
    inner: Arc<dyn Store>,
    /// Faults in force.
    pub faults: Faults,
    writes: AtomicU64,
    latency: Mutex<Histogram<u64>>,
}

impl Proxy {
    /// Creates a proxy without faults.
    pub fn new(inner: Arc<dyn Store>) -> Arc<Self> {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds");
        Arc::new(Self {
            inner,
            faults: Faults::default(),
            writes: AtomicU64::new(0),
            latency: Mutex::new(latency),
        })
    }

    /// Ends all faults.
    pub fn clear_faults(&self) {
        self.faults.unreachable.store(false, Ordering::SeqCst);
        self.faults.lost_answers.store(0, Ordering::SeqCst);
        self.faults.late_writes.store(0, Ordering::SeqCst);
        self.faults.write_delay_ms.store(0, Ordering::SeqCst);
    }

    /// Returns the number of writes so far.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::SeqCst)
    }

    /// Adds the latencies of the writes at the underlying store, in microseconds, to `sum`.
    pub fn add_latency(&self, sum: &mut Histogram<u64>) {
        let _ = sum.add(&*self.latency.lock());
    }

    fn check_reachable(&self) -> Result<()> {
        if self.faults.unreachable.load(Ordering::SeqCst) {
            return Err(Error::Unreachable { cause: "connection cut by fault injection".into() });
        }
        Ok(())
    }
}

fn decrement(count: &AtomicU64) -> bool {
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| remaining.checked_sub(1))
        .is_ok()
}

fn response_lost() -> Error {
    Error::ResponseLost { cause: "answer dropped by fault injection".into() }
}

#[async_trait]
impl Store for Proxy {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.check_reachable()?;
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page> {
        self.check_reachable()?;
        self.inner.list(prefix, after, limit).await
    }

    async fn commit(&self, txn: Txn) -> Result<Commit> {
        self.check_reachable()?;
        self.writes.fetch_add(1, Ordering::SeqCst);
        let delay = self.faults.write_delay_ms.load(Ordering::SeqCst);
        tokio::time::sleep(Duration::from_millis(delay)).await;
        if decrement(&self.faults.late_writes) {
            let inner = self.inner.clone();
            tokio::spawn(async move {
                tokio::time::sleep(LATE_WRITE_DELAY).await;
                let _ = inner.commit(txn).await;
            });
            tokio::time::sleep(LOST_ANSWER_DELAY).await;
            return Err(response_lost());
        }
        let started = Instant::now();
        let commit = self.inner.commit(txn).await;
        let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US);
        self.latency.lock().saturating_record(micros);
        if decrement(&self.faults.lost_answers) { Err(response_lost()) } else { commit }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        self.check_reachable()?;
        self.inner.grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration> {
        self.check_reachable()?;
        self.inner.keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<()> {
        self.check_reachable()?;
        self.inner.revoke(lease).await
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<Watch> {
        self.check_reachable()?;
        self.inner.watch(prefix, from).await
    }
}
