//! The watch of the store by the watchers of a data centre.

use {
    super::{Follower, HEAD_KEY, KEY},
    futures::StreamExt,
    hawthornmount_core::id::Revision,
    hawthornmount_store::{self as store, Error, Event, Watch},
    std::time::Duration,
    tokio::time::Instant,
};

/// Pause between two looks past the watch, which may have broken silently.
const VERIFY_PAUSE: Duration = Duration::from_secs(1);
/// Pause before a broken watch is opened again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause before a broken watch is opened again.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);

impl Follower {
    /// Watches the store; never returns.
    pub(super) async fn watch(&self) {
        let mut pause = RETRY_PAUSE;
        let mut oldest = 0;
        loop {
            let began = Instant::now();
            match self.watch_once(oldest).await {
                Ok(()) => self.drop_one("watch_ended"),
                Err(Error::Compacted { oldest: kept }) => {
                    oldest = kept;
                    self.drop_one("watch_compacted");
                }
                Err(error) => {
                    log::warn!("the store can't be watched, trying again; cause={error}");
                    self.drop_one("watch_broken");
                }
            }
            if began.elapsed() > VERIFY_PAUSE {
                pause = RETRY_PAUSE;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    }

    /// Reads, then watches what comes after. The watch starts no earlier than `oldest`: the read
    /// came after the compaction, so nothing between is missed.
    async fn watch_once(&self, oldest: Revision) -> store::Result<()> {
        self.read_stored().await?;
        let from = (self.tracker.held() + 1).max(oldest);
        let mut watch = self.store.watch(KEY, from).await?;
        loop {
            tokio::select! {
                event = watch.next() => match event {
                    Some(event) => self.take_event(event?),
                    None => return Ok(()),
                },
                verified = self.verify() => {
                    if !verified? {
                        self.drop_one("watch_silent");
                        return self.reopen(watch).await;
                    }
                }
            }
        }
    }

    async fn reopen(&self, watch: Watch) -> store::Result<()> {
        drop(watch);
        self.read_stored().await
    }

    fn take_event(&self, event: Event) {
        if let Event::Put(entry) = event
            && &*entry.key == KEY
        {
            self.take(entry.revision, entry.value);
        }
    }

    /// Reads the configuration and takes it if it is newer.
    async fn read_stored(&self) -> store::Result<()> {
        let asked = Instant::now();
        let Some(entry) = self.store.get(KEY).await? else { return Ok(()) };
        let revision = entry.revision;
        self.take(revision, entry.value);
        self.tracker.confirm_if_held(revision, asked);
        Ok(())
    }

    /// Waits, then tells whether the store still holds what this instance does. An older revision
    /// is a stale read and changes nothing.
    async fn verify(&self) -> store::Result<bool> {
        tokio::time::sleep(VERIFY_PAUSE).await;
        let asked = Instant::now();
        let revision = self.store.get(HEAD_KEY).await?.map_or(0, |entry| entry.revision);
        let held = self.tracker.held();
        if revision < held {
            self.drop_one("stale_read");
        }
        self.tracker.confirm_if_held(revision, asked);
        Ok(revision <= held)
    }
}
