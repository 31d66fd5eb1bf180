//! Immutable view of configuration and servers that the traffic thread reads without locks.

use {
    crate::{
        registry::{Server, Standing},
        rollout::{Phase, Split},
        route::Table,
    },
    arc_swap::ArcSwap,
    hawthornmount_core::{
        config::{Config, Limits, Rank, key_hash},
        id::{AccountId, Revision, ServiceId, VersionId},
    },
    std::sync::Arc,
};

/// Account that a key belongs to.
#[derive(Clone, Debug)]
pub struct Principal {
    /// The account.
    pub account: AccountId,
    /// Urgency of the account's requests, if it differs from the route's.
    pub rank: Option<Rank>,
}

#[derive(Clone, Debug)]
struct Key {
    hash: Arc<str>,
    principal: Principal,
}

/// A service with the servers that may get its requests.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// The service.
    pub service: ServiceId,
    /// Servers that take requests, in order of their names.
    pub servers: Vec<Arc<Server>>,
}

/// A version that gets no requests of a service for now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Exclusion {
    /// The service.
    pub service: ServiceId,
    /// The version.
    pub version: VersionId,
}

/// What a configuration says of requests, looked up by host, path and key.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Revision of the configuration; 0 if there is none yet.
    pub revision: Revision,
    /// Routes.
    pub routes: Table,
    /// Limits on callers.
    pub limits: Limits,
    /// Whether requests need a key, unless their route is anonymous.
    pub requires_keys: bool,
    keys: Vec<Key>,
}

/// Configuration and servers at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// What the configuration says.
    pub rules: Arc<Rules>,
    /// Roll-outs by which requests are split.
    splits: Vec<Split>,
    endpoints: Vec<Endpoints>,
}

impl Rules {
    /// Creates the rules of a configuration.
    pub fn new(revision: Revision, config: &Config) -> Self {
        Self {
            revision,
            routes: Table::new(config),
            limits: config.limits.clone(),
            requires_keys: !config.accounts.is_empty(),
            keys: keys(config),
        }
    }

    /// Returns the account that a key belongs to.
    pub fn principal(&self, key: &str) -> Option<&Principal> {
        let hash = key_hash(key);
        let at = self.keys.binary_search_by(|key| key.hash.cmp(&hash)).ok()?;
        Some(&self.keys[at].principal)
    }
}

impl View {
    /// Creates a view of rules and the servers that take requests under them.
    pub fn new<'a>(
        rules: Arc<Rules>,
        servers: impl Iterator<Item = &'a Arc<Server>>,
        exclusions: &[Exclusion],
        splits: Vec<Split>,
    ) -> Self {
        let mut view = Self { rules, splits, endpoints: Vec::new() };
        for server in servers.filter(|server| server.standing == Standing::Ready) {
            if !view.is_excluded(server, exclusions) {
                view.add(server);
            }
        }
        view
    }

    fn is_excluded(&self, server: &Server, exclusions: &[Exclusion]) -> bool {
        exclusions.iter().any(|one| one.service == server.service && one.version == server.version)
            || self.splits.iter().any(|split| split.is_ended_for(server))
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

    /// Returns the servers of a service that take requests.
    pub fn servers(&self, service: &str) -> &[Arc<Server>] {
        self.position(service).map_or(&[], |at| &self.endpoints[at].servers)
    }

    /// Returns the roll-out by which a service's requests are split.
    pub fn split(&self, service: &str) -> Option<&Split> {
        let is_wanted = |split: &&Split| *split.service == *service;
        self.splits.iter().find(is_wanted).filter(|split| split.phase != Phase::RolledBack)
    }

    /// Tells whether a server takes requests of any service.
    pub fn has_server(&self, id: &str) -> bool {
        self.endpoints
            .iter()
            .flat_map(|endpoints| &endpoints.servers)
            .any(|server| *server.id == *id)
    }

    fn position(&self, service: &str) -> Result<usize, usize> {
        self.endpoints.binary_search_by(|endpoints| (*endpoints.service).cmp(service))
    }
}

/// Returns the keys of all accounts in order of their hashes.
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

/// Cell through which the control thread publishes and the traffic thread reads.
#[derive(Debug, Default)]
pub struct Cell(ArcSwap<View>);

impl Cell {
    /// Returns the present view.
    pub fn load(&self) -> Arc<View> {
        self.0.load_full()
    }

    /// Publishes a view.
    pub fn publish(&self, view: View) {
        self.0.store(Arc::new(view));
    }
}
