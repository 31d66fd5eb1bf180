//! Evidence against requests and parts of prompts, as instances report it to each other through the
//! store.

use {
    crate::message::{Digest, PartId},
    hawthornmount_core::id::{RequestId, ServerId},
    serde::{Deserialize, Serialize},
};

/// Key prefix of the reports, which are stored by instance. Builds without quarantine skip these
/// keys.
pub const REPORT_PREFIX: &str = "hawthornmount/quarantine/";

/// Name and start of a server. A server may start again under its name.
pub type ServerRun<'a> = (&'a ServerId, u64);

/// What may be to blame for the end of a server.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Suspect {
    /// A part of prompts.
    #[display("part={_0:x}")]
    Part(PartId),
    /// A request, whatever its id.
    #[display("digest={_0:016x}")]
    Request(Digest),
}

/// A request that got no whole answer because its server ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct End {
    /// Server that ended.
    pub server: ServerId,
    /// Time at which the server had started, in Unix milliseconds.
    pub start_ms: u64,
    /// Id of the request.
    pub request: RequestId,
    /// Parts of its prompt that other requests can share, in their order, if its answer broke off
    /// right after its head.
    pub parts: Vec<PartId>,
    /// The same parts if its answer had not begun, so that it may only have waited at the server. Builds
    /// that know the others only skip them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waiting_parts: Vec<PartId>,
    /// Digest of the request, if it was running. Builds that know parts only skip it and write none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<Digest>,
    /// Digest of the request, if it may only have waited at the server. Builds that take every request
    /// for a running one skip it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waiting: Option<Digest>,
    /// Whether the server is known to have ended. A sound server may break off an answer too.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_confirmed: bool,
}

/// Evidence of one instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Ends of servers, the oldest first.
    pub ends: Vec<End>,
    /// Parts of these and other ends, and the numbers of recent answers with them that went on.
    pub proofs: Vec<(PartId, u32)>,
    /// Requests of these and other ends, and the numbers of recent answers to them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub digest_proofs: Vec<(Digest, u32)>,
    /// Requests of these and other ends, to which there was an answer before or since.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answered: Vec<Digest>,
}

impl Suspect {
    /// Returns what log lines call a suspect of this kind.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Part(_) => "part of prompts",
            Self::Request(_) => "request",
        }
    }
}

impl End {
    /// Returns the run of the server that ended.
    pub fn server_run(&self) -> ServerRun<'_> {
        (&self.server, self.start_ms)
    }

    /// Returns what may be to blame for the end.
    pub fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let waiting = self.waiting_parts.iter().filter(|_| self.is_confirmed);
        let parts = self.parts.iter().chain(waiting).copied().map(Suspect::Part);
        parts.chain(self.request_suspect().filter(|_| self.is_confirmed))
    }

    /// Returns the request as a suspect, also if the end is not confirmed.
    pub fn request_suspect(&self) -> Option<Suspect> {
        self.digest.or(self.waiting).map(Suspect::Request)
    }

    /// Returns whether both are the same end of the same request.
    pub fn is_same(&self, other: &Self) -> bool {
        self.server_run() == other.server_run() && self.request == other.request
    }
}

impl Report {
    /// Creates a report of ends, of the numbers of answers in favour of suspects, in their order, and of
    /// the requests that were answered.
    pub fn new(ends: Vec<End>, proofs: &[(Suspect, u32)], answered: Vec<Digest>) -> Self {
        let mut report = Self { ends, answered, ..Self::default() };
        for (suspect, count) in proofs {
            match suspect {
                Suspect::Part(part) => report.proofs.push((*part, *count)),
                Suspect::Request(digest) => report.digest_proofs.push((*digest, *count)),
            }
        }
        report
    }

    /// Returns whether the report names a request as answered.
    pub fn has_answered(&self, suspect: Suspect) -> bool {
        matches!(suspect, Suspect::Request(digest) if self.answered.contains(&digest))
    }

    /// Returns the numbers of answers in favour of suspects.
    pub fn suspect_proofs(&self) -> impl Iterator<Item = (Suspect, u32)> {
        let parts = self.proofs.iter().map(|(part, count)| (Suspect::Part(*part), *count));
        let digests = self.digest_proofs.iter();
        parts.chain(digests.map(|(digest, count)| (Suspect::Request(*digest), *count)))
    }
}
