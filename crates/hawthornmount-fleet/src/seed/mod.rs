//! Where an instance learns of others before any of them has talked to it.

use {
    async_trait::async_trait,
    hawthornmount_core::id::InstanceId,
    hawthornmount_http::client::Client,
    serde::Deserialize,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Time that the platform's list may take to answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// An instance that may be a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// Name of the instance.
    pub id: InstanceId,
    /// Address for frames.
    pub address: SocketAddr,
}

/// Source of seeds.
#[async_trait]
pub trait Source: Send + Sync {
    /// Returns the seeds, or none if there is no answer.
    async fn seeds(&self) -> Option<Vec<Seed>>;
}

/// Seeds that never change.
pub struct Fixed(pub Vec<Seed>);

#[async_trait]
impl Source for Fixed {
    async fn seeds(&self) -> Option<Vec<Seed>> {
        Some(self.0.clone())
    }
}

/// Seeds from the platform's list of instances.
pub struct Platform {
    client: Client,
    address: SocketAddr,
}

impl Platform {
    /// Creates a source that asks the list at `address`.
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
        let entries = listed.into_iter().filter(|one| &*one.kind == "entry");
        Some(entries.map(|one| Seed { id: one.id, address: one.address }).collect())
    }
}
