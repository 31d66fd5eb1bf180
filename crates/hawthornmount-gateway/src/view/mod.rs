//! Immutable view of configuration and servers that the traffic thread reads without locks.

use {
    crate::{
        registry::{Readiness, Server},
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
pub struct Holder {
    /// The account.
    pub account: AccountId,
    /// Urgency of the account's requests, if it differs from the route's.
    pub rank: Option<Rank>,
}

#[derive(Clone, Debug)]
struct Key {
    hash: Arc<str>,
    holder: Holder,
}

/// A service with the servers that may get its requests.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The service.
    pub service: ServiceId,
    /// Servers that take requests, in order of their names.
    pub servers: Vec<Arc<Server>>,
}

/// A version that gets no requests of a service for now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Held {
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
    pub keyed: bool,
    keys: Vec<Key>,
}

/// Configuration and servers at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// What the configuration says.
    pub rules: Arc<Rules>,
    /// Roll-outs by which requests are split.
    splits: Vec<Split>,
    pools: Vec<Pool>,
}

impl Rules {
    /// Creates the rules of a configuration.
    pub fn new(revision: Revision, config: &Config) -> Self {
        Self {
            revision,
            routes: Table::new(config),
            limits: config.limits.clone(),
            keyed: !config.accounts.is_empty(),
            keys: keys(config),
        }
    }

    /// Returns the account that a key belongs to.
    pub fn holder(&self, key: &str) -> Option<&Holder> {
        let hash = key_hash(key);
        let at = self.keys.binary_search_by(|key| key.hash.cmp(&hash)).ok()?;
        Some(&self.keys[at].holder)
    }
}

impl View {
    /// Creates a view of rules and the servers that take requests under them.
    pub fn new<'a>(
        rules: Arc<Rules>,
        servers: impl Iterator<Item = &'a Arc<Server>>,
        held: &[Held],
        splits: Vec<Split>,
    ) -> Self {
        let mut view = Self { rules, splits, pools: Vec::new() };
        for server in servers.filter(|server| server.readiness == Readiness::Ready) {
            if !view.is_held(server, held) {
                view.add(server);
            }
        }
        view
    }

    fn is_held(&self, server: &Server, held: &[Held]) -> bool {
        held.iter().any(|one| one.service == server.service && one.version == server.version)
            || self.splits.iter().any(|split| split.has_replaced(server))
    }

    fn add(&mut self, server: &Arc<Server>) {
        match self.position(&server.service) {
            Ok(at) => self.pools[at].servers.push(server.clone()),
            Err(at) => {
                let pool = Pool { service: server.service.clone(), servers: vec![server.clone()] };
                self.pools.insert(at, pool);
            }
        }
    }

    /// Returns the servers of a service that take requests.
    pub fn servers(&self, service: &str) -> &[Arc<Server>] {
        self.position(service).map_or(&[], |at| &self.pools[at].servers)
    }

    /// Returns the roll-out by which a service's requests are split.
    pub fn split(&self, service: &str) -> Option<&Split> {
        let is_wanted = |split: &&Split| *split.service == *service;
        self.splits.iter().find(is_wanted).filter(|split| split.phase != Phase::RolledBack)
    }

    /// Tells whether a server takes requests of any service.
    pub fn knows(&self, id: &str) -> bool {
        self.pools.iter().flat_map(|pool| &pool.servers).any(|server| *server.id == *id)
    }

    fn position(&self, service: &str) -> Result<usize, usize> {
        self.pools.binary_search_by(|pool| (*pool.service).cmp(service))
    }
}

/// Returns the keys of all accounts in order of their hashes.
fn keys(config: &Config) -> Vec<Key> {
    let mut keys = Vec::new();
    for row in &config.accounts {
        for hash in &row.value.key_hashes {
            let holder = Holder { account: row.id.clone(), rank: row.value.rank };
            keys.push(Key { hash: hash.clone(), holder });
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
