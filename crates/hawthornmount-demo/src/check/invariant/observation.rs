//! Observations of a load with faults, as input to the checks.

use {
    crate::load::{Answered, Completed, Outcome, Refused},
    hawthornmount_core::{
        config::Config,
        id::{InstanceId, Revision, ServerId},
    },
    hawthornmount_standin::{engine, service},
    std::{sync::Arc, time::Instant},
};

/// A completed request with the instance and the times of the exchange.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Instance that the request was sent to; a replacement of an instance has a new name.
    pub instance: InstanceId,
    /// When the request was sent.
    pub at: Instant,
    /// When the answer was complete, or the request was refused or failed.
    pub ended: Instant,
    /// The request and its outcome.
    pub completed: Completed,
}

/// A request that an engine ran.
#[derive(Clone, Debug)]
pub struct EngineRun {
    /// Engine that ran the request.
    pub server: ServerId,
    /// Run as the engine recorded it.
    pub run: engine::Run,
}

/// Interval in which a state held.
#[derive(Clone, Debug)]
pub struct Interval {
    /// Subject of the state: `model@version`, a server or an instance.
    pub subject: Arc<str>,
    /// When the state began.
    pub from: Instant,
    /// When the change that ends the state was started; `None` if the state still holds.
    pub until: Option<Instant>,
}

/// A graceful stop of an instance.
#[derive(Clone, Debug)]
pub struct Stop {
    /// Instance that was stopped.
    pub instance: InstanceId,
    /// Number of requests that the instance cut.
    pub cut: usize,
}

/// A configuration that the store accepted.
#[derive(Clone, Copy, Debug)]
pub struct Acceptance {
    /// Revision of the configuration.
    pub revision: Revision,
    /// When the operator learned that it was accepted.
    pub at: Instant,
}

/// Revision in force at an instance at a point in time.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Instance that was sampled.
    pub instance: InstanceId,
    /// When the sample was taken.
    pub at: Instant,
    /// Revision in force.
    pub revision: Revision,
}

/// Observations of a load with faults.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Configuration, which says which versions each account may use.
    pub config: Config,
    /// Requests with their outcomes.
    pub exchanges: Vec<Exchange>,
    /// Requests that the engines ran.
    pub engine_runs: Vec<EngineRun>,
    /// Calls that the plain service ran.
    pub service_runs: Vec<service::Run>,
    /// Number of usage records of all accounts.
    pub usage_records: u64,
    /// Intervals in which versions were withdrawn.
    pub withdrawn: Vec<Interval>,
    /// Intervals in which versions may have been suspended.
    pub suspended: Vec<Interval>,
    /// Intervals in which servers were listed as leaving.
    pub leaving: Vec<Interval>,
    /// Graceful stops of instances.
    pub stops: Vec<Stop>,
    /// Accepted configurations.
    pub acceptances: Vec<Acceptance>,
    /// Revisions in force at the instances, in order of time.
    pub samples: Vec<Sample>,
}

impl Observations {
    /// Returns the requests that were answered.
    pub fn answers(&self) -> impl Iterator<Item = (&Exchange, &Answered)> {
        self.exchanges.iter().filter_map(|exchange| match &exchange.completed.outcome {
            Outcome::Answered(answered) => Some((exchange, answered)),
            Outcome::Refused(_) | Outcome::Failed => None,
        })
    }

    /// Returns the requests that were refused.
    pub fn refusals(&self) -> impl Iterator<Item = &Refused> {
        self.exchanges.iter().filter_map(|exchange| match &exchange.completed.outcome {
            Outcome::Refused(refused) => Some(refused),
            Outcome::Answered(_) | Outcome::Failed => None,
        })
    }
}

impl Interval {
    /// Returns whether the state held at a point in time.
    pub fn covers(&self, at: Instant) -> bool {
        at >= self.from && self.until.is_none_or(|until| at < until)
    }
}
