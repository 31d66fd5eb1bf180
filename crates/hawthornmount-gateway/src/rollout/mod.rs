//! Roll-outs of a service's versions, driven through the store.
//!
//! Every instance runs the same driver; nobody is chosen. The phase of a roll-out is one record in
//! the store that changes only by compare-and-swap, so two drivers cost a refused write and never a
//! wrong phase, and any instance goes on where another died. Instances write what they saw of the
//! new version only when it failed somewhere, and whether requests still run on the old one.

pub mod comparison;
pub mod driver;
pub mod evidence;
pub mod latency;
pub mod plan;
pub mod sessions;

pub use driver::Driver;

use {
    crate::registry::Server,
    hawthornmount_core::id::{Revision, ServiceId, VersionId},
    serde::{Deserialize, Serialize},
};

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// A small share of new sessions goes to the new version.
    Canary,
    /// A larger share of all sessions does.
    Widening,
    /// Every session does; the old version finishes its requests.
    Full,
    /// The old version has ended.
    Completed,
    /// The new version gets nothing.
    RolledBack,
}

/// Record of a roll-out in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Revision of the order; a later order starts anew.
    pub order: Revision,
    /// Version that is rolled out.
    pub version: VersionId,
    /// How far the roll-out is.
    pub phase: Phase,
    /// Share of the new sessions in the first phase; every instance has to draw alike.
    #[serde(default = "plan::most_canary_share")]
    pub canary_share: f64,
}

/// A roll-out under way, as requests are split by it.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// The service.
    pub service: ServiceId,
    /// The new version.
    pub version: VersionId,
    /// How far the roll-out is.
    pub phase: Phase,
    /// Share of the new sessions in the first phase.
    pub canary_share: f64,
}

impl Split {
    /// Returns the share of the sessions that go to the new version; it grows from phase to phase.
    pub const fn share(&self) -> f64 {
        match self.phase {
            Phase::Canary => self.canary_share,
            Phase::Widening => plan::WIDENING_SHARE,
            Phase::Full | Phase::Completed => 1.0,
            Phase::RolledBack => 0.0,
        }
    }

    /// Tells whether a server runs the version that the roll-out has replaced.
    pub fn has_replaced(&self, server: &Server) -> bool {
        self.phase == Phase::Completed
            && self.service == server.service
            && self.version != server.version
    }
}

impl Phase {
    /// Tells whether the roll-out is over.
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}
