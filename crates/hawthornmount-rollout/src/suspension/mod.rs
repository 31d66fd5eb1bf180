//! Suspensions of versions. They are only added or replaced by newer ones, so that merging them in
//! any order, repeatedly or late gives the same result.

use {
    hawthornmount_core::{
        config::Config,
        id::{InstanceId, ModelId, Revision, VersionId},
        snapshot::Release,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Version that a suspension applies to.
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
    /// Description of the evidence.
    pub text: Arc<str>,
    /// Instance that suspended it.
    pub by: InstanceId,
    /// Time of the suspension in milliseconds since the epoch.
    pub at_ms: u64,
}

/// Suspension of a version.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Suspension {
    /// Version that is suspended.
    pub key: Key,
    /// Reason for the suspension.
    pub cause: Cause,
}

/// Suspensions known to an instance, in order of their keys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Set {
    items: Vec<Suspension>,
}

impl Key {
    /// Returns the release that the key refers to.
    pub fn release(&self) -> Release {
        Release { model: self.model.clone(), version: self.version.clone() }
    }
}

impl Suspension {
    /// Returns whether the suspension is in force under a configuration. It is lifted only by a
    /// revision newer than its own in which the version has a higher generation.
    pub fn is_in_force(&self, revision: Revision, config: &Config) -> bool {
        let newer = revision > self.cause.revision;
        !newer || config.generation(&self.key.model, &self.key.version) <= self.key.generation
    }
}

impl Set {
    /// Merges a suspension and returns whether the set changed. Of two suspensions with the same
    /// key, the one with the newer revision is kept, so that it stays in force the longest.
    pub fn merge(&mut self, suspension: Suspension) -> bool {
        match self.items.binary_search_by(|known| known.key.cmp(&suspension.key)) {
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

    /// Returns the suspensions that are in force under a configuration, in order of their keys.
    pub fn in_force(&self, revision: Revision, config: &Config) -> Vec<&Suspension> {
        self.items.iter().filter(|one| one.is_in_force(revision, config)).collect()
    }

    /// Returns all suspensions, in order of their keys.
    pub fn all(&self) -> &[Suspension] {
        &self.items
    }
}
