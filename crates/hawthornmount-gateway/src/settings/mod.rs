//! Settings of a gateway, read from a file of JSON with comments.

mod check;

use {
    crate::{adaptation, limit::cold::Tolerance},
    hawthornmount_core::{
        id::{DataCentreId, InstanceId, RegionId},
        settings::{DEFAULT_MEMORY_MB, Error, schema},
        table::Table,
    },
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{net::SocketAddr, path::Path, sync::Arc, time::Duration},
};

/// Share of the requests that a bad version may get if the settings state none.
const DEFAULT_ALLOWED_EXPOSURE: f64 = 0.12;

/// Settings of one gateway.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Region of each data centre.
    pub regions: Table<RegionId>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// Address at which operators read metrics.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
    /// Address at which other instances of the fleet follow this one; without it, the instance reads
    /// the store by itself.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Address at which other instances that reach no server pass on the requests of their callers;
    /// without it, this instance takes none.
    #[serde(default)]
    pub neighbours: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Longest time for which a revoked key may still be accepted.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "revocation_ms")]
    pub revocation: Duration,
    /// Time within which an accepted configuration must be in force.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "propagation_ms")]
    pub propagation: Duration,
    /// Time within which servers of an evacuated data centre must get no more requests; the
    /// propagation bound if absent.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "evacuation_ms")]
    pub evacuation: Option<Duration>,
    /// Interval at which servers write their entries in the store.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "registration_interval_ms")]
    pub heartbeat: Option<Duration>,
    /// When the instance adapts to servers that differ and to callers that compete for room.
    #[serde(default)]
    pub adaptation: adaptation::Mode,
    /// Parts of the platform's rules that are in force, by the names that the platform gives them.
    #[serde(default)]
    pub requirements: Vec<Arc<str>>,
    /// What cold servers tolerate beyond the rate that their service states.
    #[serde(default)]
    pub cold: Tolerance,
    /// Share of all requests of a roll-out's time that a bad version may get.
    #[serde(default = "default_allowed_exposure")]
    pub allowed_exposure: f64,
    /// Number of requests that it may get in addition.
    #[serde(default)]
    pub exposure_slack: f64,
    /// Limits on retries.
    pub retries: Retries,
    /// Time in which the instance must end after the stop signal.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "grace_ms")]
    pub grace: Duration,
    /// Memory of the machine, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Number of descriptors that the process may open; those that the operating system allows if absent.
    #[serde(default)]
    pub file_descriptors: Option<u32>,
    /// Log level: error, warn, info, debug or trace.
    #[serde(default = "default_level")]
    pub log: Arc<str>,
}

/// Limits on retries over the whole fleet.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition to `ratio`.
    pub slack: f64,
    /// Window in which `ratio` and `slack` apply.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "window_ms")]
    pub window: Duration,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or its content is not valid settings.
    pub fn read(path: &Path) -> Result<Self, Error> {
        schema::read(path, &check::SCHEMA)
    }

    /// Reads settings from text.
    ///
    /// # Errors
    ///
    /// Returns an error that lists every problem if the text is not valid settings.
    pub fn parse(text: &str) -> Result<Self, Error> {
        schema::parse(text, &check::SCHEMA)
    }

    /// Returns the region of a data centre.
    pub fn region(&self, data_centre: &str) -> Option<&RegionId> {
        self.regions.get(data_centre)
    }
}

fn default_allowed_exposure() -> f64 {
    DEFAULT_ALLOWED_EXPOSURE
}

const fn default_memory_mb() -> u32 {
    DEFAULT_MEMORY_MB
}

fn default_level() -> Arc<str> {
    "info".into()
}
