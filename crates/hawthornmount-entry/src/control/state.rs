//! Control state of an instance.

use {
    super::load::{Observation, Report},
    crate::instance::Components,
    hawthornmount_core::{
        config::{Config, Server},
        id::{Revision, ServerId},
        snapshot::{Backend, DEFAULT_FRESHNESS_LIMIT, Health, Release, Share, Snapshot},
        table::Table,
    },
    hawthornmount_fleet::config::Accepted,
    std::{sync::Arc, time::Instant},
};

/// Number of consecutive failed polls after which a server counts as down.
const FAILED_POLLS_UNTIL_DOWN: u32 = 3;

/// Results of the polls of one server.
#[derive(Default)]
struct ServerLoad {
    /// Latest load report.
    report: Option<Report>,
    /// When the latest report was made.
    reported_at: Option<Instant>,
    /// Consecutive failed polls.
    failed_polls: u32,
}

/// Control state of an instance.
pub struct State {
    revision: Revision,
    config: Arc<Config>,
    loads: Table<ServerLoad>,
    leaving: Vec<ServerId>,
    started: Instant,
}

impl State {
    pub fn new(components: &Components) -> Self {
        Self {
            revision: 0,
            config: Arc::default(),
            loads: Table::new(),
            leaving: Vec::new(),
            started: components.clock.now(),
        }
    }

    /// Adopts a configuration if it is newer than the one in force.
    pub fn update_config(&mut self, accepted: Accepted) {
        if accepted.revision <= self.revision {
            return;
        }
        self.revision = accepted.revision;
        self.config = accepted.config;
    }

    pub fn update_load(&mut self, observation: Observation) {
        if !self.loads.contains(&observation.server) {
            self.loads.insert(observation.server.clone(), ServerLoad::default());
        }
        let Some(load) = self.loads.get_mut(&observation.server) else { return };
        match observation.report {
            Some(report) => {
                load.report = Some(report);
                load.reported_at = Some(observation.at);
                load.failed_polls = 0;
            }
            None => load.failed_polls += 1,
        }
    }

    pub fn set_leaving(&mut self, servers: Vec<ServerId>) {
        self.leaving = servers;
    }

    /// Publishes the state as a snapshot for the traffic threads.
    pub fn publish(&self, components: &Components) {
        let members = components.fleet.members();
        let revision = i64::try_from(self.revision).unwrap_or(i64::MAX);
        components.metrics.gauges.with_label_values(&["config_revision"]).set(revision);
        components.monitor.configure(self.revision, &self.config, members.len());
        components.snapshot.publish(Snapshot {
            revision: self.revision,
            config: self.config.clone(),
            members,
            backends: self.backends(),
            suspended: components.evaluator.suspended().into(),
            shares: self.shares(components).into(),
            confirmed: self.confirmed(components),
            freshness_limit: DEFAULT_FRESHNESS_LIMIT,
        });
    }

    /// Returns the shares of versions under roll-out. There are none if the configuration has not
    /// been confirmed as the newest within [`DEFAULT_FRESHNESS_LIMIT`], because a version may have
    /// turned out bad in the meantime.
    fn shares(&self, components: &Components) -> Vec<Share> {
        let confirmed = components.mesh.tracker().confirmed();
        let age =
            confirmed.map(|at| components.clock.now().saturating_duration_since(at.into_std()));
        let is_fresh = age.is_some_and(|age| age <= DEFAULT_FRESHNESS_LIMIT);
        components.metrics.gauges.with_label_values(&["config_fresh"]).set(is_fresh.into());
        if is_fresh { components.evaluator.shares() } else { Vec::new() }
    }

    /// Returns when the configuration was last confirmed as the newest, or when the instance
    /// started if it has never been confirmed.
    fn confirmed(&self, components: &Components) -> Instant {
        components.mesh.tracker().confirmed().map_or(self.started, tokio::time::Instant::into_std)
    }

    fn backends(&self) -> Arc<[Backend]> {
        self.config.servers.iter().map(|row| self.backend(&row.id, &row.value)).collect()
    }

    fn backend(&self, id: &ServerId, server: &Server) -> Backend {
        let load = self.loads.get(id);
        let report = load.and_then(|load| load.report.as_ref());
        let data_centre = self.config.data_centres.get(&server.data_centre);
        Backend {
            id: id.clone(),
            address: server.address,
            data_centre: server.data_centre.clone(),
            region: data_centre.map_or_else(|| "".into(), |data_centre| data_centre.region.clone()),
            health: self.health(id, load),
            loaded: report.map(releases).unwrap_or_default(),
            slots: server.slots,
            load: report.map_or(0, |report| report.load),
            reported: load.and_then(|load| load.reported_at),
        }
    }

    fn health(&self, id: &ServerId, load: Option<&ServerLoad>) -> Health {
        let Some(load) = load else { return Health::Down };
        let reports_leaving = load.report.as_ref().is_some_and(|report| report.leaving);
        if reports_leaving || self.leaving.contains(id) {
            Health::Leaving
        } else if load.report.is_none() || load.failed_polls >= FAILED_POLLS_UNTIL_DOWN {
            Health::Down
        } else {
            Health::Up
        }
    }
}

/// Returns the releases that a server has loaded, sorted.
fn releases(report: &Report) -> Vec<Release> {
    let mut releases: Vec<Release> = report
        .loaded
        .iter()
        .map(|loaded| Release { model: loaded.model.clone(), version: loaded.version.clone() })
        .collect();
    releases.sort();
    releases
}
