//! Progress of a roll-out, as kept in the store and exchanged by gossip.

use {
    hawthornmount_core::{
        config::{Config, Rollout},
        id::{InstanceId, RolloutId},
        snapshot::{Release, Share},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Stage of a roll-out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The version gets the current step's share of the new sessions.
    Running,
    /// The last step is complete.
    Done,
    /// The roll-out was stopped; the version gets no new sessions.
    Stopped,
}

/// Progress of one attempt of a roll-out. It only moves forward, compared by generation, then by
/// stage, then by step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The roll-out.
    pub rollout: RolloutId,
    /// Model and version that are rolled out, as `model@version`.
    pub subject: Arc<str>,
    /// Generation of the roll-out, which is raised for each new attempt.
    pub generation: u64,
    /// Stage of the attempt.
    pub stage: Stage,
    /// Index of the current step.
    pub step: usize,
    /// Start of the step in milliseconds since the epoch.
    pub since_ms: u64,
    /// Number of ratings of the version at the start of the step.
    pub rated_before: u64,
    /// Instance that made the last change.
    pub by: InstanceId,
    /// Fencing number under which the last change was made.
    pub fence: u64,
    /// Reason for the last change.
    pub cause: Arc<str>,
}

/// Conditions on which the next step depends.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// Current time in milliseconds since the epoch.
    pub now_ms: u64,
    /// Number of ratings of the version.
    pub rated: u64,
    /// Why the version is suspended or withdrawn, if it is.
    pub exclusion: Option<Arc<str>>,
    /// Logarithm of the largest e-value against the version.
    pub log_e_value: f64,
    /// Fraction of the model's slots that are on servers with the version loaded.
    pub capacity: f64,
}

/// Next action on a roll-out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Stops the roll-out, for the given reason.
    Stop(Arc<str>),
    /// Begins the next step, or completes the roll-out after the last one.
    Widen,
    /// Waits, for the given condition.
    Wait(Arc<str>),
    /// Does nothing, because the roll-out is done or stopped.
    End,
}

/// Log e-value against a version above which its roll-out is not widened.
const MAX_LOG_E_VALUE_TO_WIDEN: f64 = 2.0;

impl Progress {
    /// Returns the initial progress of an attempt.
    pub fn begin(id: &RolloutId, rollout: &Rollout, now_ms: u64, rated: u64) -> Self {
        Self {
            rollout: id.clone(),
            subject: subject(rollout),
            generation: rollout.generation,
            stage: Stage::Running,
            step: 0,
            since_ms: now_ms,
            rated_before: rated,
            by: "".into(),
            fence: 0,
            cause: "the roll-out begins".into(),
        }
    }

    /// Returns the key by which progress is compared; it only increases.
    pub fn ordering_key(&self) -> (u64, Stage, usize) {
        (self.generation, self.stage, self.step)
    }

    /// Returns whether this is progress of the current attempt of `rollout`.
    pub fn matches(&self, rollout: &Rollout) -> bool {
        self.generation == rollout.generation && self.subject == subject(rollout)
    }

    /// Returns the fraction of the new sessions that the version gets.
    pub fn fraction(&self, rollout: &Rollout) -> f64 {
        match self.stage {
            Stage::Stopped => 0.0,
            Stage::Running => rollout.steps.get(self.step).copied().unwrap_or(0.0),
            Stage::Done => rollout.steps.last().copied().unwrap_or(0.0),
        }
    }

    /// Returns the next action.
    pub fn next(&self, rollout: &Rollout, conditions: &Conditions) -> Action {
        if self.stage != Stage::Running {
            return Action::End;
        }
        if let Some(cause) = &conditions.exclusion {
            return Action::Stop(cause.clone());
        }
        let rated = conditions.rated.checked_sub(self.rated_before).unwrap_or(conditions.rated);
        let waited_ms = u128::from(conditions.now_ms.saturating_sub(self.since_ms));
        if waited_ms < rollout.step.as_millis() {
            return Action::Wait(format!("{waited_ms} of {} ms", rollout.step.as_millis()).into());
        }
        if rated < u64::from(rollout.min_samples) {
            return Action::Wait(format!("{rated} of {} ratings", rollout.min_samples).into());
        }
        if conditions.log_e_value > MAX_LOG_E_VALUE_TO_WIDEN {
            return Action::Wait("the evidence is doubtful".into());
        }
        let wanted = rollout.steps.get(self.step + 1).copied().unwrap_or(0.0);
        if conditions.capacity < wanted {
            let text =
                format!("loaded on {:.2} of the slots, {wanted:.2} needed", conditions.capacity);
            return Action::Wait(text.into());
        }
        Action::Widen
    }

    /// Returns the progress after `action`, or `None` if the action changes nothing.
    pub fn after(
        &self,
        rollout: &Rollout,
        action: &Action,
        conditions: &Conditions,
    ) -> Option<Self> {
        let mut after = self.clone();
        match action {
            Action::Stop(cause) => {
                after.stage = Stage::Stopped;
                after.cause = cause.clone();
            }
            Action::Widen if self.step + 1 < rollout.steps.len() => {
                after.step += 1;
                after.cause = "the evidence allows a wider step".into();
            }
            Action::Widen => {
                after.stage = Stage::Done;
                after.cause = "the last step is past".into();
            }
            Action::Wait(_) | Action::End => return None,
        }
        after.since_ms = conditions.now_ms;
        after.rated_before = conditions.rated;
        Some(after)
    }
}

/// Returns the shares of the versions under roll-out, in order of their releases.
pub fn shares(config: &Config, progress: &[Progress]) -> Vec<Share> {
    let mut shares: Vec<Share> = config
        .rollouts
        .iter()
        .filter_map(|row| {
            let known = progress.iter().find(|known| known.rollout == row.id)?;
            let fraction = known.matches(&row.value).then(|| known.fraction(&row.value))?;
            Some(Share { release: release(&row.value), fraction })
        })
        .collect();
    shares.sort_by(|a, b| a.release.cmp(&b.release));
    shares.dedup_by(|later, first| later.release == first.release);
    shares
}

/// Returns the release that is rolled out.
pub fn release(rollout: &Rollout) -> Release {
    Release { model: rollout.model.clone(), version: rollout.to.clone() }
}

fn subject(rollout: &Rollout) -> Arc<str> {
    format!("{}@{}", rollout.model, rollout.to).into()
}
