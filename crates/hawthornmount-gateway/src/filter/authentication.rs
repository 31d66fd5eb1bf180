//! Authenticates a request by its key.

use {
    super::{Exchange, Filter, routing},
    crate::{forward, freshness::Freshness, instance::Components},
    async_trait::async_trait,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    std::sync::Arc,
};

/// Filter that looks up the account of a request, and rejects the request if its route requires a
/// key and the key is missing, unknown or can't be confirmed.
pub struct Authentication {
    freshness: Arc<Freshness>,
}

impl Authentication {
    /// Creates the filter.
    pub fn new(components: &Components) -> Self {
        Self { freshness: components.freshness.clone() }
    }
}

#[async_trait]
impl Filter for Authentication {
    async fn apply(&self, exchange: &mut Exchange) -> Result<(), Problem> {
        let key = exchange.request.key.as_deref();
        exchange.principal = key.and_then(|key| exchange.view.rules.principal(key).cloned());
        let route = exchange.route()?;
        if !exchange.view.rules.requires_keys || route.config.anonymous {
            return Ok(());
        }
        if exchange.principal.is_some() {
            return if self.freshness.is_within_revocation_bound() {
                Ok(())
            } else {
                Err(forward::key_unconfirmed())
            };
        }
        match key {
            None => Err(Problem::new(Refusal::BadKey, "the request has no key: send one")),
            Some(_) => Err(routing::not_configured(
                &self.freshness,
                Refusal::BadKey,
                "no account has this key",
            )),
        }
    }
}
