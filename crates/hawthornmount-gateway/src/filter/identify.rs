//! Finds the account that the key belongs to.

use {
    super::{Exchange, Filter, find},
    crate::{fence::Fence, forward, instance::Parts},
    async_trait::async_trait,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    std::sync::Arc,
};

/// Finds the account of a request.
pub struct Identify {
    fence: Arc<Fence>,
}

impl Identify {
    /// Creates the filter.
    pub fn new(parts: &Parts) -> Self {
        Self { fence: parts.fence.clone() }
    }
}

#[async_trait]
impl Filter for Identify {
    async fn apply(&self, exchange: &mut Exchange) -> Result<(), Problem> {
        let key = exchange.ask.key.as_deref();
        exchange.holder = key.and_then(|key| exchange.view.rules.holder(key).cloned());
        let route = exchange.route()?;
        if !exchange.view.rules.keyed || route.route.anonymous {
            return Ok(());
        }
        if exchange.holder.is_some() {
            return if self.fence.is_open() { Ok(()) } else { Err(forward::unconfirmed()) };
        }
        match key {
            None => Err(Problem::new(Refusal::BadKey, "the request has no key: send one")),
            Some(_) => Err(find::unknown(&self.fence, Refusal::BadKey, "no account has this key")),
        }
    }
}
