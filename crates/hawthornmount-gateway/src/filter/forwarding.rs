//! Forwards a request to servers.

use {
    super::{Exchange, Filter},
    crate::{forward::Forwarder, instance::Components},
    async_trait::async_trait,
    hawthornmount_core::problem::Problem,
    std::sync::Arc,
};

/// Filter that forwards a request to servers until one of them responds.
pub struct Forwarding {
    forwarder: Arc<Forwarder>,
}

impl Forwarding {
    /// Creates the filter.
    pub fn new(components: &Components) -> Self {
        Self { forwarder: components.forwarder.clone() }
    }
}

#[async_trait]
impl Filter for Forwarding {
    async fn apply(&self, exchange: &mut Exchange) -> Result<(), Problem> {
        let job = self.forwarder.job(exchange)?;
        exchange.response = Some(self.forwarder.run(job).await?);
        Ok(())
    }
}
