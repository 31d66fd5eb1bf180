//! Table that are kept for each version and compared between the new one and the others.

use {
    hawthornmount_core::id::{ServiceId, VersionId},
    serde::{Deserialize, Serialize},
};

/// A sum that grows by others of its kind.
pub trait Aggregate: Copy + Default {
    /// Adds another.
    fn add(&mut self, other: Self);
}

/// Table of one scope, by the new version and by the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Comparison<S, T> {
    /// What is summed.
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
    sum: T,
}

/// Table in order of service, version and scope.
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
    /// Returns the sum of a scope by a version.
    pub fn of(&mut self, service: &ServiceId, version: &VersionId, scope: S) -> &mut T {
        let wanted = (service, version, &scope);
        let found =
            self.rows.binary_search_by(|row| (&row.service, &row.version, &row.scope).cmp(&wanted));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let (service, version) = (service.clone(), version.clone());
                self.rows.insert(at, Row { service, version, scope, sum: T::default() });
                at
            }
        };
        &mut self.rows[at].sum
    }

    /// Forgets the sums of a service.
    pub fn forget(&mut self, service: &ServiceId) {
        self.rows.retain(|row| row.service != *service);
    }

    /// Returns the sums of a version beside those of the others of its service.
    pub fn compare(&self, service: &ServiceId, version: &VersionId) -> Vec<Comparison<S, T>> {
        let rows = self.rows.iter().filter(|row| row.service == *service);
        merge(rows.map(|row| {
            let (none, scope) = (T::default(), row.scope.clone());
            if row.version == *version {
                Comparison { scope, new: row.sum, old: none }
            } else {
                Comparison { scope, new: none, old: row.sum }
            }
        }))
    }
}

/// Adds up the sums of each scope; the scopes come in order.
pub fn merge<S: Ord, T: Aggregate>(
    all: impl Iterator<Item = Comparison<S, T>>,
) -> Vec<Comparison<S, T>> {
    let mut merged: Vec<Comparison<S, T>> = Vec::new();
    for one in all {
        match merged.binary_search_by(|known| known.scope.cmp(&one.scope)) {
            Ok(at) => {
                merged[at].new.add(one.new);
                merged[at].old.add(one.old);
            }
            Err(at) => merged.insert(at, one),
        }
    }
    merged
}
