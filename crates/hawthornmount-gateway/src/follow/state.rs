//! What the keys of the store say, with the highest revision of each winning.

use {
    crate::{
        membership::Membership,
        registry::{Registry, Server},
        rollout::Driver,
        schema::{Key, Schema},
        view::Rules,
    },
    hawthornmount_core::id::{Revision, ServerId, ServiceId},
    hawthornmount_store::{Entry, Store},
    std::{sync::Arc, time::Instant},
};

/// What is known of configuration, servers and roll-outs.
pub struct State {
    schema: Arc<dyn Schema>,
    rules: Option<Arc<Rules>>,
    registry: Registry,
    driver: Driver,
    membership: Membership,
    seen: Revision,
    /// Keys and the revisions at which they were taken, in order of the keys.
    taken: Vec<(Arc<str>, Revision)>,
}

impl State {
    /// Creates a state that knows nothing.
    pub fn new(schema: Arc<dyn Schema>, driver: Driver, membership: Membership) -> Self {
        let registry = Registry::default();
        Self { schema, rules: None, registry, driver, membership, seen: 0, taken: Vec::new() }
    }

    /// Returns the revision up to which every change was seen.
    pub const fn seen(&self) -> Revision {
        self.seen
    }

    /// Returns what the configuration says, if there is one.
    pub const fn rules(&self) -> Option<&Arc<Rules>> {
        self.rules.as_ref()
    }

    /// Returns the registered servers.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.registry.iter()
    }

    /// Returns the instances.
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the driver of roll-outs.
    pub const fn driver(&self) -> &Driver {
        &self.driver
    }

    /// Writes what roll-outs have due and tells whether the view changes.
    pub fn step(&mut self, store: &Arc<dyn Store>, now: Instant) -> bool {
        let servers: Vec<Arc<Server>> = self.registry.iter().cloned().collect();
        self.driver.step(store, &servers, now)
    }

    /// Takes a whole list; `away` tells whether the store was out of reach before it. Entries that
    /// have not changed since are passed over.
    pub fn replace(&mut self, entries: &[Entry], seen: Revision, away: bool, now: Instant) {
        let mut present: Vec<ServerId> = Vec::new();
        let mut ordered: Vec<ServiceId> = Vec::new();
        for entry in entries {
            match self.schema.parse_key(&entry.key) {
                Key::Server(id) => present.push(id),
                Key::Order(service) => ordered.push(service),
                Key::Config | Key::Other => {}
            }
            if self.is_news(entry) {
                self.take(entry);
            }
        }
        self.taken = entries.iter().map(|entry| (entry.key.clone(), entry.revision)).collect();
        self.taken.sort_unstable();
        present.sort_unstable();
        self.registry.keep_only(&present, away, now);
        self.registry.expire(now);
        ordered.sort_unstable();
        self.driver.keep_ordered(&ordered, seen);
        let taken = &self.taken;
        self.driver.keep_reports(|key| position(taken, key).is_ok());
        self.seen = self.seen.max(seen);
    }

    /// Removes servers that were missing for too long and tells whether the view changes.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.registry.expire(now)
    }

    /// Returns when a missing server is to be removed next.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.registry.next_expiry()
    }

    /// Takes a changed key and tells whether the view changes.
    pub fn put(&mut self, entry: &Entry) -> bool {
        self.seen = self.seen.max(entry.revision);
        if !self.is_news(entry) {
            return false;
        }
        match position(&self.taken, &entry.key) {
            Ok(at) => self.taken[at].1 = entry.revision,
            Err(at) => self.taken.insert(at, (entry.key.clone(), entry.revision)),
        }
        self.take(entry)
    }

    /// Takes a deleted key and tells whether the view changes.
    pub fn delete(&mut self, key: &str, revision: Revision) -> bool {
        self.seen = self.seen.max(revision);
        if let Ok(at) = position(&self.taken, key) {
            self.taken.remove(at);
        }
        match self.schema.parse_key(key) {
            Key::Server(id) => self.registry.remove(&id),
            Key::Order(service) => return self.driver.order(&service, revision, None),
            Key::Other => {
                self.driver.delete(key);
                return false;
            }
            Key::Config => return false,
        }
        true
    }

    /// Tells whether an entry is newer than the one that was taken last.
    fn is_news(&self, entry: &Entry) -> bool {
        position(&self.taken, &entry.key).map_or(true, |at| self.taken[at].1 < entry.revision)
    }

    fn take(&mut self, entry: &Entry) -> bool {
        match self.schema.parse_key(&entry.key) {
            Key::Config => self.take_config(entry),
            Key::Server(id) => self.take_server(&id, entry),
            Key::Order(service) => {
                let order = self.read(entry, |words| words.decode_order(&entry.value));
                self.driver.order(&service, entry.revision, order)
            }
            Key::Other => !self.membership.put(&entry.key) && self.driver.put(entry),
        }
    }

    fn take_config(&mut self, entry: &Entry) -> bool {
        let held = self.rules.as_ref().map_or(0, |rules| rules.revision);
        if entry.revision <= held {
            return false;
        }
        let Some(config) = self.read(entry, |words| words.decode_config(&entry.value)) else {
            return false;
        };
        log::info!("configuration in force; revision={} before={held}", entry.revision);
        self.rules = Some(Arc::new(Rules::new(entry.revision, &config)));
        true
    }

    fn take_server(&mut self, id: &ServerId, entry: &Entry) -> bool {
        match self.read(entry, |words| words.decode_server(id, &entry.value)) {
            Some(server) => self.registry.put(server),
            None => self.registry.remove(id),
        }
        true
    }

    /// Reads a value; one that can't be read leaves a line in the log.
    fn read<T>(
        &self,
        entry: &Entry,
        read: impl FnOnce(&dyn Schema) -> Result<T, Arc<str>>,
    ) -> Option<T> {
        match read(&*self.schema) {
            Ok(value) => Some(value),
            Err(cause) => {
                let (key, revision) = (&entry.key, entry.revision);
                log::warn!("a value is left out; key={key} revision={revision} cause={cause}");
                None
            }
        }
    }
}

fn position(taken: &[(Arc<str>, Revision)], key: &str) -> Result<usize, usize> {
    taken.binary_search_by(|(known, _)| (**known).cmp(key))
}
