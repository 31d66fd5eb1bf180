//! The filters of the request path, in the order in which a request passes them.

mod admit;
mod allow;
mod bill;
mod choose;
mod claim;
mod identify;
mod pin;
mod rate;
mod room;
mod send;

use {
    crate::{answer::End, exchange::Exchange, instance::Parts},
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
    async fn failed(&self, _exchange: &mut Exchange, _problem: &Problem) {}
}

/// What a filter leaves to do when the answer is whole, before its last byte goes out.
#[async_trait]
pub trait Finisher: Send + Sync {
    /// Does what is left.
    ///
    /// # Errors
    ///
    /// Returns the problem that the caller gets in place of the answer's end.
    async fn finish(&self, end: &End) -> Result<(), Problem>;

    /// Cleans up after an answer that did not reach its end; `end` is what is known of it.
    async fn cut(&self, _end: &End) {}
}

/// Returns the request path: who asks, what they may use, whether there is room for the request and
/// for its usage record, which version the session keeps, whether the call is the first of its key,
/// where it goes, and what is left to do when the answer is whole.
pub fn path(parts: &Arc<Parts>) -> Vec<Box<dyn Filter>> {
    vec![
        Box::new(identify::Identify),
        Box::new(allow::Allow),
        Box::new(admit::Admit::new(parts)),
        Box::new(room::Room::new(parts)),
        Box::new(pin::Pin::new(parts)),
        Box::new(claim::Claim::new(parts)),
        Box::new(choose::Choose::new(parts)),
        Box::new(send::Send::new(parts)),
        Box::new(rate::Rate::new(parts)),
        Box::new(bill::Bill::new(parts)),
    ]
}

/// Passes a request through the filters until it is answered.
///
/// # Errors
///
/// Returns the problem that the caller gets in place of an answer.
pub async fn run(path: &[Box<dyn Filter>], exchange: &mut Exchange) -> Result<(), Problem> {
    for (at, filter) in path.iter().enumerate() {
        match filter.apply(exchange).await {
            Ok(Flow::Next) => {}
            Ok(Flow::Answered) => return Ok(()),
            Err(problem) => {
                let problem = exchange.correct(problem);
                for applied in path[..at].iter().rev() {
                    applied.failed(exchange, &problem).await;
                }
                return Err(problem);
            }
        }
    }
    Ok(())
}
