//! Suspensions: facts that only grow. Merging them in any order, twice or late gives one result.

use {
    hawthornmount_core::{
        config::Config,
        id::{InstanceId, ModelId, Revision, VersionId},
        snapshot::Release,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// What a suspension is about.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// Generation of the version when it was suspended.
    pub generation: u64,
}

/// Why, where and when a version was suspended.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Cause {
    /// Configuration revision of the instance that suspended it.
    pub revision: Revision,
    /// The evidence in words.
    pub text: Arc<str>,
    /// Instance that suspended it.
    pub by: InstanceId,
    /// Milliseconds since the epoch.
    pub at_ms: u64,
}

/// A suspended version.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Suspension {
    /// What is suspended.
    pub key: Key,
    /// Why.
    pub cause: Cause,
}

/// All suspensions that an instance knows, in order of their keys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Set {
    items: Vec<Suspension>,
}

impl Key {
    /// Returns the release.
    pub fn release(&self) -> Release {
        Release { model: self.model.clone(), version: self.version.clone() }
    }
}

impl Suspension {
    /// Tells whether the suspension holds under a configuration. Only a revision newer than its
    /// own in which the version has a higher generation lifts it.
    pub fn holds(&self, revision: Revision, config: &Config) -> bool {
        let newer = revision > self.cause.revision;
        !newer || config.generation(&self.key.model, &self.key.version) <= self.key.generation
    }
}

impl Set {
    /// Takes a suspension and tells whether it was news. Of two on one key the one with the newest
    /// revision stays, so that it is lifted last.
    pub fn merge(&mut self, suspension: Suspension) -> bool {
        match self.items.binary_search_by(|one| one.key.cmp(&suspension.key)) {
            Ok(at) if self.items[at].cause >= suspension.cause => false,
            Ok(at) => {
                self.items[at] = suspension;
                true
            }
            Err(at) => {
                self.items.insert(at, suspension);
                true
            }
        }
    }

    /// Returns the suspensions that hold under a configuration, in order.
    pub fn in_force(&self, revision: Revision, config: &Config) -> Vec<&Suspension> {
        self.items.iter().filter(|one| one.holds(revision, config)).collect()
    }

    /// Returns every suspension, in order.
    pub fn all(&self) -> &[Suspension] {
        &self.items
    }
}
