//! State that the followed keys of the store describe. For each key, the entry with the highest
//! revision applies.
//!
//! A store that is restored from a copy begins a new era, in which revisions are assigned again.
//! Its entries are then applied whatever their revisions, but nothing goes back: configurations are
//! ordered by their own version, servers that were draining or gone stay so, and roll-outs keep
//! their phase. The operator and the servers write again what the copy lacks; what instances wrote
//! is written again by those that know it.

use {
    super::era,
    crate::{
        evacuation::Evacuations,
        limit::{self, cold::Cause},
        load::exchange::task::Peers,
        membership::Membership,
        path,
        quarantine::monitor::Monitor,
        registry::{Interruption, Registry, Server},
        relay::message::InFlight,
        rollout::{
            Driver,
            driver::{Part, Step},
        },
        schema::{Codec, Configuration, Key},
        time,
        view::Rules,
    },
    hawthornmount_core::{
        id::{DataCentreId, RegionId, Revision, ServerId, ServiceId},
        table::Table,
    },
    hawthornmount_store::{Entry, Era, Stamp},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Known configuration, servers, roll-outs and instances.
pub struct State {
    schema: Arc<dyn Codec>,
    rules: Option<Arc<Rules>>,
    registry: Registry,
    evacuations: Evacuations,
    /// Region of each data centre, to report names that stand for none.
    regions: Table<RegionId>,
    driver: Driver,
    membership: Membership,
    /// Whether the membership has changed since it was published.
    has_new_members: bool,
    /// Quarantine whose reports this instance exchanges with others.
    quarantine: Option<Arc<Monitor>>,
    /// Limits of servers, which this instance exchanges with others.
    limits: Option<Arc<limit::monitor::Monitor>>,
    /// Path to the servers, which may lead through other instances.
    path: Option<Arc<path::monitor::Monitor>>,
    /// Other instances of the data centre, with which loads are exchanged.
    exchange_peers: Option<Arc<Peers>>,
    stamp: Stamp,
    /// Whether the era of the store has lasted long enough.
    tracker: era::Tracker,
    /// Keys and the revisions at which they were applied, in order of the keys.
    applied: Vec<(Arc<str>, Revision)>,
}

impl State {
    /// Creates an empty state.
    pub fn new(schema: Arc<dyn Codec>, driver: Driver, membership: Membership) -> Self {
        let registry = Registry::default();
        Self {
            schema,
            rules: None,
            registry,
            evacuations: Evacuations::default(),
            regions: Table::new(),
            driver,
            membership,
            has_new_members: false,
            quarantine: None,
            limits: None,
            path: None,
            exchange_peers: None,
            stamp: Stamp::default(),
            tracker: era::Tracker::default(),
            applied: Vec::new(),
        }
    }

    /// Applies the reports on ends of servers to a quarantine.
    #[must_use]
    pub fn with_quarantine(mut self, quarantine: Arc<Monitor>) -> Self {
        self.quarantine = Some(quarantine);
        self
    }

    /// Divides the limits of servers among the known instances, and applies what others wrote of them.
    #[must_use]
    pub fn with_limits(mut self, limits: Arc<limit::monitor::Monitor>) -> Self {
        self.limits = Some(limits);
        self
    }

    /// Lets requests be passed to the known instances.
    #[must_use]
    pub fn with_path(mut self, path: Arc<path::monitor::Monitor>) -> Self {
        self.path = Some(path);
        self
    }

    /// Exchanges loads with the known instances of the data centre.
    #[must_use]
    pub fn with_exchange(mut self, peers: Arc<Peers>) -> Self {
        self.exchange_peers = Some(peers);
        self
    }

    /// Sets the region of each data centre.
    #[must_use]
    pub fn with_regions(mut self, regions: Table<RegionId>) -> Self {
        self.regions = regions;
        self
    }

    /// Returns the limits of servers, if they are exchanged.
    pub const fn limits(&self) -> Option<&Arc<limit::monitor::Monitor>> {
        self.limits.as_ref()
    }

    /// Returns the quarantine, if there is one.
    pub const fn quarantine(&self) -> Option<&Arc<Monitor>> {
        self.quarantine.as_ref()
    }

    /// Returns the revision up to which all changes are known.
    pub const fn revision(&self) -> Revision {
        self.stamp.revision
    }

    /// Returns the era of the store whose entries were applied last.
    pub const fn era(&self) -> Era {
        self.stamp.era
    }

    /// Returns what is known of the age of that era.
    pub const fn tracker(&self) -> &era::Tracker {
        &self.tracker
    }

    /// Returns the rules of the configuration, if there is one.
    pub const fn rules(&self) -> Option<&Arc<Rules>> {
        self.rules.as_ref()
    }

    /// Returns how long and how far the store has changed without this instance, up to a list at
    /// `stamp`; `time` is the age of the last confirmation.
    pub fn interruption(&self, time: Duration, stamp: Stamp) -> Interruption {
        let changes = stamp.revision.saturating_sub(self.stamp.revision);
        Interruption { time, changes, servers: self.registry.iter().count() }
    }

    /// Returns the registered servers that may get requests: those of evacuated data centres may not.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.registry.iter().filter(|server| !self.evacuations.contains(&server.data_centre))
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> Vec<DataCentreId> {
        self.evacuations.data_centres()
    }

    /// Returns the known instances.
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the driver of roll-outs.
    pub const fn driver(&self) -> &Driver {
        &self.driver
    }

    /// Returns the driver of roll-outs for changes.
    pub const fn driver_mut(&mut self) -> &mut Driver {
        &mut self.driver
    }

    /// Returns the requests of this instance in flight at the old version, for each service under a
    /// roll-out.
    pub fn in_flight(&self) -> Vec<InFlight> {
        let servers: Vec<Arc<Server>> = self.registry.iter().cloned().collect();
        self.driver.in_flight(&servers)
    }

    /// Returns the phases and reports of roll-outs that are due.
    pub fn step_rollouts(&mut self, part: Part, now: Instant) -> Step {
        let servers: Vec<Arc<Server>> = self.registry.iter().cloned().collect();
        self.driver.step(part, &servers, now)
    }

    /// Applies a complete list at `stamp`. `was_store_unreachable` is whether the store was
    /// unreachable before the list. Entries that have not changed are skipped.
    pub fn apply_list(
        &mut self,
        entries: &[Entry],
        stamp: Stamp,
        was_store_unreachable: bool,
        now: Instant,
    ) {
        if stamp.era < self.stamp.era {
            return;
        }
        let is_restored = self.begin_era(stamp, now);
        let was_store_unreachable = was_store_unreachable || is_restored;
        let revision = stamp.revision;
        let mut present: Vec<ServerId> = Vec::new();
        let mut ordered: Vec<ServiceId> = Vec::new();
        let mut evacuated: Vec<DataCentreId> = Vec::new();
        for entry in entries {
            match self.schema.parse_key(&entry.key) {
                Key::Server(id) => present.push(id),
                Key::Order(service) => ordered.push(service),
                Key::Evacuation(data_centre) => evacuated.push(data_centre),
                Key::Config | Key::Other => {}
            }
            if self.is_newer(entry) {
                self.apply(entry);
            }
        }
        self.applied = entries.iter().map(|entry| (entry.key.clone(), entry.revision)).collect();
        self.applied.sort_unstable();
        present.sort_unstable();
        self.registry.retain_listed(&present, was_store_unreachable, now);
        self.registry.expire(now);
        evacuated.sort_unstable();
        for data_centre in self.evacuations.missing(&evacuated, now) {
            self.end_evacuation(&data_centre, revision);
        }
        ordered.sort_unstable();
        self.driver.retain_ordered(&ordered, revision, now);
        let applied = &self.applied;
        let is_listed = |key: &str| position(applied, key).is_ok();
        self.driver.retain_reports(is_listed);
        self.membership.retain_listed(is_listed);
        if let Some(quarantine) = &self.quarantine {
            quarantine.retain_listed(is_listed);
        }
        if let Some(limits) = &self.limits {
            limits.retain_listed(is_listed);
        }
        self.publish_members();
        self.stamp = self.stamp.max(stamp);
    }

    /// Prepares for the entries of another era, and returns whether the store was restored from a
    /// copy since the last list.
    fn begin_era(&mut self, stamp: Stamp, now: Instant) -> bool {
        if stamp.era == self.stamp.era {
            return false;
        }
        self.tracker.begin(stamp.era, now);
        if self.stamp == Stamp::default() {
            return false;
        }
        log::warn!(
            "the store was restored from a copy; era={} revision={} before={:?}",
            stamp.era,
            stamp.revision,
            self.stamp
        );
        self.stamp = stamp;
        self.applied.clear();
        self.registry.begin_era(now);
        self.evacuations.begin_era(now);
        self.driver.begin_era(now);
        true
    }

    /// Removes servers whose grace period has ended, and returns whether the view changes.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.registry.expire(now)
    }

    /// Returns when the grace period of the next missing server ends.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.registry.next_expiry()
    }

    /// Applies a changed key, and returns whether the view changes.
    pub fn put(&mut self, entry: &Entry) -> bool {
        self.stamp.revision = self.stamp.revision.max(entry.revision);
        if !self.is_newer(entry) {
            return false;
        }
        match position(&self.applied, &entry.key) {
            Ok(at) => self.applied[at].1 = entry.revision,
            Err(at) => self.applied.insert(at, (entry.key.clone(), entry.revision)),
        }
        let changes_view = self.apply(entry);
        self.publish_members();
        changes_view
    }

    /// Applies the deletion of a key, and returns whether the view changes.
    pub fn delete(&mut self, key: &str, revision: Revision) -> bool {
        self.stamp.revision = self.stamp.revision.max(revision);
        if let Ok(at) = position(&self.applied, key) {
            self.applied.remove(at);
        }
        match self.schema.parse_key(key) {
            Key::Server(id) => self.registry.remove(&id),
            Key::Order(service) => return self.driver.set_order(&service, revision, None),
            Key::Evacuation(data_centre) => self.end_evacuation(&data_centre, revision),
            Key::Other => {
                self.driver.delete(key);
                let is_listed = |other: &str| other != key;
                self.membership.retain_listed(is_listed);
                if let Some(quarantine) = &self.quarantine {
                    quarantine.retain_listed(is_listed);
                }
                if let Some(limits) = &self.limits {
                    limits.retain_listed(is_listed);
                }
                return false;
            }
            Key::Config => return false,
        }
        true
    }

    /// Records that all changes up to `stamp`, of the same era, were applied.
    pub fn reach(&mut self, stamp: Stamp) {
        self.stamp = self.stamp.max(stamp);
        if let Some(quarantine) = &self.quarantine {
            quarantine.retain_listed(|_| true);
        }
    }

    /// Divides the limits of servers among the known instances, and lets requests be passed to them, if
    /// they have changed.
    fn publish_members(&mut self) {
        if !std::mem::take(&mut self.has_new_members) {
            return;
        }
        if let Some(peers) = &self.exchange_peers {
            peers.set(self.membership.secret(), &self.membership.ranked_peers().0);
        }
        if let Some(path) = &self.path {
            path.set_secret(self.membership.secret());
            path.set_neighbours(self.membership.neighbours());
        }
        if let (Some(limits), Some(members)) = (&self.limits, self.membership.names()) {
            limits.set_members(members);
        }
    }

    /// Returns whether an entry is newer than the one that was applied last.
    fn is_newer(&self, entry: &Entry) -> bool {
        position(&self.applied, &entry.key).map_or(true, |at| self.applied[at].1 < entry.revision)
    }

    fn apply(&mut self, entry: &Entry) -> bool {
        match self.schema.parse_key(&entry.key) {
            Key::Config => self.apply_config(entry),
            Key::Server(id) => self.apply_server(&id, entry),
            Key::Order(service) => {
                let order = self.decode(entry, |schema| schema.decode_order(&entry.value));
                self.driver.set_order(&service, entry.revision, order)
            }
            Key::Evacuation(data_centre) => self.begin_evacuation(&data_centre, entry.revision),
            Key::Other => {
                if self.tracker.put(entry) {
                    return false;
                }
                let is_report = self.quarantine.as_ref().is_some_and(|one| one.put(entry));
                if is_report || self.limits.as_ref().is_some_and(|limits| limits.put(entry)) {
                    return false;
                }
                if self.membership.put(entry) {
                    self.has_new_members = true;
                    return false;
                }
                self.driver.put(entry)
            }
        }
    }

    fn apply_config(&mut self, entry: &Entry) -> bool {
        let Some(configuration) = self.decode(entry, |schema| schema.decode_config(&entry.value))
        else {
            return false;
        };
        let current = self.rules.as_ref().map_or(0, |rules| rules.version);
        if self.rules.is_some() && configuration.version <= current {
            log::info!(
                "kept the configuration in force; version={current} skipped={} revision={}",
                configuration.version,
                entry.revision
            );
            return false;
        }
        log::info!(
            "configuration in force; version={} before={current} revision={}",
            configuration.version,
            entry.revision
        );
        self.report_unknown_regions(&configuration);
        if let Some(limits) = &self.limits {
            limits.set_cold_starts(&configuration.config.services);
        }
        self.rules = Some(Arc::new(Rules::new(entry.revision, &configuration)));
        true
    }

    /// Logs the regions of routes and accounts that have no data centre: nothing is served there.
    fn report_unknown_regions(&self, configuration: &Configuration) {
        let config = &configuration.config;
        let routes = config.routes.iter().map(|row| ("route", &row.id, &row.value.allowed_regions));
        let accounts =
            config.accounts.iter().map(|row| ("account", &row.id, &row.value.allowed_regions));
        for (kind, id, regions) in routes.chain(accounts) {
            let is_unknown =
                |region: &&RegionId| self.regions.iter().all(|row| row.value != **region);
            for region in regions.iter().filter(is_unknown) {
                log::warn!("an allowed region has no data centre; {kind}={id} region={region}");
            }
        }
    }

    fn begin_evacuation(&mut self, data_centre: &DataCentreId, revision: Revision) -> bool {
        let is_new = self.evacuations.begin(data_centre);
        if is_new {
            log::warn!("data centre is evacuated; data_centre={data_centre} revision={revision}");
            if !self.regions.contains(data_centre) {
                log::warn!("the evacuated data centre is not known; data_centre={data_centre}");
            }
        }
        is_new
    }

    /// Ends an evacuation. The servers may have become cold in the meantime, and their entries may not
    /// state it yet.
    fn end_evacuation(&mut self, data_centre: &DataCentreId, revision: Revision) {
        if !self.evacuations.end(data_centre) {
            return;
        }
        log::info!("evacuation has ended; data_centre={data_centre} revision={revision}");
        let Some(limits) = &self.limits else { return };
        for server in self.registry.iter().filter(|one| one.data_centre == *data_centre) {
            limits.assume_cold(server, Cause::Evacuation);
        }
    }

    fn apply_server(&mut self, id: &ServerId, entry: &Entry) -> bool {
        match self.decode(entry, |schema| schema.decode_server(id, &entry.value)) {
            Some(server) => {
                if let Some(limits) = &self.limits {
                    limits.record_cold(&server, server.cold_remaining, Cause::Entry);
                }
                self.registry.put(server, time::now());
            }
            None => self.registry.remove(id),
        }
        true
    }

    /// Decodes a value. A value that can't be decoded is skipped with a line in the log.
    fn decode<T>(
        &self,
        entry: &Entry,
        decode: impl FnOnce(&dyn Codec) -> Result<T, Arc<str>>,
    ) -> Option<T> {
        match decode(&*self.schema) {
            Ok(value) => Some(value),
            Err(cause) => {
                let (key, revision) = (&entry.key, entry.revision);
                log::warn!("skipped an invalid value; key={key} revision={revision} cause={cause}");
                None
            }
        }
    }
}

fn position(applied: &[(Arc<str>, Revision)], key: &str) -> Result<usize, usize> {
    applied.binary_search_by(|(known, _)| (**known).cmp(key))
}
