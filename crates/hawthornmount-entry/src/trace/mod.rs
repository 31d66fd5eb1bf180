//! Record of the decisions on one request, and the bounded journal of them.

use {
    hawthornmount_core::id::{AccountId, RequestId, Revision, ServerId},
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, sync::Arc},
};

/// Requests that the journal keeps.
const CAPACITY: usize = 4_096;
/// Ratings and bills that wait for their record.
const EARLY_CAPACITY: usize = 256;

/// One attempt at a server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Attempt {
    /// Model or service.
    pub model: Arc<str>,
    /// Version; empty for a service.
    pub version: Arc<str>,
    /// Server.
    pub server: ServerId,
    /// Why this attempt followed another one.
    pub reason: Option<Arc<str>>,
    /// How it ended.
    pub outcome: Arc<str>,
    /// Milliseconds until its end, or until its first event if it streams.
    pub ms: u64,
}

/// Record of the decisions on one request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Trace {
    /// The request.
    pub request: RequestId,
    /// Configuration revision that the decisions rest on.
    pub revision: Revision,
    /// Account of the caller.
    pub account: AccountId,
    /// Decisions in order, one line each.
    pub steps: Vec<Arc<str>>,
    /// Attempts in order.
    pub attempts: Vec<Attempt>,
    /// How the request ended.
    pub outcome: Arc<str>,
    /// Price that the account pays, in micro-units.
    pub billed: u64,
    /// Price of everything that ran, in micro-units.
    pub cost: u64,
    /// Late rating of the answer.
    pub rating: Option<f64>,
}

impl Trace {
    /// Creates an empty record.
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

    /// Adds a decision.
    pub fn step(&mut self, text: impl Into<Arc<str>>) {
        self.steps.push(text.into());
    }
}

/// What becomes known of a request apart from its record.
#[derive(Clone, Debug)]
enum Late {
    Rating(f64),
    Bill { billed: u64, cost: u64 },
}

/// Bounded journal of the last requests of this instance.
#[derive(Debug, Default)]
pub struct Journal {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    traces: VecDeque<Trace>,
    early: VecDeque<(RequestId, Late)>,
}

impl Journal {
    /// Keeps a record and forgets the oldest one when the journal is full.
    pub fn insert(&self, mut trace: Trace) {
        let mut inner = self.inner.lock();
        inner.early.retain(|(request, late)| {
            let other = *request != trace.request;
            if !other {
                late.apply(&mut trace);
            }
            other
        });
        inner.traces.push_back(trace);
        if inner.traces.len() > CAPACITY {
            inner.traces.pop_front();
        }
    }

    /// Returns the record of a request.
    pub fn find(&self, request: &str) -> Option<Trace> {
        self.inner.lock().traces.iter().rev().find(|trace| *trace.request == *request).cloned()
    }

    /// Adds the late rating of a request's answer.
    pub fn set_rating(&self, request: &RequestId, rating: f64) {
        self.add(request, Late::Rating(rating));
    }

    /// Adds the prices of a request.
    pub fn set_price(&self, request: &RequestId, billed: u64, cost: u64) {
        self.add(request, Late::Bill { billed, cost });
    }

    /// Adds to a record, or waits for the record if it is not kept yet.
    fn add(&self, request: &RequestId, late: Late) {
        let mut inner = self.inner.lock();
        if let Some(trace) = inner.traces.iter_mut().rev().find(|one| one.request == *request) {
            late.apply(trace);
            return;
        }
        inner.early.push_back((request.clone(), late));
        if inner.early.len() > EARLY_CAPACITY {
            inner.early.pop_front();
        }
    }
}

impl Late {
    const fn apply(&self, trace: &mut Trace) {
        match *self {
            Self::Rating(rating) => trace.rating = Some(rating),
            Self::Bill { billed, cost } => {
                trace.billed = billed;
                trace.cost = cost;
            }
        }
    }
}
