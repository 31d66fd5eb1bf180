//! One instance's way to the store, with faults.

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

/// Time after which a write that was held back reaches the store.
const LATE_BY: Duration = Duration::from_millis(1_500);
/// Time after which the writer of such a write hears that its answer is lost.
const LOST_AFTER: Duration = Duration::from_millis(50);
/// Highest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Faults of one way to the store.
#[derive(Debug, Default)]
pub struct Faults {
    /// Refuses every call, as a partition does.
    pub cut: AtomicBool,
    /// Loses the answers of this many writes after they took effect.
    pub lose: AtomicU64,
    /// Lets this many writes reach the store late, as a paused writer does.
    pub late: AtomicU64,
    /// Holds every write up by this time, in milliseconds.
    pub pause_ms: AtomicU64,
}

/// One instance's way to the store.
pub struct Proxy {
    inner: Arc<dyn Store>,
    /// The faults.
    pub faults: Faults,
    writes: AtomicU64,
    latency: Mutex<Histogram<u64>>,
}

impl Proxy {
    /// Creates a way without faults.
    pub fn new(inner: Arc<dyn Store>) -> Arc<Self> {
        let latency = Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("valid bounds");
        Arc::new(Self {
            inner,
            faults: Faults::default(),
            writes: AtomicU64::new(0),
            latency: Mutex::new(latency),
        })
    }

    /// Ends all faults.
    pub fn heal(&self) {
        self.faults.cut.store(false, Ordering::SeqCst);
        self.faults.lose.store(0, Ordering::SeqCst);
        self.faults.late.store(0, Ordering::SeqCst);
        self.faults.pause_ms.store(0, Ordering::SeqCst);
    }

    /// Returns the writes so far.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::SeqCst)
    }

    /// Adds the latencies of the store's own answers to writes, in microseconds.
    pub fn add_latency(&self, sum: &mut Histogram<u64>) {
        let _ = sum.add(&*self.latency.lock());
    }

    fn check(&self) -> Result<()> {
        if self.faults.cut.load(Ordering::SeqCst) {
            return Err(Error::Unreachable { cause: "cut off".into() });
        }
        Ok(())
    }
}

fn take(count: &AtomicU64) -> bool {
    count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
}

fn lost() -> Error {
    Error::ResponseLost { cause: "lost on the way".into() }
}

#[async_trait]
impl Store for Proxy {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.check()?;
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page> {
        self.check()?;
        self.inner.list(prefix, after, limit).await
    }

    async fn commit(&self, txn: Txn) -> Result<Commit> {
        self.check()?;
        self.writes.fetch_add(1, Ordering::SeqCst);
        let pause = self.faults.pause_ms.load(Ordering::SeqCst);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        if take(&self.faults.late) {
            let inner = self.inner.clone();
            tokio::spawn(async move {
                tokio::time::sleep(LATE_BY).await;
                let _ = inner.commit(txn).await;
            });
            tokio::time::sleep(LOST_AFTER).await;
            return Err(lost());
        }
        let started = Instant::now();
        let commit = self.inner.commit(txn).await;
        let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(MAX_MICROS);
        self.latency.lock().saturating_record(micros);
        if take(&self.faults.lose) { Err(lost()) } else { commit }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        self.check()?;
        self.inner.grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration> {
        self.check()?;
        self.inner.keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<()> {
        self.check()?;
        self.inner.revoke(lease).await
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<Watch> {
        self.check()?;
        self.inner.watch(prefix, from).await
    }
}
