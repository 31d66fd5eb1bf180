//! What the keys of the store say, with the highest revision of each winning.

use {
    crate::{
        registry::{Registry, Server},
        source::{Order, Progress, Stage, Subject, Vocabulary},
        view::Held,
    },
    hawthornmount_core::{
        config::Config,
        id::{Revision, ServerId, ServiceId},
    },
    hawthornmount_store::Entry,
    std::{sync::Arc, time::Instant},
};

/// A roll-out as the store tells it.
#[derive(Clone, Debug, Default)]
struct Rollout {
    order: Option<Order>,
    progress: Option<Progress>,
}

#[derive(Clone, Debug)]
struct Row {
    service: ServiceId,
    rollout: Rollout,
}

/// What is known of configuration, servers and roll-outs.
pub struct State {
    vocabulary: Arc<dyn Vocabulary>,
    config: Option<(Revision, Config)>,
    registry: Registry,
    rollouts: Vec<Row>,
    seen: Revision,
}

impl State {
    /// Creates a state that knows nothing.
    pub fn new(vocabulary: Arc<dyn Vocabulary>) -> Self {
        Self {
            vocabulary,
            config: None,
            registry: Registry::default(),
            rollouts: Vec::new(),
            seen: 0,
        }
    }

    /// Returns the revision up to which every change was seen.
    pub const fn seen(&self) -> Revision {
        self.seen
    }

    /// Returns the configuration with its revision.
    pub fn config(&self) -> Option<(Revision, &Config)> {
        self.config.as_ref().map(|(revision, config)| (*revision, config))
    }

    /// Returns the registered servers.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.registry.iter()
    }

    /// Returns the versions that get no requests: the new one until its roll-out is completed.
    pub fn held(&self) -> Vec<Held> {
        let held = |row: &Row| {
            let order = row.rollout.order.as_ref()?;
            let is_completed = row.rollout.progress.as_ref().is_some_and(|progress| {
                progress.version == order.version && progress.stage == Stage::Completed
            });
            let version = order.version.clone();
            (!is_completed).then(|| Held { service: row.service.clone(), version })
        };
        self.rollouts.iter().filter_map(held).collect()
    }

    /// Takes a whole list; `away` tells whether the store was out of reach before it.
    pub fn replace(&mut self, entries: &[Entry], seen: Revision, away: bool, now: Instant) {
        let mut present: Vec<ServerId> = Vec::new();
        for entry in entries {
            if let Subject::Server(id) = self.vocabulary.subject(&entry.key) {
                present.push(id);
            }
            self.take(entry);
        }
        present.sort_unstable();
        self.registry.keep_only(&present, away, now);
        self.seen = self.seen.max(seen);
    }

    /// Takes a changed key and tells whether the view changes.
    pub fn put(&mut self, entry: &Entry) -> bool {
        self.seen = self.seen.max(entry.revision);
        self.take(entry)
    }

    /// Takes a deleted key and tells whether the view changes.
    pub fn delete(&mut self, key: &str, revision: Revision) -> bool {
        self.seen = self.seen.max(revision);
        match self.vocabulary.subject(key) {
            Subject::Server(id) => self.registry.remove(&id),
            Subject::Order(service) => self.rollout(service).order = None,
            Subject::Progress(service) => self.rollout(service).progress = None,
            Subject::Config | Subject::Other => return false,
        }
        true
    }

    /// Removes servers whose entries have lapsed for good and tells whether any was.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.registry.expire(now)
    }

    fn take(&mut self, entry: &Entry) -> bool {
        match self.vocabulary.subject(&entry.key) {
            Subject::Config => self.take_config(entry),
            Subject::Server(id) => self.take_server(&id, entry),
            Subject::Order(service) => {
                let order = self.read(entry, |words| words.order(&entry.value));
                self.rollout(service).order = order;
                true
            }
            Subject::Progress(service) => {
                let progress = self.read(entry, |words| words.progress(&entry.value));
                self.rollout(service).progress = progress;
                true
            }
            Subject::Other => false,
        }
    }

    fn take_config(&mut self, entry: &Entry) -> bool {
        let held = self.config.as_ref().map_or(0, |(revision, _)| *revision);
        if entry.revision <= held {
            return false;
        }
        let Some(config) = self.read(entry, |words| words.config(&entry.value)) else {
            return false;
        };
        log::info!("configuration in force; revision={} before={held}", entry.revision);
        self.config = Some((entry.revision, config));
        true
    }

    fn take_server(&mut self, id: &ServerId, entry: &Entry) -> bool {
        match self.read(entry, |words| words.server(id, &entry.value)) {
            Some(server) => self.registry.put(server),
            None => self.registry.remove(id),
        }
        true
    }

    /// Reads a value; one that can't be read leaves a line in the log.
    fn read<T>(
        &self,
        entry: &Entry,
        read: impl FnOnce(&dyn Vocabulary) -> Result<T, Arc<str>>,
    ) -> Option<T> {
        match read(&*self.vocabulary) {
            Ok(value) => Some(value),
            Err(cause) => {
                let (key, revision) = (&entry.key, entry.revision);
                log::warn!("a value is left out; key={key} revision={revision} cause={cause}");
                None
            }
        }
    }

    fn rollout(&mut self, service: ServiceId) -> &mut Rollout {
        let at = match self.rollouts.binary_search_by(|row| row.service.cmp(&service)) {
            Ok(at) => at,
            Err(at) => {
                self.rollouts.insert(at, Row { service, rollout: Rollout::default() });
                at
            }
        };
        &mut self.rollouts[at].rollout
    }
}
