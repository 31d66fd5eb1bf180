//! Finds the route of a request by its host and the longest prefix of its path.

use {
    hawthornmount_core::{
        config::{Config, Route, Target},
        id::ServiceId,
    },
    std::sync::Arc,
};

/// Name of a route.
pub type RouteId = Arc<str>;

/// A route with its name.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Name of the route.
    pub id: RouteId,
    /// The route.
    pub config: Route,
}

/// Routes in order of host and prefix.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Arc<Entry>>,
}

impl Table {
    /// Creates the table of a configuration's routes.
    pub fn new(config: &Config) -> Self {
        let named = |row: &hawthornmount_core::table::Row<Route>| {
            Arc::new(Entry { id: row.id.clone(), config: row.value.clone() })
        };
        let mut rows: Vec<Arc<Entry>> = config.routes.iter().map(named).collect();
        rows.sort_by(|a, b| key(a).cmp(&key(b)));
        Self { rows }
    }

    /// Returns the route of a host whose prefix is the longest that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Entry>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let slashes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        slashes.filter_map(|prefix| self.find_exact(host, prefix)).next()
    }

    fn find_exact(&self, host: &str, prefix: &str) -> Option<&Arc<Entry>> {
        let at = self.rows.binary_search_by(|row| key(row).cmp(&(host, prefix))).ok()?;
        Some(&self.rows[at])
    }
}

fn key(named: &Entry) -> (&str, &str) {
    (&named.config.host, &named.config.path_prefix)
}

/// Returns the service that a point from 0 to 1 falls on when the targets share the line by weight.
pub fn pick_service(targets: &[Target], point: f64) -> Option<&ServiceId> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut left = point.clamp(0.0, 1.0) * total as f64;
    for target in targets.iter().filter(|target| target.weight > 0) {
        left -= f64::from(target.weight);
        if left < 0.0 {
            return Some(&target.service);
        }
    }
    targets.iter().rfind(|target| target.weight > 0).map(|target| &target.service)
}
