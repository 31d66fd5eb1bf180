//! Immutable view of the configuration and the servers, which request processing reads without
//! locks.

use {
    crate::{
        registry::{Readiness, Server},
        rollout::{Phase, Split},
        route::{Entry, Table},
        schema::Configuration,
    },
    arc_swap::ArcSwap,
    hawthornmount_core::{
        config::{Config, Limits, Rank, key_hash},
        id::{AccountId, DataCentreId, RegionId, Revision, ServiceId, VersionId},
    },
    hawthornmount_policy::residency::Regions,
    std::sync::Arc,
};

/// Client account to which a key belongs.
#[derive(Clone, Debug)]
pub struct Principal {
    /// Id of the account.
    pub account: AccountId,
    /// Priority of the account's requests; `None` means that the priority of the route applies.
    pub rank: Option<Rank>,
}

#[derive(Clone, Debug)]
struct Key {
    hash: Arc<str>,
    principal: Principal,
}

/// Servers that can receive the requests of a service.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// The service.
    pub service: ServiceId,
    /// Servers that accept requests, sorted by id.
    pub servers: Vec<Arc<Server>>,
}

/// A version to which requests of a service are currently not sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Exclusion {
    /// The service.
    pub service: ServiceId,
    /// The version.
    pub version: VersionId,
}

/// Part of the configuration that request processing needs, prepared for lookups by host, path and
/// key.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Revision of the configuration; 0 if there is none yet.
    pub revision: Revision,
    /// Version that the operator gave the configuration.
    pub version: u64,
    /// Routes.
    pub routes: Table,
    /// Limits for callers.
    pub limits: Limits,
    /// Whether requests need a key, except on anonymous routes.
    pub requires_keys: bool,
    keys: Vec<Key>,
    /// Regions of the accounts whose requests may not be served in all, in order of the accounts.
    residencies: Vec<(AccountId, Vec<RegionId>)>,
}

/// Configuration and servers at one point in time.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Rules of the configuration.
    pub rules: Arc<Rules>,
    /// Traffic splits of the roll-outs.
    splits: Vec<Split>,
    endpoints: Vec<Endpoints>,
    /// Data centres that are evacuated; the endpoints hold none of their servers.
    pub evacuated: Vec<DataCentreId>,
}

impl Rules {
    /// Creates the rules of a configuration.
    pub fn new(revision: Revision, configuration: &Configuration) -> Self {
        let config = &configuration.config;
        Self {
            revision,
            version: configuration.version,
            routes: Table::new(config),
            limits: config.limits.clone(),
            requires_keys: !config.accounts.is_empty(),
            keys: keys(config),
            residencies: residencies(config),
        }
    }

    /// Returns the regions in which a request may be served. `route` is the route that was found for
    /// it; if the configuration has changed since, its present regions apply.
    pub fn regions(&self, route: &Entry, account: Option<&AccountId>) -> Regions {
        let current = self.routes.get(&route.config.host, &route.config.path_prefix);
        let of_route = current
            .map_or(&*route.config.allowed_regions, |current| &*current.config.allowed_regions);
        let of_account = account.and_then(|account| {
            let found = self.residencies.binary_search_by(|(known, _)| known.cmp(account));
            found.ok().map(|at| &*self.residencies[at].1)
        });
        Regions::common([of_route].into_iter().chain(of_account))
    }

    /// Returns the account to which a key belongs.
    pub fn principal(&self, key: &str) -> Option<&Principal> {
        let hash = key_hash(key);
        let at = self.keys.binary_search_by(|key| key.hash.cmp(&hash)).ok()?;
        Some(&self.keys[at].principal)
    }
}

impl View {
    /// Creates a view of the rules and of the servers that are ready and whose version is not
    /// excluded.
    pub fn new<'a>(
        rules: Arc<Rules>,
        servers: impl Iterator<Item = &'a Arc<Server>>,
        exclusions: &[Exclusion],
        splits: Vec<Split>,
    ) -> Self {
        let mut view = Self { rules, splits, ..Self::default() };
        for server in servers.filter(|server| server.readiness == Readiness::Ready) {
            if !view.is_excluded(server, exclusions) {
                view.add(server);
            }
        }
        view
    }

    fn is_excluded(&self, server: &Server, exclusions: &[Exclusion]) -> bool {
        exclusions.iter().any(|exclusion| {
            exclusion.service == server.service && exclusion.version == server.version
        }) || self.splits.iter().any(|split| split.has_replaced(server))
    }

    fn add(&mut self, server: &Arc<Server>) {
        match self.position(&server.service) {
            Ok(at) => self.endpoints[at].servers.push(server.clone()),
            Err(at) => {
                let endpoints =
                    Endpoints { service: server.service.clone(), servers: vec![server.clone()] };
                self.endpoints.insert(at, endpoints);
            }
        }
    }

    /// Returns the servers of a service that accept requests.
    pub fn servers(&self, service: &str) -> &[Arc<Server>] {
        self.position(service).map_or(&[], |at| &self.endpoints[at].servers)
    }

    /// Returns the traffic split of a service, unless its roll-out was rolled back.
    pub fn split(&self, service: &str) -> Option<&Split> {
        let is_of_service = |split: &&Split| *split.service == *service;
        self.splits.iter().find(is_of_service).filter(|split| split.phase != Phase::RolledBack)
    }

    /// Returns whether a server accepts requests of any service.
    pub fn has_server(&self, id: &str) -> bool {
        self.all_servers().any(|server| *server.id == *id)
    }

    /// Returns whether the start of a server at `start_ms` accepts requests of any service.
    pub fn has_start(&self, id: &str, start_ms: u64) -> bool {
        self.all_servers().any(|server| *server.id == *id && server.start_ms == start_ms)
    }

    /// Returns whether a server of a service accepts requests, and has not been restarted.
    pub fn accepts(&self, server: &Server) -> bool {
        let servers = self.servers(&server.service);
        servers.iter().any(|one| one.id == server.id && one.start_ms == server.start_ms)
    }

    /// Returns whether a later start of a server, or of another one at its address, accepts requests.
    pub fn has_later_start(&self, server: &Server) -> bool {
        let is_later = |one: &Arc<Server>| {
            one.start_ms > server.start_ms && (one.id == server.id || one.address == server.address)
        };
        self.all_servers().any(is_later)
    }

    /// Returns the servers of all services that accept requests.
    pub fn all_servers(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.endpoints.iter().flat_map(|endpoints| &endpoints.servers)
    }

    fn position(&self, service: &str) -> Result<usize, usize> {
        self.endpoints.binary_search_by(|endpoints| (*endpoints.service).cmp(service))
    }
}

/// Returns the keys of all accounts, sorted by hash.
fn keys(config: &Config) -> Vec<Key> {
    let mut keys = Vec::new();
    for row in &config.accounts {
        for hash in &row.value.key_hashes {
            let principal = Principal { account: row.id.clone(), rank: row.value.rank };
            keys.push(Key { hash: hash.clone(), principal });
        }
    }
    keys.sort_by(|a, b| a.hash.cmp(&b.hash));
    keys
}

/// Returns the regions of the accounts that are restricted to some, sorted by account.
fn residencies(config: &Config) -> Vec<(AccountId, Vec<RegionId>)> {
    let restricted = config.accounts.iter().filter(|row| !row.value.allowed_regions.is_empty());
    let mut rows: Vec<_> =
        restricted.map(|row| (row.id.clone(), row.value.allowed_regions.clone())).collect();
    rows.sort_unstable();
    rows
}

/// Holds the current view: the control thread publishes it, and request processing reads it.
#[derive(Debug, Default)]
pub struct Cell(ArcSwap<View>);

impl Cell {
    /// Returns the current view.
    pub fn load(&self) -> Arc<View> {
        self.0.load_full()
    }

    /// Replaces the current view.
    pub fn publish(&self, view: View) {
        self.0.store(Arc::new(view));
    }
}
