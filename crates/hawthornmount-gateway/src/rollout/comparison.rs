//! Values that are aggregated for each version and compared between the new version and the others.

use {
    hawthornmount_core::id::{ServiceId, VersionId},
    serde::{Deserialize, Serialize},
};

/// Value that aggregates observations.
pub trait Aggregate: Copy + Default {
    /// Adds the observations of another value.
    fn add(&mut self, other: Self);
}

/// Aggregates of one scope for the new version and for the other versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Comparison<S, T> {
    /// Scope of the aggregates.
    pub scope: S,
    /// Aggregate of the new version.
    pub new: T,
    /// Aggregate of the other versions.
    pub old: T,
}

#[derive(Clone, Debug)]
struct Row<S, T> {
    service: ServiceId,
    version: VersionId,
    scope: S,
    aggregate: T,
}

/// Aggregates in order of service, version and scope.
#[derive(Clone, Debug)]
pub struct Table<S, T> {
    rows: Vec<Row<S, T>>,
}

impl<S, T> Default for Table<S, T> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<S: Clone + Ord, T: Aggregate> Table<S, T> {
    /// Returns the aggregate of a version and scope, creating it if it is missing.
    pub fn entry(&mut self, service: &ServiceId, version: &VersionId, scope: S) -> &mut T {
        let key = (service, version, &scope);
        let found =
            self.rows.binary_search_by(|row| (&row.service, &row.version, &row.scope).cmp(&key));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let (service, version) = (service.clone(), version.clone());
                self.rows.insert(at, Row { service, version, scope, aggregate: T::default() });
                at
            }
        };
        &mut self.rows[at].aggregate
    }

    /// Returns the aggregates of all versions of a service in one scope.
    pub fn by_version(&self, service: &ServiceId, scope: &S) -> impl Iterator<Item = T> {
        let is_in_scope = move |row: &&Row<S, T>| row.service == *service && row.scope == *scope;
        self.rows.iter().filter(is_in_scope).map(|row| row.aggregate)
    }

    /// Removes the aggregates of a service.
    pub fn forget(&mut self, service: &ServiceId) {
        self.rows.retain(|row| row.service != *service);
    }

    /// Returns the aggregates of `version` and of the other versions of its service, in order of
    /// scope.
    pub fn compare(&self, service: &ServiceId, version: &VersionId) -> Vec<Comparison<S, T>> {
        let rows = self.rows.iter().filter(|row| row.service == *service);
        merge(rows.map(|row| {
            let (empty, scope) = (T::default(), row.scope.clone());
            if row.version == *version {
                Comparison { scope, new: row.aggregate, old: empty }
            } else {
                Comparison { scope, new: empty, old: row.aggregate }
            }
        }))
    }
}

/// Merges comparisons of the same scope. The result is in order of scope.
pub fn merge<S: Ord, T: Aggregate>(
    all: impl Iterator<Item = Comparison<S, T>>,
) -> Vec<Comparison<S, T>> {
    let mut merged: Vec<Comparison<S, T>> = Vec::new();
    for comparison in all {
        match merged.binary_search_by(|known| known.scope.cmp(&comparison.scope)) {
            Ok(at) => {
                merged[at].new.add(comparison.new);
                merged[at].old.add(comparison.old);
            }
            Err(at) => merged.insert(at, comparison),
        }
    }
    merged
}
