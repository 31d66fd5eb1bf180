//! Progress of a roll-out, as the store and gossip hold it.

use {
    hawthornmount_core::{
        config::{Config, Rollout},
        id::{InstanceId, RolloutId},
        snapshot::{Release, Share},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// What a roll-out is doing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Its step has its share of the new sessions.
    Running,
    /// The last step is past.
    Done,
    /// It was stopped and gets no new sessions.
    Stopped,
}

/// Progress of one try of a roll-out. It only moves on: the generation first, then the stage's end,
/// then the step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The roll-out.
    pub rollout: RolloutId,
    /// The model and version that it rolls out, as `model@version`.
    pub subject: Arc<str>,
    /// Generation of the try.
    pub generation: u64,
    /// What it is doing.
    pub stage: Stage,
    /// Number of the step, from 0.
    pub step: usize,
    /// When the step began, in milliseconds since the epoch.
    pub since_ms: u64,
    /// Rated answers that were known when the step began.
    pub rated_before: u64,
    /// Instance that made the last change.
    pub by: InstanceId,
    /// Fencing number under which the last change was made.
    pub fence: u64,
    /// Why the last change was made.
    pub cause: Arc<str>,
}

/// What speaks for and against the next step.
#[derive(Clone, Debug)]
pub struct Gate {
    /// Present time, in milliseconds since the epoch.
    pub now_ms: u64,
    /// Rated answers of the version so far.
    pub rated: u64,
    /// Why the version is suspended or withdrawn, if it is.
    pub against: Option<Arc<str>>,
    /// Logarithm of the largest e-value against the version.
    pub doubt: f64,
    /// Slots of servers that have the version loaded, as a part of the model's slots.
    pub capacity: f64,
}

/// What happens next.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// The roll-out stops.
    Stop(Arc<str>),
    /// The next step begins, or the roll-out is done.
    Widen,
    /// Something is missing yet.
    Wait(Arc<str>),
    /// Nothing is left to do.
    End,
}

/// Logarithm of an e-value from which on a version looks too doubtful to widen.
const DOUBT_LIMIT: f64 = 2.0;

impl Progress {
    /// Returns the progress of a try that begins.
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

    /// Returns the order in which progress moves.
    pub fn order(&self) -> (u64, Stage, usize) {
        (self.generation, self.stage, self.step)
    }

    /// Tells whether this is progress of the present try of `rollout`.
    pub fn is_of(&self, rollout: &Rollout) -> bool {
        self.generation == rollout.generation && self.subject == subject(rollout)
    }

    /// Returns the part of the new sessions that the version gets.
    pub fn fraction(&self, rollout: &Rollout) -> f64 {
        match self.stage {
            Stage::Stopped => 0.0,
            Stage::Running => rollout.steps.get(self.step).copied().unwrap_or(0.0),
            Stage::Done => rollout.steps.last().copied().unwrap_or(0.0),
        }
    }

    /// Decides what happens next.
    pub fn next(&self, rollout: &Rollout, gate: &Gate) -> Next {
        if self.stage != Stage::Running {
            return Next::End;
        }
        if let Some(cause) = &gate.against {
            return Next::Stop(cause.clone());
        }
        let rated = gate.rated.checked_sub(self.rated_before).unwrap_or(gate.rated);
        let waited_ms = u128::from(gate.now_ms.saturating_sub(self.since_ms));
        if waited_ms < rollout.step.as_millis() {
            return Next::Wait(format!("{waited_ms} of {} ms", rollout.step.as_millis()).into());
        }
        if rated < u64::from(rollout.min_samples) {
            return Next::Wait(format!("{rated} of {} ratings", rollout.min_samples).into());
        }
        if gate.doubt > DOUBT_LIMIT {
            return Next::Wait("the evidence is doubtful".into());
        }
        let wanted = rollout.steps.get(self.step + 1).copied().unwrap_or(0.0);
        if gate.capacity < wanted {
            let text = format!("loaded on {:.2} of the slots, {wanted:.2} needed", gate.capacity);
            return Next::Wait(text.into());
        }
        Next::Widen
    }

    /// Returns the progress after `next`; none if nothing changes.
    pub fn after(&self, rollout: &Rollout, next: &Next, gate: &Gate) -> Option<Self> {
        let mut after = self.clone();
        match next {
            Next::Stop(cause) => {
                after.stage = Stage::Stopped;
                after.cause = cause.clone();
            }
            Next::Widen if self.step + 1 < rollout.steps.len() => {
                after.step += 1;
                after.cause = "the evidence allows a wider step".into();
            }
            Next::Widen => {
                after.stage = Stage::Done;
                after.cause = "the last step is past".into();
            }
            Next::Wait(_) | Next::End => return None,
        }
        after.since_ms = gate.now_ms;
        after.rated_before = gate.rated;
        Some(after)
    }
}

/// Returns the shares of the versions under roll-out, in order of their releases.
pub fn shares(config: &Config, progress: &[Progress]) -> Vec<Share> {
    let mut shares: Vec<Share> = config
        .rollouts
        .iter()
        .filter_map(|row| {
            let known = progress.iter().find(|one| one.rollout == row.id)?;
            let fraction = known.is_of(&row.value).then(|| known.fraction(&row.value))?;
            Some(Share { release: release(&row.value), fraction })
        })
        .collect();
    shares.sort_by(|a, b| a.release.cmp(&b.release));
    shares.dedup_by(|later, first| later.release == first.release);
    shares
}

/// Returns the version that is rolled out.
pub fn release(rollout: &Rollout) -> Release {
    Release { model: rollout.model.clone(), version: rollout.to.clone() }
}

fn subject(rollout: &Rollout) -> Arc<str> {
    format!("{}@{}", rollout.model, rollout.to).into()
}
