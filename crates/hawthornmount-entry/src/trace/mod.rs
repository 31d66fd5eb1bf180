//! Record of the decisions on one request, and the bounded journal of them.

use {
    hawthornmount_core::id::{AccountId, RequestId, Revision, ServerId},
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, sync::Arc},
};

/// Requests that the journal keeps.
const CAPACITY: usize = 4_096;

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

/// Bounded journal of the last requests of this instance.
#[derive(Debug, Default)]
pub struct Journal {
    traces: Mutex<VecDeque<Trace>>,
}

impl Journal {
    /// Keeps a record and forgets the oldest one when the journal is full.
    pub fn keep(&self, trace: Trace) {
        let mut traces = self.traces.lock();
        traces.push_back(trace);
        if traces.len() > CAPACITY {
            traces.pop_front();
        }
    }

    /// Returns the record of a request.
    pub fn find(&self, request: &str) -> Option<Trace> {
        self.traces.lock().iter().rev().find(|trace| *trace.request == *request).cloned()
    }

    /// Adds the late rating of a request's answer.
    pub fn rate(&self, request: &str, rating: f64) {
        let mut traces = self.traces.lock();
        if let Some(trace) = traces.iter_mut().rev().find(|trace| *trace.request == *request) {
            trace.rating = Some(rating);
        }
    }
}
