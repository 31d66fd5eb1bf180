//! Store whose faults are controlled by the test.

use {
    async_trait::async_trait,
    futures::StreamExt,
    hawthornmount_core::id::Revision,
    hawthornmount_fleet::config::KEY,
    hawthornmount_store::{
        Commit, Entry, Error, LeaseId, Page, Result, Store, Txn, Watch, memory::Memory,
    },
    parking_lot::Mutex,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::SeqCst},
        },
        time::Duration,
    },
};

#[derive(Default)]
pub struct Faulty {
    pub memory: Memory,
    /// Whether reads, commits and new watches fail as unreachable.
    pub down: AtomicBool,
    /// Whether open watches report no events, without an error.
    pub watch_silent: Arc<AtomicBool>,
    /// Entry that reads of the configuration return instead of the stored one.
    pub stale: Mutex<Option<Entry>>,
    /// Number of next commits that take effect but whose response is lost.
    pub lose_responses: AtomicU32,
    /// Whether the store becomes unreachable after a lost response.
    pub fail_after_lost_response: AtomicBool,
    /// Number of next commits that are lost before they reach the store.
    pub lose_commits: AtomicU32,
    pub calls: AtomicU64,
    pub delay: Mutex<Duration>,
}

impl Faulty {
    async fn call(&self) -> Result<()> {
        self.calls.fetch_add(1, SeqCst);
        let delay = *self.delay.lock();
        tokio::time::sleep(delay).await;
        if self.down.load(SeqCst) {
            return Err(Error::Unreachable { cause: "down".into() });
        }
        Ok(())
    }
}

fn lost() -> Error {
    Error::ResponseLost { cause: "cut".into() }
}

fn consume(remaining: &AtomicU32) -> bool {
    remaining.fetch_update(SeqCst, SeqCst, |left| left.checked_sub(1)).is_ok()
}

#[async_trait]
impl Store for Faulty {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.call().await?;
        let stale = self.stale.lock().clone();
        match stale {
            Some(entry) if key.starts_with(KEY) => Ok(Some(entry)),
            _ => self.memory.get(key).await,
        }
    }

    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page> {
        self.call().await?;
        self.memory.list(prefix, after, limit).await
    }

    async fn commit(&self, txn: Txn) -> Result<Commit> {
        self.call().await?;
        if consume(&self.lose_commits) {
            return Err(lost());
        }
        let commit = self.memory.commit(txn).await?;
        if !consume(&self.lose_responses) {
            return Ok(commit);
        }
        self.down.store(self.fail_after_lost_response.load(SeqCst), SeqCst);
        Err(lost())
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        self.memory.grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration> {
        self.memory.keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<()> {
        self.memory.revoke(lease).await
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<Watch> {
        self.call().await?;
        let is_silent = self.watch_silent.clone();
        let watch = self.memory.watch(prefix, from).await?;
        let received = watch.filter(move |_| {
            let received = !is_silent.load(SeqCst);
            async move { received }
        });
        Ok(received.boxed())
    }
}
