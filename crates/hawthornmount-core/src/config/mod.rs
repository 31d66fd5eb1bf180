//! Configuration that operators give: accounts, models and versions, cascades, roll-outs, servers
//! and services. It is the merged result of the folder; see [`crate::merge`].

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

/// The whole configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Client accounts.
    pub accounts: Table<Account>,
    /// Models with their versions.
    pub models: Table<Model>,
    /// Cascades of models from cheap to costly.
    pub cascades: Table<Cascade>,
    /// Roll-outs of versions.
    pub rollouts: Table<Rollout>,
    /// Backend servers.
    pub servers: Table<Server>,
    /// Plain services.
    pub services: Table<Service>,
    /// Routes of opaque requests by host and path.
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
    /// Share of the fleet against the other accounts' weights.
    #[serde(default = "one")]
    pub weight: u32,
    /// Cascade for requests that name the cascade, or no model.
    #[serde(default)]
    pub cascade: Option<CascadeId>,
    /// Models and versions that the account may use.
    pub allow: Vec<Allowance>,
    /// Services that the account may use.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// Chance that an answer has to be good, from 0 to 1.
    #[serde(default = "default_quality")]
    pub quality_target: f64,
    /// Higher goes first when the fleet is full.
    #[serde(default)]
    pub priority: u8,
    /// Whether non-idempotent calls without an `Idempotency-Key` are refused.
    #[serde(default)]
    pub require_key: bool,
    /// Urgency of the account's requests on routes; absent means the route's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<Rank>,
}

/// A model that an account may use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Allowance {
    /// The model.
    pub model: ModelId,
    /// The versions of it; absent means every version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<Vec<VersionId>>,
}

/// A model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Price of a thousand tokens, in micro-units.
    pub price: MicroCost,
    /// Versions of the model.
    pub versions: Table<Version>,
    /// Version that new sessions get unless a roll-out says otherwise.
    pub stable: VersionId,
}

/// A version of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// What the version may be used for.
    pub state: State,
    /// Reference of the weights in the weight store.
    #[serde(default)]
    pub weights: Option<Arc<str>>,
    /// Number that an operator raises to lift a suspension.
    #[serde(default)]
    pub generation: u64,
}

/// What a version may be used for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Under a roll-out, or waiting for one.
    Candidate,
    /// Proven in use.
    Proven,
    /// No new work.
    Withdrawn,
}

/// Models to try in order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cascade {
    /// Models from cheap to costly.
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
    /// Parts of the new sessions, from 0 to 1, growing.
    pub steps: Vec<f64>,
    /// Least time on a step.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "step_ms")]
    pub step: Duration,
    /// Rated answers that a step needs before it widens.
    #[serde(default)]
    pub min_samples: u32,
    /// Number that grows with each new try of the same roll-out.
    #[serde(default)]
    pub generation: u64,
}

/// A backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Requests that can run at a time.
    pub slots: u32,
    /// Models that it may load; empty for a server of plain services.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Services that it answers; empty for a model engine.
    #[serde(default)]
    pub services: Vec<ServiceId>,
    /// Whether it refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A plain service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Calls that may be repeated; every other call is non-idempotent.
    #[serde(default)]
    pub idempotent: Vec<Call>,
    /// Whether non-idempotent calls without an `Idempotency-Key` are refused.
    #[serde(default)]
    pub require_key: bool,
    /// Price of a call, in micro-units.
    #[serde(default)]
    pub price: MicroCost,
    /// Path that answers whether a server of the service is healthy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<Arc<str>>,
    /// Connections that one server takes from all instances together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connection_limit: Option<u32>,
    /// Tokens that one engine of the service keeps in its cache; absent for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cache_tokens: Option<u64>,
}

/// Calls of a service by method and path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// HTTP method.
    pub method: Arc<str>,
    /// First characters of the path after the service's name; empty matches all.
    #[serde(default)]
    pub path: Arc<str>,
}

/// A data centre.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Region that it stands in.
    pub region: RegionId,
    /// Price of a megabyte to or from another region, in micro-units.
    #[serde(default)]
    pub transfer_price: MicroCost,
}

/// Limits on requests.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Deadline of a request that gives none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Retries in a hundred successes.
    pub retry_percent: u32,
    /// Longest head of a request on a route, in bytes.
    pub head_bytes: usize,
    /// Time in which the head of a request on a route has to arrive.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "head_timeout_ms")]
    pub head_timeout: Duration,
    /// Time after which an idle connection of a caller is closed.
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
        let owner = self.accounts.iter().find(|row| row.value.key_hashes.contains(&hash))?;
        Some(owner.id.clone())
    }

    /// Returns the generation of a version: the highest of its own and of the roll-outs to it.
    pub fn generation(&self, model: &str, version: &str) -> u64 {
        let row = self.models.get(model).and_then(|model| model.versions.get(version));
        let own = row.map_or(0, |version| version.generation);
        let to = |row: &&Row<Rollout>| *row.value.model == *model && *row.value.to == *version;
        let tries = self.rollouts.iter().filter(to).map(|row| row.value.generation);
        tries.fold(own, u64::max)
    }
}

impl Account {
    /// Tells whether the account may use the version.
    pub fn allows(&self, model: &str, version: &str) -> bool {
        self.allow.iter().any(|allowance| allowance.covers(model, version))
    }
}

impl Allowance {
    fn covers(&self, model: &str, version: &str) -> bool {
        let versions = self.versions.as_ref();
        *self.model == *model
            && versions.is_none_or(|versions| versions.iter().any(|one| **one == *version))
    }
}

impl Service {
    /// Tells whether a call may be repeated.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.idempotent
            .iter()
            .any(|call| call.method.eq_ignore_ascii_case(method) && path.starts_with(&*call.path))
    }
}

/// Returns the hash of a key as the configuration holds it.
pub fn key_hash(key: &str) -> Arc<str> {
    blake3::hash(key.as_bytes()).to_hex().as_str().into()
}

const fn one() -> u32 {
    1
}

const fn default_quality() -> f64 {
    0.9
}
