//! The filters of the request path, in the order in which a request passes them.

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

use {
    crate::{answer::Summary, exchange::Exchange, instance::Parts},
    async_trait::async_trait,
    hawthornmount_core::problem::Problem,
    std::sync::Arc,
};

/// What happens after a filter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Flow {
    /// The next filter follows.
    Next,
    /// The answer stands; the filters that follow are passed over.
    Answered,
}

/// One step of the request path.
#[async_trait]
pub trait Filter: Send + Sync {
    /// Returns the name of the filter, for logs and measurements.
    fn name(&self) -> &'static str;

    /// Does the step.
    ///
    /// # Errors
    ///
    /// Returns the problem that the caller gets in place of an answer.
    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem>;

    /// Cleans up after a later filter ended the request with `problem`.
    async fn on_failure(&self, _exchange: &mut Exchange, _problem: &Problem) {}
}

/// What a filter leaves to do when the answer is whole, before its last byte goes out.
#[async_trait]
pub trait ResponseHook: Send + Sync {
    /// Does what is left.
    ///
    /// # Errors
    ///
    /// Returns the problem that the caller gets in place of the answer's end.
    async fn on_complete(&self, end: &Summary) -> Result<(), Problem>;

    /// Cleans up after an answer that did not reach its end; `end` is what is known of it.
    async fn on_abort(&self, _end: &Summary) {}
}

/// Returns the request path: who asks, what they may use, whether there is room for the request and
/// for its usage record, which version the session keeps, whether the call is the first of its key,
/// where it goes, and what is left to do when the answer is whole.
pub fn chain(parts: &Arc<Parts>) -> Vec<Box<dyn Filter>> {
    vec![
        Box::new(authentication::Authentication),
        Box::new(authorization::Authorization),
        Box::new(admission::Admission::new(parts)),
        Box::new(backlog::Backlog::new(parts)),
        Box::new(affinity::Affinity::new(parts)),
        Box::new(idempotency::Idempotency::new(parts)),
        Box::new(selection::Selection::new(parts)),
        Box::new(forwarding::Forwarding::new(parts)),
        Box::new(rating::Rating::new(parts)),
        Box::new(billing::Billing::new(parts)),
    ]
}

/// Passes a request through the filters until it is answered.
///
/// # Errors
///
/// Returns the problem that the caller gets in place of an answer.
pub async fn run(chain: &[Box<dyn Filter>], exchange: &mut Exchange) -> Result<(), Problem> {
    for (at, filter) in chain.iter().enumerate() {
        match filter.apply(exchange).await {
            Ok(Flow::Next) => {}
            Ok(Flow::Answered) => return Ok(()),
            Err(problem) => {
                let problem = exchange.mark_possible_run(problem);
                for applied in chain[..at].iter().rev() {
                    applied.on_failure(exchange, &problem).await;
                }
                return Err(problem);
            }
        }
    }
    Ok(())
}
