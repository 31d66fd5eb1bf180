//! Reading of the directory apart from the rest, while a read of the whole content takes long.
//!
//! The content may hold a configuration of a megabyte, which takes seconds over a slow link. Requests
//! must not be sent to a server for so long after it has announced that it leaves, so its entry does not
//! wait for the configuration.

use {
    super::{
        Follower,
        read::{List, list_pages},
        tick::Ticks,
    },
    crate::time,
    futures::future,
    hawthornmount_store::{self as store, Changes, Stamp, Store},
    std::{pin::pin, time::Duration},
};

/// Time for which a read of the whole content may take before the directory is read apart. After a read
/// that took longer, it is read apart at once.
pub(super) const READ_DELAY: Duration = Duration::from_millis(200);

/// What a read of the directory has found.
struct Found {
    /// When the store was asked, by the boot clock.
    asked_at: Duration,
    parts: Vec<Part>,
}

/// Keys of one prefix.
enum Part {
    /// The changes since the known content.
    Changes(Changes),
    /// All entries, since the store does not keep the changes.
    Entries { prefix: &'static str, entries: Vec<store::Entry>, stamp: Stamp },
}

impl Part {
    const fn stamp(&self) -> Stamp {
        match self {
            Self::Changes(changes) => changes.stamp,
            Self::Entries { stamp, .. } => *stamp,
        }
    }
}

impl Follower {
    /// Returns whether the store was heard of recently, also if its answer took long. After an outage,
    /// entries that are missing may only have expired.
    pub(super) fn was_recent(&self) -> bool {
        let was_read = self.read_at.is_some_and(|at| time::now() <= at + self.outage());
        let is_recent = was_read || self.freshness.directory().age() <= self.outage();
        is_recent && !self.is_store_unreachable
    }

    /// Waits for a read of the whole content. While it takes long, the directory is read apart.
    pub(super) async fn await_read<T>(
        &mut self,
        read: impl Future<Output = store::Result<T>>,
    ) -> store::Result<T> {
        let mut read = pin!(read);
        let known = self.relay.replica.lock().cursor().stamp;
        let is_readable = self.was_recent() && known != Stamp::default();
        let mut ticks = Ticks::new(self);
        loop {
            let delay = match self.directory_due {
                Some(due) if is_readable => due.saturating_duration_since(time::now()),
                _ => Duration::MAX,
            };
            let mut directory = pin!(self.read_directory(known, delay));
            let found = loop {
                let tick = tokio::select! {
                    biased;
                    result = &mut read => return result,
                    found = &mut directory => break found,
                    tick = ticks.next(None, self.transfer.as_mut()) => tick,
                };
                self.handle(tick, &mut ticks);
            };
            self.directory_due = Some(time::now() + self.list_interval);
            match found {
                Ok(found) => self.apply_directory(found, known),
                Err(error) => log::info!("the directory can't be read apart; cause={error}"),
            }
        }
    }

    /// Reads the changes of the directory since `known`, after a delay.
    fn read_directory(
        &self,
        known: Stamp,
        delay: Duration,
    ) -> impl Future<Output = store::Result<Found>> + use<> {
        let (store, freshness) = (self.store.clone(), self.freshness.clone());
        let prefixes = self.schema.directory_prefixes();
        async move {
            if prefixes.is_empty() || delay == Duration::MAX {
                return future::pending().await;
            }
            tokio::time::sleep(delay).await;
            let asked_at = freshness.now();
            let parts = prefixes.iter().map(|prefix| read_part(&*store, prefix, known));
            Ok(Found { asked_at, parts: future::try_join_all(parts).await? })
        }
    }

    /// Applies and confirms the directory, unless the store was restored since `known`.
    fn apply_directory(&mut self, found: Found, known: Stamp) {
        if found.parts.iter().any(|part| part.stamp().era != known.era) {
            return;
        }
        let mut changes_view = false;
        for part in found.parts {
            let changes = match part {
                Part::Changes(changes) => changes,
                Part::Entries { prefix, entries, stamp } => {
                    self.difference(|key| key.starts_with(prefix), entries, stamp)
                }
            };
            changes_view |= self.apply_events(changes);
        }
        if changes_view {
            self.publish();
        }
        if self.is_settled(found.asked_at) {
            self.freshness.directory().confirm(found.asked_at);
            log::info!(
                "the directory was read apart; took_ms={} confirmed_ms={}",
                self.freshness.now().saturating_sub(found.asked_at).as_millis(),
                self.freshness.age().as_millis()
            );
        }
        self.relay.notify();
    }
}

/// Reads the changes of a prefix since `known`, or all of its entries if the store does not keep them.
async fn read_part(store: &dyn Store, prefix: &'static str, known: Stamp) -> store::Result<Part> {
    match store.changes(prefix, known).await {
        Ok(changes) => Ok(Part::Changes(changes)),
        Err(store::Error::Compacted { .. }) => {
            let List { entries, stamp, .. } = list_pages(store, prefix).await?;
            Ok(Part::Entries { prefix, entries, stamp })
        }
        Err(error) => Err(error),
    }
}
