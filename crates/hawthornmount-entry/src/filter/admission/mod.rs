//! Admission control: a request starts when its account's share of the capacity allows it, and is
//! refused early if it can't finish before its deadline.

use {
    super::{Filter, Flow},
    crate::{
        exchange::{Exchange, Kind},
        instance::Components,
    },
    async_trait::async_trait,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    hawthornmount_policy::{
        admission::{Arrival, Due, Queue, Refused},
        router::Class,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
};

/// Maximum number of requests in flight at one instance, including those that wait.
const MAX_IN_FLIGHT: usize = 4_096;
/// Value of `Retry-After` of refused requests, unless the scheduler gives one.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Filter that admits requests by account shares.
pub struct Admission {
    components: Arc<Components>,
    engine_queue: Arc<Queue>,
    service_queue: Arc<Queue>,
}

impl Admission {
    pub fn new(components: &Arc<Components>) -> Self {
        Self {
            components: components.clone(),
            engine_queue: Arc::default(),
            service_queue: Arc::default(),
        }
    }

    /// Records the arrival in the demand of the account and describes it to the scheduler.
    fn arrival(&self, exchange: &Exchange) -> Arrival {
        let account = exchange.snapshot.config.accounts.get(&exchange.account);
        let now = Instant::now();
        let mut demand = self.components.demand.lock();
        demand.record_arrival(&exchange.account, now);
        let share = demand.local_share(&exchange.account, now);
        Arrival {
            account: exchange.account.clone(),
            weight: account.map_or(1.0, |account| f64::from(account.weight)) * share,
            priority: account.map_or(0, |account| account.priority),
            deadline: exchange.deadline,
            due: Due::Answer,
            now,
        }
    }
}

#[async_trait]
impl Filter for Admission {
    fn name(&self) -> &'static str {
        "admit"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        exchange.time_left()?;
        if self.components.in_flight.load(Ordering::Relaxed) > MAX_IN_FLIGHT {
            return Err(refusal(Refusal::Overloaded, RETRY_AFTER));
        }
        let (class, queue) = match &exchange.kind {
            Kind::Completion(_) => (Class::Engine, &self.engine_queue),
            Kind::Service(_) => (Class::Service, &self.service_queue),
            Kind::Models => return Ok(Flow::Next),
        };
        let settings = &self.components.settings;
        let query = exchange.query(&settings.data_centre, &settings.region);
        let snapshot = self.components.snapshot.load();
        if let Some(capacity) = self.components.router.concurrency_limit(&snapshot, &query, class) {
            let acquired = queue.acquire(&self.arrival(exchange), capacity).await;
            let permit =
                acquired.map_err(|Refused { reason, retry_after }| refusal(reason, retry_after))?;
            exchange.guards.push(Box::new(permit));
        }
        Ok(Flow::Next)
    }
}

fn refusal(reason: Refusal, retry_after: Duration) -> Problem {
    let detail = match reason {
        Refusal::Deadline => "the deadline can't be met now: allow more time or come back later",
        Refusal::OverShare => "too many requests of the account wait: send fewer at a time",
        _ => "the instance is full: come back later",
    };
    Problem::new(reason, detail).retry_after(retry_after)
}
