//! Configuration model: accounts, models and versions, cascades, roll-outs, servers, services,
//! routes, data centres and limits. Operators write it as a folder of files that are merged; see
//! [`crate::merge`].

mod check;
mod route;

pub use {
    check::{Finding, check},
    route::{Kind, Rank, Route, Target},
};

use {
    crate::{
        id::{AccountId, CascadeId, DataCentreId, ModelId, RegionId, ServiceId, VersionId},
        table::{Row, Table},
        units::MicroCost,
    },
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The complete configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Client accounts.
    pub accounts: Table<Account>,
    /// Models with their versions.
    pub models: Table<Model>,
    /// Cascades of models, ordered from cheap to costly.
    pub cascades: Table<Cascade>,
    /// Roll-outs of versions.
    pub rollouts: Table<Rollout>,
    /// Backend servers.
    pub servers: Table<Server>,
    /// Services that requests address by name or reach through a route.
    pub services: Table<Service>,
    /// Routes of opaque requests, matched by host and path.
    pub routes: Table<Route>,
    /// Data centres.
    pub data_centres: Table<DataCentre>,
    /// Limits on requests.
    pub limits: Limits,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// BLAKE3 hashes, in hexadecimal, of the keys that the account may use.
    pub key_hashes: Vec<Arc<str>>,
    /// Weight of the account's share of the fleet's capacity, relative to the other accounts.
    #[serde(default = "one")]
    pub weight: u32,
    /// Cascade used for requests that name it or name no model.
    #[serde(default)]
    pub cascade: Option<CascadeId>,
    /// Models and versions that the account may use.
    pub allow: Vec<Allowance>,
    /// Services that the account may use.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// Required probability that an answer is good, from 0 to 1.
    #[serde(default = "default_quality")]
    pub quality_target: f64,
    /// Priority when the fleet is at capacity; accounts with a higher value go first.
    #[serde(default)]
    pub priority: u8,
    /// Whether non-idempotent calls without an `Idempotency-Key` are refused.
    #[serde(default)]
    pub require_key: bool,
    /// Urgency of the account's requests on routes; if absent, the route's rank applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<Rank>,
    /// Regions in which the account's requests may be served; empty if they may be served in all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<RegionId>,
}

/// A model that an account may use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Allowance {
    /// The model.
    pub model: ModelId,
    /// Allowed versions of the model; if absent, every version is allowed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<Vec<VersionId>>,
}

/// A model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Price per thousand tokens, in micro-units.
    pub price: MicroCost,
    /// Versions of the model.
    pub versions: Table<Version>,
    /// Version that new sessions get, except those that a roll-out assigns to another version.
    pub stable: VersionId,
}

/// A version of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// State that decides which requests may use the version.
    pub state: State,
    /// Reference to the model's weights in the weight store.
    #[serde(default)]
    pub weights: Option<Arc<str>>,
    /// Generation, which an operator increments to lift a suspension.
    #[serde(default)]
    pub generation: u64,
}

/// State of a version, which decides which requests may use it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In a roll-out, or waiting for one.
    Candidate,
    /// Proven in use, so that it may replace the stable version while that is withdrawn or
    /// suspended.
    Proven,
    /// Gets no new requests.
    Withdrawn,
}

/// Sequence of models that a request tries in order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// Models, ordered from cheap to costly.
    pub models: Vec<ModelId>,
}

/// A roll-out of a version.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Model that is rolled out.
    pub model: ModelId,
    /// Version that is rolled out.
    pub to: VersionId,
    /// Fraction of the model's new sessions at each step: increasing, above 0 and up to 1.
    pub steps: Vec<f64>,
    /// Minimum duration of a step.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "step_ms")]
    pub step: Duration,
    /// Minimum number of rated answers on a step before the next one starts.
    #[serde(default)]
    pub min_samples: u32,
    /// Generation, which increases with each new attempt at the same roll-out.
    #[serde(default)]
    pub generation: u64,
}

/// A backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: DataCentreId,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Models that the server may load; empty for a server without a model engine.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Services that the server provides; empty for a model engine.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// Whether the server rejects orders that carry an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A service that requests address by name or reach through a route.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Calls that may safely be repeated; every other call is non-idempotent.
    #[serde(default)]
    pub idempotent: Vec<Call>,
    /// Whether non-idempotent calls without an `Idempotency-Key` are refused.
    #[serde(default)]
    pub require_key: bool,
    /// Price per call, in micro-units.
    #[serde(default)]
    pub price: MicroCost,
    /// Path of the health check of a server of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<Arc<str>>,
    /// Maximum number of connections to one server, over all instances together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connection_limit: Option<u32>,
    /// Capacity of the cache of one engine of the service, in tokens; absent for a service without
    /// engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cache_tokens: Option<u64>,
    /// What a server takes while it is cold; absent if its servers take any rate from their start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_start: Option<ColdStart>,
}

/// What a server of a service takes while it is cold: after a start, or after it was away.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Time for which a server is cold after its start.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "duration_ms")]
    pub duration: Duration,
    /// Requests a second that a cold server takes from the whole fleet.
    pub per_second: f64,
}

/// Pattern that matches calls of a service by method and path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// HTTP method.
    pub method: Arc<str>,
    /// Prefix of the path after the service's name; empty matches every path.
    #[serde(default)]
    pub path: Arc<str>,
}

/// A data centre.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Region of the data centre.
    pub region: RegionId,
    /// Price per megabyte transferred to or from another region, in micro-units.
    #[serde(default)]
    pub transfer_price: MicroCost,
}

/// Limits on requests.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Default deadline of a request that gives none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Retry budget: retries allowed per hundred successful requests.
    pub retry_percent: u32,
    /// Maximum size of the head of a request on a route, in bytes.
    pub head_bytes: usize,
    /// Time limit for receiving the head of a request on a route.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "head_timeout_ms")]
    pub head_timeout: Duration,
    /// Time after which an idle caller connection is closed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_timeout_ms")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1_048_576,
            deadline: Duration::from_secs(60),
            retry_percent: 10,
            head_bytes: 16_384,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

impl Config {
    /// Returns the account that a key belongs to.
    pub fn account_by_key(&self, key: &str) -> Option<AccountId> {
        let hash = key_hash(key);
        let account = self.accounts.iter().find(|row| row.value.key_hashes.contains(&hash))?;
        Some(account.id.clone())
    }

    /// Returns the effective generation of a version: the maximum of its own generation and those
    /// of the roll-outs to it.
    pub fn generation(&self, model: &str, version: &str) -> u64 {
        let row = self.models.get(model).and_then(|model| model.versions.get(version));
        let own = row.map_or(0, |version| version.generation);
        let targets_version =
            |row: &&Row<Rollout>| *row.value.model == *model && *row.value.to == *version;
        let rollouts = self.rollouts.iter().filter(targets_version);
        rollouts.map(|row| row.value.generation).fold(own, u64::max)
    }
}

impl Account {
    /// Returns whether the account may use the version.
    pub fn allows(&self, model: &str, version: &str) -> bool {
        self.allow.iter().any(|allowance| allowance.includes(model, version))
    }
}

impl Allowance {
    fn includes(&self, model: &str, version: &str) -> bool {
        let versions = self.versions.as_ref();
        *self.model == *model
            && versions.is_none_or(|versions| versions.iter().any(|allowed| **allowed == *version))
    }
}

impl Service {
    /// Returns whether a call may safely be repeated.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.idempotent
            .iter()
            .any(|call| call.method.eq_ignore_ascii_case(method) && path.starts_with(&*call.path))
    }
}

/// Returns the hash of a key in the form that the configuration stores.
pub fn key_hash(key: &str) -> Arc<str> {
    blake3::hash(key.as_bytes()).to_hex().as_str().into()
}

const fn one() -> u32 {
    1
}

const fn default_quality() -> f64 {
    0.9
}
