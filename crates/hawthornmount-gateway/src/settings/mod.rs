//! Settings of a gateway, read from a file of JSON with comments.

mod check;

use {
    hawthornmount_core::{
        id::{DataCentreId, InstanceId, RegionId},
        settings::{Error, form},
        table::Table,
    },
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{net::SocketAddr, path::Path, sync::Arc, time::Duration},
};

/// Settings of one gateway.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: InstanceId,
    /// Data centre that the instance stands in.
    pub data_centre: DataCentreId,
    /// Region of each data centre.
    pub regions: Table<RegionId>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the balancer asks whether the instance is ready.
    pub readiness: SocketAddr,
    /// Address for operators: metrics.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Longest time for which a key that was taken away may still work.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "revocation_ms")]
    pub revocation: Duration,
    /// Time within which an accepted configuration has to be in force.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "propagation_ms")]
    pub propagation: Duration,
    /// Limits on sending requests again.
    pub retries: Retries,
    /// Time in which the instance has to end after it was told to stop.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "grace_ms")]
    pub grace: Duration,
    /// Level of the log: error, warn, info, debug or trace.
    #[serde(default = "default_level")]
    pub log: Arc<str>,
}

/// Limits on sending requests again, over the whole fleet.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides.
    pub slack: f64,
    /// Window in which both are counted.
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
        form::read(path, &check::FORM)
    }

    /// Reads settings from text.
    ///
    /// # Errors
    ///
    /// Returns an error that lists every problem if the text is not valid settings.
    pub fn parse(text: &str) -> Result<Self, Error> {
        form::parse(text, &check::FORM)
    }

    /// Returns the region of a data centre.
    pub fn region(&self, data_centre: &str) -> Option<&RegionId> {
        self.regions.get(data_centre)
    }
}

fn default_level() -> Arc<str> {
    "info".into()
}
