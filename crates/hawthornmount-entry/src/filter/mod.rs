//! The filter chain that processes each request.

mod admission;
mod affinity;
mod authentication;
mod authorization;
mod backlog;
mod billing;
mod forwarding;
mod idempotency;
mod rating;
mod selection;

pub use authentication::account;

use {
    crate::{answer::Summary, exchange::Exchange, instance::Components},
    async_trait::async_trait,
    hawthornmount_core::problem::Problem,
    std::sync::Arc,
};

/// How the chain continues after a filter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Flow {
    /// The next filter runs.
    Next,
    /// The exchange has its answer; the remaining filters are skipped.
    Answered,
}

/// One filter of the chain.
#[async_trait]
pub trait Filter: Send + Sync {
    /// Returns the name of the filter in logs and measurements.
    fn name(&self) -> &'static str;

    /// Processes the request.
    ///
    /// # Errors
    ///
    /// Returns the problem that the caller gets in place of an answer.
    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem>;

    /// Runs after a later filter ended the request with `problem`, for example to settle the claim.
    async fn on_failure(&self, _exchange: &mut Exchange, _problem: &Problem) {}
}

/// Work that a filter defers until the answer is complete.
#[async_trait]
pub trait AnswerHook: Send + Sync {
    /// Runs when the answer is complete, before its last byte is sent.
    ///
    /// # Errors
    ///
    /// Returns the problem that the caller gets in place of the answer, or of the end of a stream.
    async fn on_complete(&self, summary: &Summary) -> Result<(), Problem>;

    /// Runs in place of [`AnswerHook::on_complete`] if a stream ended early. `summary` covers the
    /// part of the answer that arrived.
    async fn on_abort(&self, _summary: &Summary) {}
}

/// Returns the filters in the order in which they run: authentication, authorization, admission,
/// room for the usage record, session affinity, the claim of the idempotency key, selection of
/// models and versions, forwarding, and the hooks that rate and bill the complete answer.
pub fn chain(components: &Arc<Components>) -> Vec<Box<dyn Filter>> {
    vec![
        Box::new(authentication::Authentication),
        Box::new(authorization::Authorization),
        Box::new(admission::Admission::new(components)),
        Box::new(backlog::Backlog::new(components)),
        Box::new(affinity::Affinity::new(components)),
        Box::new(idempotency::Idempotency::new(components)),
        Box::new(selection::Selection::new(components)),
        Box::new(forwarding::Forwarding::new(components)),
        Box::new(rating::Rating::new(components)),
        Box::new(billing::Billing::new(components)),
    ]
}

/// Runs the filters on a request until it is answered. If a filter returns a problem,
/// [`Filter::on_failure`] of the filters before it runs in reverse order.
///
/// # Errors
///
/// Returns the problem that the caller gets in place of an answer.
pub async fn run(chain: &[Box<dyn Filter>], exchange: &mut Exchange) -> Result<(), Problem> {
    for (position, filter) in chain.iter().enumerate() {
        match filter.apply(exchange).await {
            Ok(Flow::Next) => {}
            Ok(Flow::Answered) => return Ok(()),
            Err(problem) => {
                let problem = exchange.mark_possible_run(problem);
                for applied in chain[..position].iter().rev() {
                    applied.on_failure(exchange, &problem).await;
                }
                return Err(problem);
            }
        }
    }
    Ok(())
}
