//! Control state of one instance.

use {
    super::load::{Report, Seen},
    crate::instance::Parts,
    hawthornmount_core::{
        config::{Config, Server},
        id::{Revision, ServerId},
        snapshot::{Backend, DEFAULT_FRESHNESS_LIMIT, Health, Release, Share, Snapshot},
        table::Table,
    },
    hawthornmount_fleet::config::Accepted,
    std::{sync::Arc, time::Instant},
};

/// Failed looks in a row after which a server is down.
const FAILURES_UNTIL_DOWN: u32 = 3;

/// What is known of one server.
#[derive(Default)]
struct Known {
    report: Option<Report>,
    at: Option<Instant>,
    failures: u32,
}

/// Control state of one instance.
pub struct State {
    revision: Revision,
    config: Arc<Config>,
    known: Table<Known>,
    leaving: Vec<ServerId>,
    started: Instant,
}

impl State {
    pub fn new(parts: &Parts) -> Self {
        Self {
            revision: 0,
            config: Arc::default(),
            known: Table::new(),
            leaving: Vec::new(),
            started: parts.clock.now(),
        }
    }

    pub fn take_config(&mut self, accepted: Accepted) {
        if accepted.revision <= self.revision {
            return;
        }
        self.revision = accepted.revision;
        self.config = accepted.config;
    }

    pub fn take_load(&mut self, seen: Seen) {
        if !self.known.contains(&seen.server) {
            self.known.insert(seen.server.clone(), Known::default());
        }
        let Some(known) = self.known.get_mut(&seen.server) else { return };
        match seen.report {
            Some(report) => {
                known.report = Some(report);
                known.at = Some(seen.at);
                known.failures = 0;
            }
            None => known.failures += 1,
        }
    }

    pub fn take_leaving(&mut self, servers: Vec<ServerId>) {
        self.leaving = servers;
    }

    pub fn publish(&self, parts: &Parts) {
        let members = parts.fleet.members();
        let revision = i64::try_from(self.revision).unwrap_or(i64::MAX);
        parts.metrics.gauges.with_label_values(&["config_revision"]).set(revision);
        parts.monitor.configure(self.revision, &self.config, members.len());
        parts.cell.publish(Snapshot {
            revision: self.revision,
            config: self.config.clone(),
            members,
            backends: self.backends(),
            suspended: parts.judge.suspended().into(),
            shares: self.shares(parts).into(),
            confirmed: self.confirmed(parts),
            freshness_limit: DEFAULT_FRESHNESS_LIMIT,
        });
    }

    /// Returns the shares of versions under roll-out; none while it is not known for too long
    /// whether the configuration is still the newest, as a version may have turned bad meanwhile.
    fn shares(&self, parts: &Parts) -> Vec<Share> {
        let confirmed = parts.mesh.tracker().confirmed();
        let age = confirmed.map(|at| parts.clock.now().saturating_duration_since(at.into_std()));
        let is_fresh = age.is_some_and(|age| age <= DEFAULT_FRESHNESS_LIMIT);
        parts.metrics.gauges.with_label_values(&["config_fresh"]).set(is_fresh.into());
        if is_fresh { parts.judge.shares() } else { Vec::new() }
    }

    /// Returns when the configuration was last known to be the newest; before any confirmation,
    /// when the instance started.
    fn confirmed(&self, parts: &Parts) -> Instant {
        parts.mesh.tracker().confirmed().map_or(self.started, tokio::time::Instant::into_std)
    }

    fn backends(&self) -> Arc<[Backend]> {
        self.config.servers.iter().map(|row| self.backend(&row.id, &row.value)).collect()
    }

    fn backend(&self, id: &ServerId, server: &Server) -> Backend {
        let known = self.known.get(id);
        let report = known.and_then(|known| known.report.as_ref());
        let data_centre = self.config.data_centres.get(&server.data_centre);
        Backend {
            id: id.clone(),
            address: server.address,
            data_centre: server.data_centre.clone(),
            region: data_centre.map_or_else(|| "".into(), |one| one.region.clone()),
            health: self.health(id, known),
            loaded: report.map(releases).unwrap_or_default(),
            slots: server.slots,
            load: report.map_or(0, |report| report.load),
            reported: known.and_then(|known| known.at),
        }
    }

    fn health(&self, id: &ServerId, known: Option<&Known>) -> Health {
        let Some(known) = known else { return Health::Down };
        let says_leaving = known.report.as_ref().is_some_and(|report| report.leaving);
        if says_leaving || self.leaving.contains(id) {
            Health::Leaving
        } else if known.report.is_none() || known.failures >= FAILURES_UNTIL_DOWN {
            Health::Down
        } else {
            Health::Up
        }
    }
}

fn releases(report: &Report) -> Vec<Release> {
    let mut releases: Vec<Release> = report
        .loaded
        .iter()
        .map(|one| Release { model: one.model.clone(), version: one.version.clone() })
        .collect();
    releases.sort();
    releases
}
