//! Reading of the store: its changes, or lists of all keys.

use {
    super::{
        EXPOSED_FRACTION, Follower, NO_KEY_PREFIX, PAGE_ENTRIES, RECORD_DELAY,
        directory::READ_DELAY,
    },
    crate::{rollout::driver, schema::Key, time},
    hawthornmount_core::id::Revision,
    hawthornmount_store::{self as store, Changes, Event, Stamp, Store},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Prefix of the keys that instances write.
const INSTANCE_PREFIX: &str = "hawthornmount/";

/// Time from which a read of the store is logged.
const SLOW_READ: Duration = Duration::from_millis(300);

/// Bytes from which a list is so long that only changes are read.
const LONG_LIST_BYTES: usize = 64 << 10;

/// Pages of a list.
pub(super) struct List {
    pub(super) entries: Vec<store::Entry>,
    pub(super) stamp: Stamp,
    /// Number of calls.
    pages: usize,
}

impl List {
    /// Returns whether it takes long to list the keys again.
    fn is_long(&self) -> bool {
        let bytes: usize = self.entries.iter().map(|entry| entry.value.len()).sum();
        self.pages > 1 || bytes > LONG_LIST_BYTES
    }
}

impl Follower {
    /// Reads the store, and waits until the next read is due.
    pub(super) async fn read_store(&mut self) {
        self.followed = None;
        if !self.reads_store {
            log::info!("reads the store; confirmed_ms={}", self.freshness.age().as_millis());
            self.reads_store = true;
        }
        let skipped = self.selector.store_delay(time::now());
        if !skipped.is_zero() {
            self.wait_for_list(time::now() + skipped).await;
        }
        let asked_at = time::now();
        let directory_delay = if self.was_slow { Duration::ZERO } else { READ_DELAY };
        self.directory_due = self.is_reader.then(|| asked_at + directory_delay);
        let result = self.read().await;
        self.was_slow = time::now() > asked_at + READ_DELAY;
        self.read_at = result.is_ok().then(time::now);
        let delay = match result {
            Ok(()) => {
                self.selector.store_succeeded();
                let is_gathering = || self.state.quarantine().is_some_and(|one| one.is_gathering());
                let interval = if self.state.driver().is_widely_exposed() || is_gathering() {
                    self.list_interval.mul_f64(EXPOSED_FRACTION)
                } else {
                    self.list_interval
                };
                // A long read must not make the next confirmation later.
                let delay =
                    interval.saturating_sub(time::now().saturating_duration_since(asked_at));
                delay.min(self.era_delay())
            }
            Err(error) => {
                // The store answers if the directory was read.
                if self.freshness.directory().age() > self.list_interval {
                    self.store_failed(&error);
                }
                self.selector.store_failed(time::now());
                // Evidence against a version applies to this instance even while the store is
                // unreachable.
                self.step_rollouts();
                Duration::ZERO
            }
        };
        self.wait_for_list(time::now() + delay).await;
    }

    /// Returns the time until the store is to be read because its era has lasted long enough by then, or
    /// because the record of that can be listed.
    fn era_delay(&mut self) -> Duration {
        if self.write_era() {
            return RECORD_DELAY;
        }
        let settling = self.state.tracker().settling(time::now());
        settling.filter(|left| !left.is_zero()).unwrap_or(Duration::MAX)
    }

    /// Confirms that nothing has changed, or lists all keys. The revision is read first only if it had
    /// not changed the last time, so that a store with frequent changes is not called twice.
    ///
    /// If a list takes several calls, only the changes are read.
    async fn read(&mut self) -> store::Result<()> {
        let is_whole = self.relay.replica.lock().missing().is_none();
        if self.has_long_list && self.was_recent() && is_whole {
            if self.read_changes().await? {
                if !self.is_reader {
                    self.read_reports().await?;
                    self.is_reader = true;
                }
                return Ok(());
            }
        } else if let Some((listed, true)) = self.listed.filter(|_| !self.is_store_unreachable) {
            let asked_at = self.freshness.now();
            let stamp = self.read_stamp().await?;
            if stamp == listed {
                self.is_reader = true;
                self.confirm(asked_at);
                return Ok(());
            }
        }
        if !self.is_reader && self.was_recent() {
            self.read_stamp().await?;
        }
        let before = self.listed.map(|(stamp, _)| stamp);
        self.list().await?;
        let stamp = self.relay.replica.lock().cursor().stamp;
        self.listed = Some((stamp, before == Some(stamp)));
        Ok(())
    }

    /// Records that the store, asked at `asked_at`, has no newer content than the known one.
    fn confirm(&self, asked_at: Duration) {
        if self.is_settled(asked_at) {
            self.freshness.confirm(asked_at);
        }
        self.relay.notify();
    }

    /// Returns whether an answer to a question of `asked_at` is proof even if the store was restored.
    pub(super) fn is_settled(&self, asked_at: Duration) -> bool {
        let age = self.freshness.now().saturating_sub(asked_at);
        self.state.tracker().is_settled(time::now(), age)
    }

    /// Lists all keys and publishes the resulting view.
    async fn list(&mut self) -> store::Result<()> {
        let asked_at = self.freshness.now();
        let (store, prefix) = (self.store.clone(), self.schema.followed_prefix());
        let list = self.await_read(async move { list_pages(&*store, prefix).await }).await?;
        self.has_long_list = list.is_long();
        let List { mut entries, stamp, .. } = list;
        self.keep_equal_servers(&mut entries, stamp);
        let entries = {
            let mut replica = self.relay.replica.lock();
            replica.replace(&entries, stamp);
            replica.entries()
        };
        (self.transfer, self.held_confirmation) = (None, None);
        let may_lack = self.is_store_unreachable && self.may_lack_servers(stamp);
        self.state.apply_list(&entries, stamp, may_lack, time::now());
        self.is_reader = true;
        self.store_responded();
        self.publish();
        self.confirm(asked_at);
        self.write_missing();
        Ok(())
    }

    /// Returns whether a list at `stamp` may lack servers whose entries lapsed while the store was away.
    pub(super) fn may_lack_servers(&self, stamp: Stamp) -> bool {
        let interruption = self.state.interruption(self.freshness.directory().age(), stamp);
        let may_lack = interruption.may_hide_lapses(self.heartbeat);
        if !may_lack {
            log::info!(
                "the store was not away; interrupted_ms={} changes={} servers={}",
                interruption.time.as_millis(),
                interruption.changes,
                interruption.servers
            );
        }
        may_lack
    }

    /// Writes the key of this instance if it is missing, and deletes the keys of roll-outs that have
    /// ended.
    fn write_missing(&mut self) {
        self.register();
        for txn in self.state.driver().leftover_deletions(self.state.membership().data_centres()) {
            self.commit(txn, "a write of a roll-out");
        }
    }

    /// Reads and applies the changes since the known content, and returns whether they are complete.
    async fn read_changes(&mut self) -> store::Result<bool> {
        let known = self.relay.replica.lock().cursor().stamp;
        let asked_at = self.freshness.now();
        // The revision proves up to which point the changes have to reach.
        let stamp = self.read_stamp().await?;
        if stamp.era != known.era || stamp < known {
            return Ok(false);
        }
        if stamp > known {
            let changes = match self.await_changes(known).await {
                Ok(changes) => changes,
                Err(error @ store::Error::Compacted { .. }) => {
                    log::info!("the store does not keep the changes; cause={error}");
                    return Ok(false);
                }
                Err(error) => return Err(error),
            };
            let reached = complete_until(&changes.events, known);
            if changes.stamp.era != known.era || reached < stamp {
                log::info!("the changes are not complete; reached={reached:?} expected={stamp:?}");
                return Ok(false);
            }
            let changes = Changes { stamp: reached, ..changes };
            self.apply_changes(changes);
        }
        self.confirm(asked_at);
        self.write_missing();
        Ok(true)
    }

    /// Reads the point that the history of the store has reached. An instance that has just begun to read
    /// the store asks for the directory only once this call tells that the store answers.
    async fn read_stamp(&mut self) -> store::Result<Stamp> {
        let store = self.store.clone();
        let read = async move { store.list(NO_KEY_PREFIX, None, 1).await };
        let stamp = self.await_read(read).await?.stamp;
        self.directory_due.get_or_insert_with(|| time::now() + READ_DELAY);
        Ok(stamp)
    }

    async fn await_changes(&mut self, known: Stamp) -> store::Result<Changes> {
        let (store, prefix, asked_at) =
            (self.store.clone(), self.schema.followed_prefix(), time::now());
        let changes = self.await_read(async move { store.changes(prefix, known).await }).await?;
        log_slow_read("changes", changes.events.iter().filter_map(entry), asked_at);
        Ok(changes)
    }

    /// Applies changes that continue the known content.
    fn apply_changes(&mut self, changes: Changes) {
        let stamp = changes.stamp;
        let is_view_changed = self.apply_events(changes);
        self.relay.replica.lock().reach(stamp);
        self.state.reach(stamp);
        if is_view_changed {
            self.publish();
        }
    }

    /// Applies changes of the store, and returns whether the view changes.
    pub(super) fn apply_events(&mut self, changes: Changes) -> bool {
        let mut is_view_changed = false;
        for event in changes.events {
            is_view_changed |= match event {
                Event::Put(mut entry) => {
                    self.keep_equal_servers(std::slice::from_mut(&mut entry), changes.stamp);
                    self.relay.replica.lock().put(&entry);
                    self.state.put(&entry)
                }
                Event::Delete { key, revision } => {
                    self.relay.replica.lock().delete(&key, revision);
                    self.state.delete(&key, revision)
                }
                Event::Progress(_) => false,
            };
        }
        is_view_changed
    }

    /// Replaces the entries of servers that differ from the known ones only in what no instance uses,
    /// such as the number of their heartbeat, by the known ones. They are then not relayed to every
    /// follower again.
    fn keep_equal_servers(&self, entries: &mut [store::Entry], stamp: Stamp) {
        let replica = self.relay.replica.lock();
        if replica.cursor().stamp.era != stamp.era {
            return;
        }
        for entry in entries {
            let Key::Server(id) = self.schema.parse_key(&entry.key) else { continue };
            let Some(known) = replica.get(&entry.key) else { continue };
            let is_equal = || {
                let decode = |value: &[u8]| self.schema.decode_server(&id, value).ok();
                let server = decode(&entry.value);
                server.is_some() && server == decode(&known.value)
            };
            if known.value == entry.value || is_equal() {
                *entry = known.clone();
            }
        }
    }

    /// Lists the reports on roll-outs, which are not relayed, after this instance followed another.
    async fn read_reports(&mut self) -> store::Result<()> {
        if !self.state.driver().is_active() {
            return Ok(());
        }
        let List { entries, stamp, .. } = list_pages(&*self.store, INSTANCE_PREFIX).await?;
        let reached = self.relay.replica.lock().cursor().stamp;
        if stamp.era != reached.era {
            return Err(restored());
        }
        let changes = self.difference(driver::is_report, entries, stamp);
        self.apply_changes(Changes { stamp: reached, ..changes });
        Ok(())
    }

    /// Returns the changes from the known entries of some keys to all of these at `stamp`.
    pub(super) fn difference(
        &self,
        is_meant: impl Fn(&str) -> bool,
        entries: Vec<store::Entry>,
        stamp: Stamp,
    ) -> Changes {
        let known = self.relay.replica.lock().entries();
        let is_listed = |key: &str| entries.binary_search_by(|one| (*one.key).cmp(key)).is_ok();
        let is_gone = |one: &store::Entry| is_meant(&one.key) && !is_listed(&one.key);
        let gone = known.into_iter().filter(is_gone).map(|one| one.key);
        let gone = gone.map(|key| Event::Delete { key, revision: stamp.revision });
        let gone = gone.collect::<Vec<Event>>();
        let events = gone.into_iter().chain(entries.into_iter().map(Event::Put)).collect();
        Changes { events, stamp }
    }
}

/// Lists the pages of the keys that start with a prefix. They are not a snapshot, so the stamp is that of
/// the first page.
pub(super) async fn list_pages(store: &dyn Store, prefix: &str) -> store::Result<List> {
    let asked_at = time::now();
    let mut stamp: Option<Stamp> = None;
    let mut entries = Vec::new();
    let mut after: Option<Arc<str>> = None;
    let mut pages = 0;
    loop {
        let page = store.list(prefix, after.as_deref(), PAGE_ENTRIES).await?;
        let first = *stamp.get_or_insert(page.stamp);
        if page.stamp.era != first.era {
            return Err(restored());
        }
        after = page.entries.last().map(|entry| entry.key.clone());
        entries.extend(page.entries);
        pages += 1;
        if !page.more || after.is_none() {
            log_slow_read("list", &entries, asked_at);
            return Ok(List { entries, stamp: first, pages });
        }
    }
}

/// Logs how much a read of the store that was asked for at `asked_at` returned, if it took long.
fn log_slow_read<'a>(
    kind: &str,
    entries: impl IntoIterator<Item = &'a store::Entry>,
    asked_at: Instant,
) {
    let took = time::now().saturating_duration_since(asked_at);
    if took < SLOW_READ {
        return;
    }
    let sizes = entries.into_iter().map(|entry| entry.value.len());
    let (count, bytes) = sizes.fold((0, 0), |(count, bytes), size| (count + 1, bytes + size));
    log::info!(
        "slow read of the store; kind={kind} took_ms={} entries={count} bytes={bytes}",
        took.as_millis()
    );
}

/// Returns the point up to which changes after `known` are complete. Each change of the store has the
/// next revision, so a revision without a change shows that one is missing.
fn complete_until(events: &[Event], known: Stamp) -> Stamp {
    let mut revisions: Vec<Revision> = events.iter().filter_map(revision).collect();
    revisions.sort_unstable();
    let mut reached = known.revision;
    for revision in revisions {
        if revision > reached + 1 {
            break;
        }
        reached = reached.max(revision);
    }
    Stamp { revision: reached, ..known }
}

fn revision(event: &Event) -> Option<Revision> {
    match event {
        Event::Put(entry) => Some(entry.revision),
        Event::Delete { revision, .. } => Some(*revision),
        Event::Progress(_) => None,
    }
}

fn entry(event: &Event) -> Option<&store::Entry> {
    match event {
        Event::Put(entry) => Some(entry),
        Event::Delete { .. } | Event::Progress(_) => None,
    }
}

fn restored() -> store::Error {
    let cause = "the store was restored between two pages of a list".into();
    store::Error::Unreachable { cause }
}
