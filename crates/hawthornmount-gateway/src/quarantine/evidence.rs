//! Evidence against parts, as instances report it to each other through the store.

use {
    crate::message::PartId,
    hawthornmount_core::id::{RequestId, ServerId},
    serde::{Deserialize, Serialize},
};

/// Key prefix of the reports, which are stored by instance. Builds without quarantine skip these
/// keys.
pub const REPORT_PREFIX: &str = "hawthornmount/quarantine/";

/// Name and start of a server. A server may start again under its name.
pub type ServerRun<'a> = (&'a ServerId, u64);

/// A request whose answer broke off right after its head.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct End {
    /// Server that ended.
    pub server: ServerId,
    /// Time at which the server had started, in Unix milliseconds.
    pub start_ms: u64,
    /// Id of the request.
    pub request: RequestId,
    /// Parts of its prompt that other requests can share, in their order.
    pub parts: Vec<PartId>,
}

/// Evidence of one instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Ends of servers, the oldest first.
    pub ends: Vec<End>,
    /// Parts of these and other ends, and the numbers of recent answers with them that went on.
    pub proofs: Vec<(PartId, u32)>,
}

impl End {
    /// Returns the run of the server that ended.
    pub fn server_run(&self) -> ServerRun<'_> {
        (&self.server, self.start_ms)
    }
}
