//! What operators are shown of roll-outs and suspensions.

use {
    super::state::Inner,
    crate::{
        evidence::Signal,
        progress::{self, Gate, Progress},
        suspension::Suspension,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// What is known of roll-outs and suspensions.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Report {
    /// The roll-outs of the configuration.
    pub rollouts: Vec<RolloutReport>,
    /// The suspensions in force, with their causes.
    pub suspensions: Vec<Suspension>,
    /// Logarithm of the e-value that condemns a version.
    pub threshold: f64,
    /// Last decisions, the newest at the end.
    pub decisions: Vec<Decision>,
}

/// A decision of the control state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Decision {
    /// Milliseconds since the epoch.
    pub at_ms: u64,
    /// What was decided and why.
    pub what: Arc<str>,
}

/// One roll-out with its evidence and next step.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RolloutReport {
    /// Name of the roll-out.
    pub rollout: Arc<str>,
    /// The version, as `model@version`.
    pub release: Arc<str>,
    /// Progress, if it has begun.
    pub progress: Option<Progress>,
    /// Part of the new sessions that the version gets.
    pub fraction: f64,
    /// What happens next.
    pub next: Arc<str>,
    /// Evidence of each signal.
    pub evidence: Vec<EvidenceReport>,
}

/// Evidence of one signal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EvidenceReport {
    /// The signal.
    pub signal: Signal,
    /// Observations.
    pub seen: u64,
    /// Logarithm of the e-value against the version.
    pub against: f64,
}

pub fn build(inner: &Inner, now_ms: u64) -> Report {
    let held = inner.suspensions.in_force(inner.revision, &inner.config);
    Report {
        rollouts: inner.config.rollouts.iter().map(|row| rollout(inner, row, now_ms)).collect(),
        suspensions: held.into_iter().cloned().collect(),
        threshold: inner.threshold(),
        decisions: inner.decisions.iter().cloned().collect(),
    }
}

fn rollout(
    inner: &Inner,
    row: &hawthornmount_core::table::Row<hawthornmount_core::config::Rollout>,
    now_ms: u64,
) -> RolloutReport {
    let release = progress::release(&row.value);
    let known = inner.progress.iter().find(|one| one.rollout == row.id && one.is_of(&row.value));
    let (rated, doubt) = inner.standing(&release);
    let against = inner.against(&release);
    let gate = Gate { now_ms, rated, against, doubt, capacity: 1.0 };
    let next = known.map_or_else(
        || "begins when a holder of the lease reaches the store".into(),
        |known| match known.next(&row.value, &gate) {
            progress::Next::Stop(cause) => format!("stops: {cause}").into(),
            progress::Next::Widen => "widens if the capacity allows".into(),
            progress::Next::Wait(what) => format!("waits: {what}").into(),
            progress::Next::End => "nothing is left to do".into(),
        },
    );
    let generation = inner.config.generation(&release.model, &release.version);
    let evidence = Signal::ALL.map(|signal| EvidenceReport {
        signal,
        seen: inner.evidence.seen(&release, generation, signal),
        against: inner.evidence.against(&release, generation, signal),
    });
    RolloutReport {
        rollout: row.id.clone(),
        release: format!("{}@{}", release.model, release.version).into(),
        fraction: known.map_or(0.0, |known| known.fraction(&row.value)),
        progress: known.cloned(),
        next,
        evidence: evidence.into(),
    }
}
