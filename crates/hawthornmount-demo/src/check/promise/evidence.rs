//! What a load with faults leaves to check.

use {
    crate::load::{Answered, Done, Outcome, Refused},
    hawthornmount_core::{
        config::Config,
        id::{InstanceId, Revision, ServerId},
    },
    hawthornmount_standin::{engine, service},
    std::{sync::Arc, time::Instant},
};

/// A request with what came of it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Life of the instance that it was sent to.
    pub instance: InstanceId,
    /// When it was sent.
    pub at: Instant,
    /// When its answer was whole, or it had failed.
    pub ended: Instant,
    /// What came of it.
    pub done: Done,
}

/// A run that an engine really did.
#[derive(Clone, Debug)]
pub struct Ran {
    /// The engine.
    pub server: ServerId,
    /// The run.
    pub run: engine::Run,
}

/// Time in which a state held.
#[derive(Clone, Debug)]
pub struct Span {
    /// What was in the state: `model@version`, a server or an instance.
    pub what: Arc<str>,
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
pub struct Accept {
    /// Its revision.
    pub revision: Revision,
    /// When the operator knew.
    pub at: Instant,
}

/// Revision that an instance had in force.
#[derive(Clone, Debug)]
pub struct Sight {
    /// Life of the instance.
    pub instance: InstanceId,
    /// When it was seen.
    pub at: Instant,
    /// The revision.
    pub revision: Revision,
}

/// What a load with faults leaves to check.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Configuration, for what accounts may use.
    pub config: Config,
    /// Requests.
    pub sent: Vec<Sent>,
    /// Runs of the engines.
    pub runs: Vec<Ran>,
    /// Runs of the plain service.
    pub calls: Vec<service::Run>,
    /// Usage records, all accounts together.
    pub bills: u64,
    /// Times in which versions were withdrawn.
    pub withdrawn: Vec<Span>,
    /// Times in which versions may have been suspended.
    pub suspended: Vec<Span>,
    /// Times in which servers were leaving.
    pub leaving: Vec<Span>,
    /// Graceful stops.
    pub stops: Vec<Stop>,
    /// Accepted configurations.
    pub accepts: Vec<Accept>,
    /// Revisions seen in force, in order of time.
    pub sights: Vec<Sight>,
}

impl Evidence {
    /// Returns the requests that were answered.
    pub fn answers(&self) -> impl Iterator<Item = (&Sent, &Answered)> {
        self.sent.iter().filter_map(|sent| match &sent.done.outcome {
            Outcome::Answered(answered) => Some((sent, answered)),
            Outcome::Refused(_) | Outcome::Failed => None,
        })
    }

    /// Returns the requests that were refused.
    pub fn refusals(&self) -> impl Iterator<Item = &Refused> {
        self.sent.iter().filter_map(|sent| match &sent.done.outcome {
            Outcome::Refused(refused) => Some(refused),
            Outcome::Answered(_) | Outcome::Failed => None,
        })
    }
}

impl Span {
    /// Tells whether the state held at a time.
    pub fn covers(&self, at: Instant) -> bool {
        at >= self.from && self.until.is_none_or(|until| at < until)
    }
}
