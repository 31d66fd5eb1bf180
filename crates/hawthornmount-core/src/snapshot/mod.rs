//! Immutable view of the control state that traffic threads read without locks.

use {
    crate::{
        config::Config,
        id::{
            DataCentreId, Incarnation, InstanceId, ModelId, RegionId, Revision, ServerId, VersionId,
        },
    },
    arc_swap::ArcSwap,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// What a member of the fleet is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// Answers heartbeats.
    Alive,
    /// Missed heartbeats and has not refuted yet.
    Suspect,
    /// Announced that it leaves.
    Leaving,
    /// Given up.
    Dead,
}

/// An entry instance as this instance sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the instance.
    pub id: InstanceId,
    /// Life of the instance.
    pub incarnation: Incarnation,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Address for frames over UDP and TCP.
    pub address: SocketAddr,
    /// What it is doing.
    pub liveness: Liveness,
    /// Configuration revision that it holds.
    pub revision: Revision,
}

/// What a backend server can do now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// Takes requests.
    Up,
    /// Finishes its requests and takes no new ones.
    Leaving,
    /// Does not answer.
    Down,
}

/// A backend server with its last load report.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Name of the server.
    pub id: ServerId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: DataCentreId,
    /// Region of the server.
    pub region: RegionId,
    /// Health as last seen.
    pub health: Health,
    /// Versions that the server has loaded, in order of model and version.
    pub loaded: Vec<Release>,
    /// Requests that can run at a time.
    pub slots: u32,
    /// Requests that ran or queued at the time of the report.
    pub load: u32,
    /// When the report was made.
    pub reported: Option<Instant>,
}

/// A model with one of its versions.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Release {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
}

/// Part of the new sessions of a model that a version under roll-out gets.
#[derive(Clone, Debug)]
pub struct Share {
    /// The version under roll-out.
    pub release: Release,
    /// From 0 to 1.
    pub fraction: f64,
}

/// Immutable control state at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Revision of the configuration in force, 0 if there is none yet.
    pub revision: Revision,
    /// Configuration in force.
    pub config: Arc<Config>,
    /// Members of the fleet in order of their names, this instance included.
    pub members: Arc<[Member]>,
    /// Backend servers in order of their names.
    pub backends: Arc<[Backend]>,
    /// Suspended releases in order.
    pub suspended: Arc<[Release]>,
    /// Shares of versions under roll-out, in order of their releases.
    pub shares: Arc<[Share]>,
    /// When the store or a peer last confirmed the configuration.
    pub confirmed: Instant,
    /// Age of the confirmation past which candidates get no new sessions.
    pub freshness_limit: Duration,
}

impl Snapshot {
    /// Creates a snapshot without a configuration.
    pub fn empty() -> Self {
        Self {
            revision: 0,
            config: Arc::default(),
            members: Arc::from([]),
            backends: Arc::from([]),
            suspended: Arc::from([]),
            shares: Arc::from([]),
            confirmed: Instant::now(),
            freshness_limit: DEFAULT_FRESHNESS_LIMIT,
        }
    }

    /// Returns the server with `id`.
    pub fn backend(&self, id: &str) -> Option<&Backend> {
        let at = self.backends.binary_search_by(|backend| (*backend.id).cmp(id)).ok()?;
        Some(&self.backends[at])
    }

    /// Tells whether `release` is suspended.
    pub fn is_suspended(&self, release: &Release) -> bool {
        self.suspended.binary_search(release).is_ok()
    }

    /// Returns the share of a release under roll-out.
    pub fn share(&self, release: &Release) -> Option<f64> {
        let at = self.shares.binary_search_by(|share| share.release.cmp(release)).ok()?;
        Some(self.shares[at].fraction)
    }
}

/// Age of the last confirmation past which candidates get no new sessions.
pub const DEFAULT_FRESHNESS_LIMIT: Duration = Duration::from_secs(30);

/// Cell through which the control thread publishes and traffic threads read.
#[derive(Debug)]
pub struct Cell(ArcSwap<Snapshot>);

impl Cell {
    /// Creates a cell that holds an empty snapshot.
    pub fn new() -> Self {
        Self(ArcSwap::from_pointee(Snapshot::empty()))
    }

    /// Returns the present snapshot.
    pub fn load(&self) -> Arc<Snapshot> {
        self.0.load_full()
    }

    /// Publishes a snapshot.
    pub fn publish(&self, snapshot: Snapshot) {
        self.0.store(Arc::new(snapshot));
    }
}

impl Default for Cell {
    fn default() -> Self {
        Self::new()
    }
}
