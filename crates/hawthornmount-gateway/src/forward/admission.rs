//! Admission: how many requests of this instance are in flight at the engines of a service, and which
//! ones start first.
//!
//! Load: several times what the engines can serve, one account with many times its usual, callers who
//! repeat at once. Without admission everybody waits at the engines, and those with the shortest targets
//! are late first. Each instance keeps to its share of the slots, so that a request that has started is
//! not slowed down by others; the rest waits here, the most urgent first and the accounts of a rank in
//! turn, and is rejected at once if its turn would come too late.
//!
//! Only settings that state that callers compete for room switch it on: a data centre can't use the room
//! of another one, so that where demand moves between them, admission would leave servers idle.
//!
//! The share follows from the demand that the instances of a data centre tell each other, and by the
//! number of instances where they don't. No message is exchanged for a request.

use {
    super::{Forwarder, Job},
    hawthornmount_core::{config::Rank, id::ServiceId, problem::Problem, reason::Refusal},
    hawthornmount_policy::admission::{Arrival, Demand, Due, Permit, Queue, Refused},
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Part of its capacity from which an instance is crowded: requests then begin with the smallest model.
const CROWDED: f64 = 0.6;
/// Fewest requests that an instance may have in flight.
const MIN_CAPACITY: f64 = 2.0;
/// Longest wait, as a multiple of the target latency; after that, the caller is better off elsewhere.
const MAX_WAIT_TARGETS: f64 = 2.0;
/// Part of the time until the deadline that a request may wait at the most.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Lowest rank that is told from others.
const LOWEST_RANK: Rank = 9;
/// Part by which the times after which callers return are spread.
const RETURN_SPREAD: f64 = 0.5;

/// Queue of the requests to a service.
struct Row {
    service: ServiceId,
    queue: Arc<Queue>,
    /// Requests that may be in flight, as of the last arrival.
    capacity: f64,
}

/// Queues by service, and the demand of the instances.
#[derive(Default)]
pub struct Admission {
    rows: Mutex<Vec<Row>>,
    /// Rates of the requests by service, in place of accounts.
    pub demand: Mutex<Demand>,
}

/// Instances that share the slots of a service.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// All instances; `None` if they are not known.
    pub instances: Option<usize>,
    /// Instances of the data centre, with this one.
    pub in_data_centre: usize,
    /// Those of them whose demand is known, with this one.
    pub heard: usize,
    /// Part of their demand that arrives at this instance.
    pub share: f64,
}

/// Returns how many requests an instance may have in flight at servers with `slots` slots. A data centre
/// gets slots by its number of instances, an instance by its part of the demand of those that it hears.
pub fn capacity(slots: u32, fleet: &Fleet) -> f64 {
    let instances = fleet.instances.unwrap_or(fleet.in_data_centre).max(fleet.in_data_centre);
    let part = fleet.heard.max(1) as f64 / instances.max(1) as f64 * fleet.share;
    (f64::from(slots) * part).max(MIN_CAPACITY)
}

/// Returns the priority of a request: by its rank, which is that of its account if it has one, and then
/// by that of its route. A higher one goes first.
pub const fn priority(rank: Rank, of_route: Rank) -> u8 {
    let rank = if rank > LOWEST_RANK { LOWEST_RANK } else { rank };
    let of_route = if of_route > LOWEST_RANK { LOWEST_RANK } else { of_route };
    u8::MAX - (rank * (LOWEST_RANK + 1) + of_route)
}

/// Returns the longest time that a request may wait for its turn.
pub fn longest_wait(target: Duration, left: Duration) -> Duration {
    target.mul_f64(MAX_WAIT_TARGETS).min(left.mul_f64(MAX_WAIT_SHARE))
}

impl Admission {
    /// Returns the queue of a service, and sets how many requests may be in flight there.
    fn queue(&self, service: &ServiceId, capacity: f64) -> Arc<Queue> {
        let mut rows = self.rows.lock();
        let at = match rows.binary_search_by(|row| row.service.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                rows.insert(at, Row { service: service.clone(), queue: Arc::default(), capacity });
                at
            }
        };
        rows[at].capacity = capacity;
        rows[at].queue.clone()
    }

    /// Returns whether this instance has nearly as many requests in flight at a service as it may, or
    /// some wait.
    pub fn is_crowded(&self, service: &str) -> bool {
        let rows = self.rows.lock();
        let Ok(at) = rows.binary_search_by(|row| (*row.service).cmp(service)) else { return false };
        let (running, waiting) = rows[at].queue.counts();
        waiting > 0 || running as f64 > rows[at].capacity * CROWDED
    }
}

impl Forwarder {
    /// Waits until a request to engines may start. The permit counts it until it is dropped.
    ///
    /// # Errors
    ///
    /// Returns a problem if its turn would come too late.
    pub(super) async fn admit(&self, job: &Job) -> Result<Option<Permit>, Problem> {
        if !self.adaptation.admits() || job.request.prompt_tokens == 0 {
            return Ok(None);
        }
        let now = Instant::now();
        let capacity = self.capacity(job, now);
        let target = job.route.config.target_latency;
        let (rank, account) = (job.rank(), job.principal.as_ref().map(|one| &*one.account));
        let arrival = Arrival {
            account: format!("{rank}/{}/{}", job.route.config.rank, account.unwrap_or_default())
                .into(),
            weight: 1.0,
            priority: priority(rank, job.route.config.rank),
            deadline: now + longest_wait(target, job.time_left()),
            due: Due::Start,
            now,
        };
        let queue = self.admission.queue(&job.service, capacity);
        queue.acquire(&arrival, capacity).await.map(Some).map_err(|refused| {
            let (running, waiting) = queue.counts();
            log::info!(
                "not admitted; id={} route={} rank={rank} capacity={capacity:.0} running={running} \
                 waiting={waiting} reason={}",
                job.id,
                job.route.id,
                refused.reason,
            );
            rejected(refused)
        })
    }

    /// Returns how many requests this instance may have in flight at the service of a request.
    fn capacity(&self, job: &Job, now: Instant) -> f64 {
        let view = self.cell.load();
        // Requests with and without allowed regions wait in one queue, so all servers count.
        let slots = view.servers(&job.service).iter().map(|server| server.slots).sum();
        let mut demand = self.admission.demand.lock();
        demand.record_arrival(&job.service, now);
        let fleet = Fleet {
            instances: self.fleet_size.get(),
            in_data_centre: self.exchange_peers.count() + 1,
            heard: demand.heard(now) + 1,
            share: demand.local_share(&job.service, now),
        };
        capacity(slots, &fleet)
    }
}

/// Returns the problem of a request whose turn would come too late. The times after which callers return
/// are spread, so that they don't all return at once.
fn rejected(refused: Refused) -> Problem {
    let spread = 1.0 + RETURN_SPREAD * rand::random::<f64>();
    let detail = "the servers have no room in time: come back";
    let mut problem =
        Problem::new(Refusal::Overloaded, detail).retry_after(refused.retry_after.mul_f64(spread));
    problem.status = http::StatusCode::SERVICE_UNAVAILABLE.as_u16();
    problem
}
