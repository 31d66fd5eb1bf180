//! Settings of an entry instance, read from a JSON file that may contain comments.

mod check;
pub mod schema;

pub use check::check_machine;

use {
    crate::id::{DataCentreId, InstanceId, RegionId},
    derive_more::{Display, Error},
    schema::Schema,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{io, net::SocketAddr, path::Path, path::PathBuf, sync::Arc, time::Duration},
};

/// Memory of a machine if the settings state none, in megabytes.
pub const DEFAULT_MEMORY_MB: u32 = 88;
/// Smallest memory with which an instance can work, in megabytes.
pub const MIN_MEMORY_MB: u32 = 48;
/// Smallest number of descriptors with which an instance can work.
pub const MIN_FILE_DESCRIPTORS: u32 = 128;

/// Examples and validation of an instance's settings.
const SCHEMA: Schema<Settings> = Schema { example: schema::example, check: check::check };

/// Settings of an entry instance.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Region of the instance.
    pub region: RegionId,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for operators: metrics, health and status.
    pub admin: SocketAddr,
    /// Address for frames between instances, over UDP and TCP.
    pub fleet: SocketAddr,
    /// Addresses of the store's gateway.
    pub store: Vec<SocketAddr>,
    /// Address of the platform's list of instances.
    #[serde(default)]
    pub instance_list: Option<SocketAddr>,
    /// Address of the service that rates answers.
    #[serde(default)]
    pub rating: Option<SocketAddr>,
    /// Address of the weight store.
    #[serde(default)]
    pub weight_store: Option<SocketAddr>,
    /// Secret shared by the instances of the fleet, at least 16 characters long.
    pub fleet_key: Arc<str>,
    /// Other values of `fleet_key`; session tokens and frames made with them are still accepted.
    #[serde(default)]
    pub old_fleet_keys: Vec<Arc<str>>,
    /// Number of traffic threads.
    #[serde(default = "default_threads")]
    pub traffic_threads: usize,
    /// Maximum time to wait for in-flight requests on shutdown.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_drain", rename = "drain_ms")]
    pub drain: Duration,
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

/// A problem in the settings.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{path}: {what}: {remedy}")]
pub struct Problem {
    /// Path of the setting.
    pub path: Arc<str>,
    /// What is wrong.
    pub what: Arc<str>,
    /// How to correct it.
    pub remedy: Arc<str>,
}

impl Problem {
    /// Creates a problem.
    pub fn new(path: &str, what: &str, remedy: &str) -> Self {
        Self { path: path.into(), what: what.into(), remedy: remedy.into() }
    }
}

/// Error of reading or parsing settings.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The file can't be read.
    #[display("{} can't be read: check that it exists and may be read", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// The file is not JSON with comments.
    #[display("{message}: mend the syntax")]
    Syntax {
        /// Message of the parser.
        message: Arc<str>,
    },
    /// Keys, types or values are wrong.
    #[display("{} problems: mend each of them", problems.len())]
    Invalid {
        /// All problems.
        #[error(not(source))]
        problems: Vec<Problem>,
    },
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or its content is not valid settings.
    pub fn read(path: &Path) -> Result<Self, Error> {
        schema::read(path, &SCHEMA)
    }

    /// Reads settings from text.
    ///
    /// # Errors
    ///
    /// Returns an error that lists every problem if the text is not valid settings.
    pub fn parse(text: &str) -> Result<Self, Error> {
        schema::parse(text, &SCHEMA)
    }
}

const fn default_threads() -> usize {
    2
}

const fn default_drain() -> Duration {
    Duration::from_secs(30)
}

const fn default_memory_mb() -> u32 {
    DEFAULT_MEMORY_MB
}

fn default_level() -> Arc<str> {
    "info".into()
}
