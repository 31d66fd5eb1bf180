//! Problem documents (RFC 9457) that callers get instead of an answer.

use {
    crate::reason::Refusal,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Whether a request ran on a backend server, as far as it is known.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// The request did not run: no byte of it reached a server, or the server reported that it
    /// refused the request before running it.
    #[serde(rename = "no")]
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A refusal to send to the caller.
#[derive(Clone, Debug)]
pub struct Problem {
    /// Reason of the refusal.
    pub reason: Refusal,
    /// HTTP status.
    pub status: u16,
    /// What went wrong and what the caller can do.
    pub detail: Arc<str>,
    /// Whether the request may have run.
    pub ran: Execution,
    /// Time after which the caller should retry, if it is known.
    pub retry_after: Option<Duration>,
}

/// JSON form of a [`Problem`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Document {
    /// URI reference of the page that explains the reason.
    #[serde(rename = "type")]
    pub kind: Arc<str>,
    /// Reason in words.
    pub title: Arc<str>,
    /// HTTP status.
    pub status: u16,
    /// What went wrong and what the caller can do.
    pub detail: Arc<str>,
    /// Reason of the refusal, as [`Refusal::as_str`] returns it.
    pub reason: Arc<str>,
    /// Whether the request may have run.
    pub ran: Execution,
    /// Id of the request.
    pub request_id: Arc<str>,
}

impl Problem {
    /// Creates a problem for a request that did not run.
    pub fn new(reason: Refusal, detail: impl Into<Arc<str>>) -> Self {
        Self {
            reason,
            status: status(reason),
            detail: detail.into(),
            ran: Execution::NotRun,
            retry_after: None,
        }
    }

    /// Marks the request as one that may have run.
    #[must_use]
    pub fn execution_unknown(mut self) -> Self {
        self.ran = Execution::Unknown;
        self
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the JSON form for the request with `request_id`.
    pub fn document(&self, request_id: &str) -> Document {
        Document {
            kind: format!("/problems/{}", self.reason).into(),
            title: self.reason.as_str().replace('_', " ").into(),
            status: self.status,
            detail: self.detail.clone(),
            reason: self.reason.as_str().into(),
            ran: self.ran,
            request_id: request_id.into(),
        }
    }
}

const fn status(reason: Refusal) -> u16 {
    match reason {
        Refusal::Malformed | Refusal::KeyRequired => 400,
        Refusal::BadKey => 401,
        Refusal::NotAllowed => 403,
        Refusal::NotFound => 404,
        Refusal::CallerTimeout => 408,
        Refusal::KeyRunning | Refusal::KeyUnknown => 409,
        Refusal::BodyTooLarge => 413,
        Refusal::KeyConflict => 422,
        Refusal::OverShare | Refusal::Overloaded => 429,
        Refusal::ServerFailed | Refusal::BadAnswer => 502,
        Refusal::Deadline => 504,
        Refusal::NoVersion
        | Refusal::NoServer
        | Refusal::NoPath
        | Refusal::RegionUnavailable
        | Refusal::StoreUnavailable
        | Refusal::UsageBacklog
        | Refusal::NotReady
        | Refusal::NoRoom
        | Refusal::Stopping
        | Refusal::Quarantined
        | Refusal::SessionLost => 503,
        Refusal::Internal => 500,
    }
}
