//! What `status` shows.

use {
    super::is_ready,
    crate::instance::Parts,
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
    /// Whether the instance takes requests.
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
    /// Logarithm of the e-value that condemns a version.
    pub threshold: f64,
    /// Roles that this instance holds.
    pub roles: Vec<Arc<str>>,
    /// Holder of the lease that drives the roll-outs.
    pub holder: Option<Arc<str>>,
    /// Why the last look at the store failed; none while it answers.
    pub store_error: Option<Arc<str>>,
    /// Last decisions of the control state, the newest at the end.
    pub decisions: Vec<Decision>,
}

/// A member of the fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub id: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// What it is doing.
    pub state: Arc<str>,
    /// Configuration revision that it holds.
    pub revision: Revision,
}

/// A backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub id: ServerId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// What it can do now.
    pub state: Arc<str>,
    /// Requests that run or wait there.
    pub load: u32,
    /// Requests that can run at a time.
    pub slots: u32,
    /// Loaded versions, as `model@version`.
    pub loaded: Vec<Arc<str>>,
}

/// Returns the status of the fleet as this instance sees it.
pub fn of(parts: &Parts) -> Status {
    let snapshot = parts.snapshot.load();
    let report = parts.monitor.report();
    let role = parts.driver_status.lock().clone();
    let drives = role.fence.map(|fence| format!("drives the roll-outs with fence {fence}").into());
    Status {
        instance: parts.settings.instance.clone(),
        revision: snapshot.revision,
        ready: is_ready(parts),
        in_flight: parts.in_flight.load(Ordering::SeqCst),
        members: snapshot.members.iter().map(member).collect(),
        servers: snapshot.backends.iter().map(server).collect(),
        rollouts: report.rollouts,
        suspensions: report.suspensions,
        threshold: report.threshold,
        roles: drives.into_iter().collect(),
        holder: role.holder,
        store_error: role.store_error,
        decisions: report.decisions,
    }
}

fn member(member: &Member) -> MemberStatus {
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

fn server(backend: &Backend) -> ServerStatus {
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
        loaded: backend.loaded.iter().map(name).collect(),
    }
}

fn name(release: &Release) -> Arc<str> {
    format!("{}@{}", release.model, release.version).into()
}
