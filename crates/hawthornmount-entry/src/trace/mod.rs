//! Traces of the decisions on requests, and a bounded journal of the latest ones.

use {
    hawthornmount_core::id::{AccountId, RequestId, Revision, ServerId},
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, sync::Arc},
};

/// Maximum number of traces in the journal.
const CAPACITY: usize = 4_096;
/// Maximum number of ratings and prices whose trace is not in the journal yet.
const PENDING_CAPACITY: usize = 256;

/// One attempt at a server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Attempt {
    /// Name of the model or service.
    pub model: Arc<str>,
    /// Version; empty for a service.
    pub version: Arc<str>,
    /// Server that was tried.
    pub server: ServerId,
    /// Why this attempt followed another one, if it did.
    pub reason: Option<Arc<str>>,
    /// How the attempt ended.
    pub outcome: Arc<str>,
    /// Milliseconds until the end of the attempt, or until its first event if it streams.
    pub ms: u64,
}

/// Trace of the decisions on one request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Trace {
    /// Id of the request.
    pub request: RequestId,
    /// Configuration revision on which the decisions are based.
    pub revision: Revision,
    /// Account of the caller.
    pub account: AccountId,
    /// Decisions in order, one line each.
    pub steps: Vec<Arc<str>>,
    /// Attempts in order.
    pub attempts: Vec<Attempt>,
    /// How the request ended.
    pub outcome: Arc<str>,
    /// Price billed to the account, in micro-units.
    pub billed: u64,
    /// Price of the answer and of the earlier answers that were discarded, in micro-units.
    pub cost: u64,
    /// Rating of the answer, if one was obtained after the answer was sent.
    pub rating: Option<f64>,
}

impl Trace {
    /// Creates an empty trace of a request that is running.
    pub fn new(request: RequestId, revision: Revision) -> Self {
        Self {
            request,
            revision,
            account: "".into(),
            steps: Vec::new(),
            attempts: Vec::new(),
            outcome: "running".into(),
            billed: 0,
            cost: 0,
            rating: None,
        }
    }

    /// Adds a decision, described in one line.
    pub fn step(&mut self, text: impl Into<Arc<str>>) {
        self.steps.push(text.into());
    }
}

/// Data on a request that is reported separately from its trace and possibly earlier.
#[derive(Clone, Debug)]
enum Update {
    Rating(f64),
    Price { billed: u64, cost: u64 },
}

/// Bounded journal of the traces of this instance's latest requests.
#[derive(Debug, Default)]
pub struct Journal {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    traces: VecDeque<Trace>,
    /// Updates whose trace has not been inserted yet.
    pending: VecDeque<(RequestId, Update)>,
}

impl Journal {
    /// Inserts a trace with its pending updates. Evicts the oldest trace if the journal is full.
    pub fn insert(&self, mut trace: Trace) {
        let mut inner = self.inner.lock();
        inner.pending.retain(|(request, update)| {
            let other = *request != trace.request;
            if !other {
                update.apply(&mut trace);
            }
            other
        });
        inner.traces.push_back(trace);
        if inner.traces.len() > CAPACITY {
            inner.traces.pop_front();
        }
    }

    /// Returns the trace of a request, if the journal still has it.
    pub fn find(&self, request: &str) -> Option<Trace> {
        self.inner.lock().traces.iter().rev().find(|trace| *trace.request == *request).cloned()
    }

    /// Sets the rating of a request's answer.
    pub fn set_rating(&self, request: &RequestId, rating: f64) {
        self.update(request, Update::Rating(rating));
    }

    /// Sets the billed price and the cost of a request.
    pub fn set_price(&self, request: &RequestId, billed: u64, cost: u64) {
        self.update(request, Update::Price { billed, cost });
    }

    /// Updates a trace, or keeps the update until the trace is inserted. Evicts the oldest pending
    /// update if there are too many.
    fn update(&self, request: &RequestId, update: Update) {
        let mut inner = self.inner.lock();
        if let Some(trace) = inner.traces.iter_mut().rev().find(|one| one.request == *request) {
            update.apply(trace);
            return;
        }
        inner.pending.push_back((request.clone(), update));
        if inner.pending.len() > PENDING_CAPACITY {
            inner.pending.pop_front();
        }
    }
}

impl Update {
    const fn apply(&self, trace: &mut Trace) {
        match *self {
            Self::Rating(rating) => trace.rating = Some(rating),
            Self::Price { billed, cost } => {
                trace.billed = billed;
                trace.cost = cost;
            }
        }
    }
}
