//! Watch on the store by the watchers of a data centre.

use {
    super::{Follower, HEAD_KEY, KEY},
    futures::StreamExt,
    hawthornmount_core::id::Revision,
    hawthornmount_store::{self as store, Error, Event, Watch},
    std::time::Duration,
    tokio::time::Instant,
};

/// Interval between two reads that verify the watch, which may fail without an error.
const VERIFY_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before a failed watch is reopened; it doubles with each quick failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest pause before a failed watch is reopened.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

impl Follower {
    /// Watches the store; never returns.
    pub(super) async fn watch(&self) {
        let mut backoff = INITIAL_BACKOFF;
        let mut oldest = 0;
        loop {
            let started = Instant::now();
            match self.watch_once(oldest).await {
                Ok(()) => self.count_drop("watch_ended"),
                Err(Error::Compacted { oldest: kept }) => {
                    oldest = kept;
                    self.count_drop("watch_compacted");
                }
                Err(error) => {
                    log::warn!("watch on the store failed, retrying; cause={error}");
                    self.count_drop("watch_broken");
                }
            }
            if started.elapsed() > VERIFY_INTERVAL {
                backoff = INITIAL_BACKOFF;
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Reads the configuration, then watches for later revisions. The watch starts no earlier than
    /// `oldest`, the oldest revision that the store has kept; the read takes place after the
    /// compaction, so no change is missed.
    async fn watch_once(&self, oldest: Revision) -> store::Result<()> {
        self.read_stored().await?;
        let from = (self.tracker.held() + 1).max(oldest);
        let mut watch = self.store.watch(KEY, from).await?;
        loop {
            tokio::select! {
                event = watch.next() => match event {
                    Some(event) => self.handle_event(event?),
                    None => return Ok(()),
                },
                verified = self.verify() => {
                    if !verified? {
                        self.count_drop("watch_silent");
                        return self.close_and_read(watch).await;
                    }
                }
            }
        }
    }

    /// Closes a watch that reports no changes and reads the configuration that it missed.
    async fn close_and_read(&self, watch: Watch) -> store::Result<()> {
        drop(watch);
        self.read_stored().await
    }

    fn handle_event(&self, event: Event) {
        if let Event::Put(entry) = event
            && &*entry.key == KEY
        {
            self.adopt(entry.revision, entry.value);
        }
    }

    /// Reads the configuration and adopts it if it is newer.
    async fn read_stored(&self) -> store::Result<()> {
        let requested_at = Instant::now();
        let Some(entry) = self.store.get(KEY).await? else { return Ok(()) };
        let revision = entry.revision;
        self.adopt(revision, entry.value);
        self.tracker.confirm_if_held(revision, requested_at);
        Ok(())
    }

    /// Waits for [`VERIFY_INTERVAL`], then returns whether the store holds no newer revision than
    /// this instance. An older revision is a stale read and is ignored.
    async fn verify(&self) -> store::Result<bool> {
        tokio::time::sleep(VERIFY_INTERVAL).await;
        let requested_at = Instant::now();
        let revision = self.store.get(HEAD_KEY).await?.map_or(0, |entry| entry.revision);
        let held = self.tracker.held();
        if revision < held {
            self.count_drop("stale_read");
        }
        self.tracker.confirm_if_held(revision, requested_at);
        Ok(revision <= held)
    }
}
