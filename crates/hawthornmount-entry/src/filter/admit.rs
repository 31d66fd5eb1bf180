//! Refuses requests that can't be finished: no time left, or no room.

use {
    super::{Filter, Flow},
    crate::{exchange::Exchange, instance::Parts},
    async_trait::async_trait,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Requests that one instance works on at a time.
const MAX_IN_FLIGHT: usize = 4_096;
/// When a refused caller should come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

pub struct Admit {
    in_flight: Arc<AtomicUsize>,
}

impl Admit {
    pub fn new(parts: &Parts) -> Self {
        Self { in_flight: parts.in_flight.clone() }
    }
}

#[async_trait]
impl Filter for Admit {
    fn name(&self) -> &'static str {
        "admit"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        exchange.time_left()?;
        if self.in_flight.load(Ordering::Relaxed) > MAX_IN_FLIGHT {
            let problem =
                Problem::new(Refusal::Overloaded, "the instance is full: come back later");
            return Err(problem.retry_after(RETRY_AFTER));
        }
        Ok(Flow::Next)
    }
}
