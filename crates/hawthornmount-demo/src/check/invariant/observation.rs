//! What a load with faults leaves to check.

use {
    crate::load::{Answered, Completed, Outcome, Refused},
    hawthornmount_core::{
        config::Config,
        id::{InstanceId, Revision, ServerId},
    },
    hawthornmount_standin::{engine, service},
    std::{sync::Arc, time::Instant},
};

/// A request with what came of it.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Life of the instance that it was sent to.
    pub instance: InstanceId,
    /// When it was sent.
    pub at: Instant,
    /// When its answer was whole, or it had failed.
    pub ended: Instant,
    /// What came of it.
    pub completed: Completed,
}

/// A run that an engine really did.
#[derive(Clone, Debug)]
pub struct EngineRun {
    /// The engine.
    pub server: ServerId,
    /// The run.
    pub run: engine::Run,
}

/// Time in which a state held.
#[derive(Clone, Debug)]
pub struct Interval {
    /// What was in the state: `model@version`, a server or an instance.
    pub subject: Arc<str>,
    /// When it began.
    pub from: Instant,
    /// When its end began; none if it still holds.
    pub until: Option<Instant>,
}

/// A graceful stop of an instance.
#[derive(Clone, Debug)]
pub struct Stop {
    /// Life of the instance.
    pub instance: InstanceId,
    /// Requests that the instance cut.
    pub cut: usize,
}

/// A configuration that the store accepted.
#[derive(Clone, Copy, Debug)]
pub struct Acceptance {
    /// Its revision.
    pub revision: Revision,
    /// When the operator knew.
    pub at: Instant,
}

/// Revision that an instance had in force.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Life of the instance.
    pub instance: InstanceId,
    /// When it was seen.
    pub at: Instant,
    /// The revision.
    pub revision: Revision,
}

/// What a load with faults leaves to check.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Configuration, for what accounts may use.
    pub config: Config,
    /// Requests.
    pub exchanges: Vec<Exchange>,
    /// Runs of the engines.
    pub engine_runs: Vec<EngineRun>,
    /// Runs of the plain service.
    pub service_runs: Vec<service::Run>,
    /// Usage records, all accounts together.
    pub usage_records: u64,
    /// Times in which versions were withdrawn.
    pub withdrawn: Vec<Interval>,
    /// Times in which versions may have been suspended.
    pub suspended: Vec<Interval>,
    /// Times in which servers were leaving.
    pub leaving: Vec<Interval>,
    /// Graceful stops.
    pub stops: Vec<Stop>,
    /// Accepted configurations.
    pub acceptances: Vec<Acceptance>,
    /// Revisions seen in force, in order of time.
    pub samples: Vec<Sample>,
}

impl Observations {
    /// Returns the requests that were answered.
    pub fn answers(&self) -> impl Iterator<Item = (&Exchange, &Answered)> {
        self.exchanges.iter().filter_map(|sent| match &sent.completed.outcome {
            Outcome::Answered(answered) => Some((sent, answered)),
            Outcome::Refused(_) | Outcome::Failed => None,
        })
    }

    /// Returns the requests that were refused.
    pub fn refusals(&self) -> impl Iterator<Item = &Refused> {
        self.exchanges.iter().filter_map(|sent| match &sent.completed.outcome {
            Outcome::Refused(refused) => Some(refused),
            Outcome::Answered(_) | Outcome::Failed => None,
        })
    }
}

impl Interval {
    /// Tells whether the state held at a time.
    pub fn covers(&self, at: Instant) -> bool {
        at >= self.from && self.until.is_none_or(|until| at < until)
    }
}
