//! Immutable snapshot of the control state, which traffic threads read without locks.

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

/// Liveness of a fleet member, as the failure detector sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// The member answers heartbeats.
    Alive,
    /// The member missed heartbeats and has not refuted the suspicion yet.
    Suspect,
    /// The member announced that it is leaving the fleet.
    Leaving,
    /// The member was declared dead.
    Dead,
}

/// An entry instance as this instance sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the instance.
    pub id: InstanceId,
    /// Incarnation number of the instance.
    pub incarnation: Incarnation,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Address for fleet frames over UDP and TCP.
    pub address: SocketAddr,
    /// Liveness of the instance.
    pub liveness: Liveness,
    /// Configuration revision that the instance holds.
    pub revision: Revision,
}

/// Health of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The server accepts requests.
    Up,
    /// The server is draining: it finishes its requests and accepts no new ones.
    Leaving,
    /// The server does not answer.
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
    /// Last known health of the server.
    pub health: Health,
    /// Versions that the server has loaded, sorted by model and version.
    pub loaded: Vec<Release>,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Number of requests that were running or queued when the load report was made.
    pub load: u32,
    /// Time at which the load report was made; `None` if there is no report yet.
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

/// Share of a model's new sessions that a version in a roll-out gets.
#[derive(Clone, Debug)]
pub struct Share {
    /// Version in the roll-out.
    pub release: Release,
    /// Fraction of the model's new sessions, from 0 to 1.
    pub fraction: f64,
}

/// Immutable control state at a point in time.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Revision of the active configuration; 0 if there is none yet.
    pub revision: Revision,
    /// Active configuration.
    pub config: Arc<Config>,
    /// Fleet members sorted by name, including this instance.
    pub members: Arc<[Member]>,
    /// Backend servers sorted by name.
    pub backends: Arc<[Backend]>,
    /// Suspended releases, sorted.
    pub suspended: Arc<[Release]>,
    /// Shares of versions in roll-outs, sorted by release.
    pub shares: Arc<[Share]>,
    /// Time at which the store or a peer last confirmed that the configuration is current.
    pub confirmed: Instant,
    /// Maximum age of `confirmed`; past it, candidate versions get no new sessions.
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
        let index = self.backends.binary_search_by(|backend| (*backend.id).cmp(id)).ok()?;
        Some(&self.backends[index])
    }

    /// Returns whether `release` is suspended.
    pub fn is_suspended(&self, release: &Release) -> bool {
        self.suspended.binary_search(release).is_ok()
    }

    /// Returns the share of new sessions of a release, if it is in a roll-out.
    pub fn share(&self, release: &Release) -> Option<f64> {
        let index = self.shares.binary_search_by(|share| share.release.cmp(release)).ok()?;
        Some(self.shares[index].fraction)
    }
}

/// Default of [`Snapshot::freshness_limit`].
pub const DEFAULT_FRESHNESS_LIMIT: Duration = Duration::from_secs(30);

/// Cell through which the control thread publishes snapshots to the traffic threads.
#[derive(Debug)]
pub struct Cell(ArcSwap<Snapshot>);

impl Cell {
    /// Creates a cell that holds an empty snapshot.
    pub fn new() -> Self {
        Self(ArcSwap::from_pointee(Snapshot::empty()))
    }

    /// Returns the latest snapshot.
    pub fn load(&self) -> Arc<Snapshot> {
        self.0.load_full()
    }

    /// Replaces the snapshot; later loads return the new one.
    pub fn publish(&self, snapshot: Snapshot) {
        self.0.store(Arc::new(snapshot));
    }
}

impl Default for Cell {
    fn default() -> Self {
        Self::new()
    }
}
