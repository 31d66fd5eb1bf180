//! Discovery of the instances that a new instance contacts first.

use {
    async_trait::async_trait,
    hawthornmount_core::id::InstanceId,
    hawthornmount_http::client::Client,
    serde::Deserialize,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Timeout of a request for the platform's list of instances.
const TIMEOUT: Duration = Duration::from_millis(500);

/// An instance that may be a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// Name of the instance.
    pub id: InstanceId,
    /// Address that receives frames.
    pub address: SocketAddr,
}

/// Source of seeds.
#[async_trait]
pub trait Source: Send + Sync {
    /// Returns the seeds, or none if they can't be read.
    async fn seeds(&self) -> Option<Vec<Seed>>;
}

/// Source of a fixed list of seeds.
pub struct Fixed(pub Vec<Seed>);

#[async_trait]
impl Source for Fixed {
    async fn seeds(&self) -> Option<Vec<Seed>> {
        Some(self.0.clone())
    }
}

/// Source that reads the platform's list of instances.
pub struct Platform {
    client: Client,
    address: SocketAddr,
}

impl Platform {
    /// Creates a source that reads the list from the server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(), address }
    }
}

#[derive(Deserialize)]
struct Listed {
    id: Arc<str>,
    kind: Arc<str>,
    address: SocketAddr,
}

#[async_trait]
impl Source for Platform {
    async fn seeds(&self) -> Option<Vec<Seed>> {
        let listed: Vec<Listed> =
            self.client.get(self.address, "/instances", TIMEOUT).await.ok()?;
        let entries = listed.into_iter().filter(|instance| &*instance.kind == "entry");
        Some(entries.map(|entry| Seed { id: entry.id, address: entry.address }).collect())
    }
}
