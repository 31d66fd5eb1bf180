//! Report that the `status` subcommand shows.

use {
    super::is_ready,
    crate::instance::Components,
    hawthornmount_core::{
        id::{DataCentreId, InstanceId, Revision, ServerId},
        snapshot::{Backend, Health, Liveness, Member, Release},
    },
    hawthornmount_rollout::{
        monitor::{Decision, RolloutReport},
        suspension::Suspension,
    },
    serde::{Deserialize, Serialize},
    std::sync::{Arc, atomic::Ordering},
};

/// Status of the fleet as one instance sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Configuration revision in force.
    pub revision: Revision,
    /// Whether the instance accepts requests.
    pub ready: bool,
    /// Requests in flight.
    pub in_flight: usize,
    /// Members of the fleet.
    pub members: Vec<MemberStatus>,
    /// Servers of the configuration.
    pub servers: Vec<ServerStatus>,
    /// Roll-outs with their evidence and next step.
    pub rollouts: Vec<RolloutReport>,
    /// Suspensions in force with their causes.
    pub suspensions: Vec<Suspension>,
    /// Logarithm of the e-value from which a version is suspended.
    pub threshold: f64,
    /// Roles that this instance holds.
    pub roles: Vec<Arc<str>>,
    /// Holder of the lease that drives the roll-outs.
    pub holder: Option<Arc<str>>,
    /// Error of the roll-out driver's last access to the store; absent while the store answers.
    pub store_error: Option<Arc<str>>,
    /// Most recent decisions on versions and roll-outs, the newest last.
    pub decisions: Vec<Decision>,
}

/// Status of a member of the fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub id: InstanceId,
    /// Data centre of the member.
    pub data_centre: DataCentreId,
    /// State of the member: alive, suspect, leaving or dead.
    pub state: Arc<str>,
    /// Configuration revision that the member holds.
    pub revision: Revision,
}

/// Status of a backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub id: ServerId,
    /// Data centre of the server.
    pub data_centre: DataCentreId,
    /// State of the server: up, leaving or down.
    pub state: Arc<str>,
    /// Requests that are running or waiting on the server.
    pub load: u32,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Loaded versions, as `model@version`.
    pub loaded: Vec<Arc<str>>,
}

/// Returns the status of the fleet as this instance sees it.
pub fn status(components: &Components) -> Status {
    let snapshot = components.snapshot.load();
    let report = components.monitor.report();
    let driver = components.driver_status.lock().clone();
    let role = driver.fence.map(|fence| format!("drives the roll-outs with fence {fence}").into());
    Status {
        instance: components.settings.instance.clone(),
        revision: snapshot.revision,
        ready: is_ready(components),
        in_flight: components.in_flight.load(Ordering::SeqCst),
        members: snapshot.members.iter().map(member_status).collect(),
        servers: snapshot.backends.iter().map(server_status).collect(),
        rollouts: report.rollouts,
        suspensions: report.suspensions,
        threshold: report.threshold,
        roles: role.into_iter().collect(),
        holder: driver.holder,
        store_error: driver.store_error,
        decisions: report.decisions,
    }
}

fn member_status(member: &Member) -> MemberStatus {
    let state = match member.liveness {
        Liveness::Alive => "alive",
        Liveness::Suspect => "suspect",
        Liveness::Leaving => "leaving",
        Liveness::Dead => "dead",
    };
    MemberStatus {
        id: member.id.clone(),
        data_centre: member.data_centre.clone(),
        state: state.into(),
        revision: member.revision,
    }
}

fn server_status(backend: &Backend) -> ServerStatus {
    let state = match backend.health {
        Health::Up => "up",
        Health::Leaving => "leaving",
        Health::Down => "down",
    };
    ServerStatus {
        id: backend.id.clone(),
        data_centre: backend.data_centre.clone(),
        state: state.into(),
        load: backend.load,
        slots: backend.slots,
        loaded: backend.loaded.iter().map(release_name).collect(),
    }
}

fn release_name(release: &Release) -> Arc<str> {
    format!("{}@{}", release.model, release.version).into()
}
