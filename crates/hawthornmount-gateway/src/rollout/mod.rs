//! Roll-outs of a service's versions, coordinated through the store.
//!
//! Every instance runs the same driver; there is no leader election. The phase of a roll-out is one
//! record in the store that changes only by compare-and-swap. Two concurrent drivers therefore cost
//! a rejected write but never produce a wrong phase, and any instance can continue a roll-out after
//! another one has stopped. An instance reports its observations of the new version and whether
//! requests still run on the old version.

pub mod comparison;
pub mod counts;
pub mod driver;
pub mod evidence;
pub mod latency;
pub mod plan;
pub mod sessions;
pub mod slowness;
pub mod verdict;
pub mod waits;

pub use driver::Driver;

use {
    crate::registry::Server,
    hawthornmount_core::id::{Revision, ServiceId, VersionId},
    serde::{Deserialize, Serialize},
};

/// Phase of a roll-out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// A small share of the requests that belong to no session goes to the new version.
    Canary,
    /// A small share of all sessions goes to the new version.
    Probe,
    /// A larger share of all sessions goes to the new version.
    Widening,
    /// Every session goes to the new version; the old version finishes its requests.
    Full,
    /// The old version is no longer used.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

/// State of a roll-out in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Revision of the order. A later order starts a new roll-out.
    pub order: Revision,
    /// Version that is rolled out.
    pub version: VersionId,
    /// Phase of the roll-out.
    pub phase: Phase,
    /// Share of the sessions that builds without [`Phase::Probe`] assign to the new version in the
    /// canary phase; it is 0, because they would move sessions in the first half of the roll-out.
    #[serde(default)]
    pub canary_share: f64,
    /// Whether requests without a prompt fill one server after the other in [`Phase::Full`], because the
    /// version was not tested under load before.
    #[serde(default)]
    pub fills_servers: bool,
    /// Versions that were rolled back by earlier orders and must get no requests, the last one last.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rolled_back: Vec<VersionId>,
}

/// Traffic split of a service while a roll-out is under way.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// Service whose version is rolled out.
    pub service: ServiceId,
    /// Version that is rolled out.
    pub version: VersionId,
    /// Phase of the roll-out.
    pub phase: Phase,
    /// Share of the sessions that go to the new version in [`Phase::Widening`]. Every instance
    /// derives the same share from the order.
    pub widening_share: f64,
    /// Whether requests without a prompt fill one server after the other in [`Phase::Full`].
    pub fills_servers: bool,
}

impl Split {
    /// Returns the share of the requests that go to the new version in the current phase. It grows
    /// from phase to phase.
    pub const fn share(&self) -> f64 {
        match self.phase {
            Phase::Canary => plan::CANARY_SHARE,
            Phase::Probe => plan::PROBE_SHARE,
            Phase::Widening => self.widening_share,
            Phase::Full | Phase::Completed => 1.0,
            Phase::RolledBack => 0.0,
        }
    }

    /// Returns whether a request to the new version is part of its trial, which fills one server after the
    /// other; `is_promptless` is whether it has no prompt.
    pub const fn is_trial(&self, is_promptless: bool) -> bool {
        match self.phase {
            Phase::Probe | Phase::Widening => true,
            Phase::Full => self.fills_servers && is_promptless,
            Phase::Canary | Phase::Completed | Phase::RolledBack => false,
        }
    }

    /// Returns whether `server` runs a version that this roll-out has replaced.
    pub fn has_replaced(&self, server: &Server) -> bool {
        self.phase == Phase::Completed
            && self.service == server.service
            && self.version != server.version
    }
}

impl Phase {
    /// Returns whether the roll-out is over.
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}
