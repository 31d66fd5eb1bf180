//! Report on roll-outs and suspensions for operators.

use {
    super::state::Inner,
    crate::{
        evidence::Signal,
        progress::{self, Action, Conditions, Progress},
        suspension::Suspension,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Report on roll-outs and suspensions.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Report {
    /// Roll-outs of the configuration.
    pub rollouts: Vec<RolloutReport>,
    /// Suspensions in force, with their causes.
    pub suspensions: Vec<Suspension>,
    /// Logarithm of the e-value from which a version is suspended.
    pub threshold: f64,
    /// Most recent decisions, the newest last.
    pub decisions: Vec<Decision>,
}

/// Decision on a version or roll-out.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Decision {
    /// Time of the decision in milliseconds since the epoch.
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
    /// Fraction of the new sessions that the version gets.
    pub fraction: f64,
    /// Next step, in words.
    pub next: Arc<str>,
    /// Evidence of each signal.
    pub evidence: Vec<EvidenceReport>,
}

/// Evidence of one signal on a version.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EvidenceReport {
    /// The signal.
    pub signal: Signal,
    /// Number of observations.
    pub seen: u64,
    /// Logarithm of the e-value against the version.
    #[serde(rename = "against")]
    pub log_e_value: f64,
}

/// Builds the report from the state of the monitor.
pub fn build(inner: &Inner, now_ms: u64) -> Report {
    let in_force = inner.suspensions.in_force(inner.revision, &inner.config);
    Report {
        rollouts: inner.config.rollouts.iter().map(|row| rollout(inner, row, now_ms)).collect(),
        suspensions: in_force.into_iter().cloned().collect(),
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
    let known = inner.progress.iter().find(|one| one.rollout == row.id && one.matches(&row.value));
    let (rated, log_e_value) = inner.assessment(&release);
    let exclusion = inner.exclusion(&release);
    let conditions = Conditions { now_ms, rated, exclusion, log_e_value, capacity: 1.0 };
    let next = known.map_or_else(
        || "begins when a holder of the lease reaches the store".into(),
        |known| match known.next(&row.value, &conditions) {
            Action::Stop(cause) => format!("stops: {cause}").into(),
            Action::Widen => "widens if the capacity allows".into(),
            Action::Wait(what) => format!("waits: {what}").into(),
            Action::End => "nothing is left to do".into(),
        },
    );
    let generation = inner.config.generation(&release.model, &release.version);
    let evidence = Signal::ALL.map(|signal| EvidenceReport {
        signal,
        seen: inner.evidence.observations(&release, generation, signal),
        log_e_value: inner.evidence.log_e_value(&release, generation, signal),
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
