//! Route lookup by host and longest path prefix.

use {
    hawthornmount_core::{
        config::{Config, Route, Target},
        id::ServiceId,
    },
    std::sync::Arc,
};

/// Id of a route.
pub type RouteId = Arc<str>;

/// A configured route with its id.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Id of the route.
    pub id: RouteId,
    /// Configuration of the route.
    pub config: Route,
}

/// Routes, sorted by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Arc<Entry>>,
}

impl Table {
    /// Creates a table of the routes of a configuration.
    pub fn new(config: &Config) -> Self {
        let entry = |row: &hawthornmount_core::table::Row<Route>| {
            Arc::new(Entry { id: row.id.clone(), config: row.value.clone() })
        };
        let mut rows: Vec<Arc<Entry>> = config.routes.iter().map(entry).collect();
        rows.sort_by(|a, b| key(a).cmp(&key(b)));
        Self { rows }
    }

    /// Returns the route of a host with the longest prefix of `path`; a port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Entry>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let slashes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        slashes.filter_map(|prefix| self.get(host, prefix)).next()
    }

    /// Returns the route with exactly this host and path prefix.
    pub fn get(&self, host: &str, prefix: &str) -> Option<&Arc<Entry>> {
        let at = self.rows.binary_search_by(|row| key(row).cmp(&(host, prefix))).ok()?;
        Some(&self.rows[at])
    }
}

fn key(entry: &Entry) -> (&str, &str) {
    (&entry.config.host, &entry.config.path_prefix)
}

/// Returns the service that a uniform draw from 0 to 1 selects among the targets in proportion to
/// their weights, or `None` if all weights are 0.
pub fn pick_service(targets: &[Target], draw: f64) -> Option<&ServiceId> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut remaining = draw.clamp(0.0, 1.0) * total as f64;
    for target in targets.iter().filter(|target| target.weight > 0) {
        remaining -= f64::from(target.weight);
        if remaining < 0.0 {
            return Some(&target.service);
        }
    }
    targets.iter().rfind(|target| target.weight > 0).map(|target| &target.service)
}
