//! Weighted fair queueing of requests in front of the backend servers, by start tags (start-time
//! fair queueing).

use {
    hawthornmount_core::{id::AccountId, reason::Refusal, table::Table},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Maximum number of waiting requests.
const MAX_WAITING: usize = 512;
/// Maximum number of waiting requests of one account.
const MAX_WAITING_PER_ACCOUNT: usize = 128;
/// Weight of the newest request in the moving average of the service time.
const MEAN_SERVICE_GAIN: f64 = 0.05;
/// Service time that is assumed until the first request has ended.
const INITIAL_MEAN_SERVICE: Duration = Duration::from_millis(100);
/// Bounds of the `Retry-After` time of a refusal.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Smallest weight of an account.
const MIN_WEIGHT: f64 = 0.01;

/// Identifies a waiting request.
pub type Ticket = u64;

/// What has to happen by the deadline of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Due {
    /// The answer has to be complete.
    Answer,
    /// The request has to start.
    Start,
}

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The account.
    pub account: AccountId,
    /// Weight of the account at this instance, relative to the weights of the other accounts.
    pub weight: f64,
    /// Priority; requests of a higher priority start first.
    pub priority: u8,
    /// Time by which `due` has to happen.
    pub deadline: Instant,
    /// What has to happen by the deadline.
    pub due: Due,
    /// The current time.
    pub now: Instant,
}

/// Result of admission control for one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request starts at once.
    Start,
    /// The request waits until [`Scheduler::dispatch`] returns its ticket.
    Wait(Ticket),
    /// The request is refused.
    Refuse {
        /// The reason of the refusal.
        reason: Refusal,
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: Instant,
    due: Due,
}

/// Running and waiting requests of one account.
#[derive(Debug)]
struct Queue {
    weight: f64,
    priority: u8,
    /// Virtual time at which the next request of the account starts. It grows by 1 / `weight` with
    /// each request, and is raised to the virtual time of the scheduler when a request arrives
    /// while none waits, so that an idle account saves up no credit.
    start_tag: f64,
    running: usize,
    waiting: VecDeque<Waiting>,
}

/// Tickets that were taken from the queues.
#[derive(Debug, Default, PartialEq)]
pub struct Dispatched {
    /// Requests that start now.
    pub start: Vec<Ticket>,
    /// Requests that can no longer meet their deadline.
    pub expired: Vec<Ticket>,
}

/// Limits the number of running requests, and shares it fairly between the accounts by weight.
#[derive(Debug)]
pub struct Scheduler {
    queues: Table<Queue>,
    running: usize,
    waiting: usize,
    capacity: f64,
    /// Highest start tag of a request that has started.
    virtual_time: f64,
    mean_service_seconds: f64,
    last_ticket: Ticket,
}

impl Scheduler {
    /// Creates a scheduler that lets `capacity` requests run at a time.
    pub fn new(capacity: f64) -> Self {
        Self {
            queues: Table::new(),
            running: 0,
            waiting: 0,
            capacity,
            virtual_time: 0.0,
            mean_service_seconds: INITIAL_MEAN_SERVICE.as_secs_f64(),
            last_ticket: 0,
        }
    }

    /// Changes the number of requests that may run at a time.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity.max(1.0);
    }

    /// Returns the number of running requests.
    pub const fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of waiting requests.
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Decides on a request that has just arrived.
    pub fn admit(&mut self, arrival: &Arrival) -> Decision {
        self.update_queue(arrival);
        if self.waiting == 0 && self.has_capacity() {
            self.start(&arrival.account);
            return Decision::Start;
        }
        let wait = self.expected_wait_seconds(arrival);
        let left = arrival.deadline.saturating_duration_since(arrival.now).as_secs_f64();
        if wait + self.seconds_until(arrival.due) > left {
            return refuse(Refusal::Deadline, wait);
        }
        let Some(queue) = self.queues.get_mut(&arrival.account) else {
            return refuse(Refusal::Internal, wait);
        };
        if queue.waiting.len() >= MAX_WAITING_PER_ACCOUNT {
            return refuse(Refusal::OverShare, wait);
        }
        if self.waiting >= MAX_WAITING {
            return refuse(Refusal::Overloaded, wait);
        }
        self.last_ticket += 1;
        queue.waiting.push_back(Waiting {
            ticket: self.last_ticket,
            deadline: arrival.deadline,
            due: arrival.due,
        });
        self.waiting += 1;
        Decision::Wait(self.last_ticket)
    }

    /// Records the end of a request that ran for `took`, `None` if it ended without an answer.
    pub fn finish(&mut self, account: &AccountId, took: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(queue) = self.queues.get_mut(account) {
            queue.running = queue.running.saturating_sub(1);
        }
        if let Some(took) = took {
            self.mean_service_seconds +=
                MEAN_SERVICE_GAIN * (took.as_secs_f64() - self.mean_service_seconds);
        }
    }

    /// Removes a waiting request and returns whether it was still waiting.
    pub fn cancel(&mut self, account: &AccountId, ticket: Ticket) -> bool {
        let Some(queue) = self.queues.get_mut(account) else { return false };
        let found = queue.waiting.iter().position(|one| one.ticket == ticket);
        let Some(at) = found else { return false };
        queue.waiting.remove(at);
        self.waiting -= 1;
        true
    }

    /// Takes the requests that may start now from the queues, in fair order.
    pub fn dispatch(&mut self, now: Instant) -> Dispatched {
        let mut dispatched = Dispatched::default();
        while self.waiting > 0 && self.has_capacity() {
            let Some(account) = self.next_account() else { break };
            let Some(queue) = self.queues.get_mut(&account) else { break };
            let Some(first) = queue.waiting.pop_front() else { break };
            self.waiting -= 1;
            let left = first.deadline.saturating_duration_since(now).as_secs_f64();
            if left < self.seconds_until(first.due) {
                dispatched.expired.push(first.ticket);
            } else {
                self.start(&account);
                dispatched.start.push(first.ticket);
            }
        }
        dispatched
    }

    /// Returns the seconds from the start of a request until what has to happen by its deadline.
    const fn seconds_until(&self, due: Due) -> f64 {
        match due {
            Due::Answer => self.mean_service_seconds,
            Due::Start => 0.0,
        }
    }

    fn has_capacity(&self) -> bool {
        (self.running as f64) < self.capacity
    }

    /// Creates the queue of the account if it has none, and sets its weight and priority.
    fn update_queue(&mut self, arrival: &Arrival) {
        if !self.queues.contains(&arrival.account) {
            self.queues.insert(
                arrival.account.clone(),
                Queue {
                    weight: MIN_WEIGHT,
                    priority: 0,
                    start_tag: 0.0,
                    running: 0,
                    waiting: VecDeque::new(),
                },
            );
        }
        let virtual_time = self.virtual_time;
        let Some(queue) = self.queues.get_mut(&arrival.account) else { return };
        queue.weight = arrival.weight.max(MIN_WEIGHT);
        queue.priority = arrival.priority;
        if queue.waiting.is_empty() {
            queue.start_tag = queue.start_tag.max(virtual_time);
        }
    }

    /// Counts a request as running and advances the start tag of its account.
    fn start(&mut self, account: &AccountId) {
        self.running += 1;
        if let Some(queue) = self.queues.get_mut(account) {
            queue.running += 1;
            self.virtual_time = self.virtual_time.max(queue.start_tag);
            queue.start_tag += 1.0 / queue.weight;
        }
    }

    /// Returns the account whose request starts next: among those of the highest priority, the one
    /// with the lowest start tag.
    fn next_account(&self) -> Option<AccountId> {
        let backlogged = self.queues.iter().filter(|row| !row.value.waiting.is_empty());
        let first = backlogged.min_by(|a, b| {
            let by_priority = b.value.priority.cmp(&a.value.priority);
            by_priority.then(a.value.start_tag.total_cmp(&b.value.start_tag))
        });
        first.map(|row| row.id.clone())
    }

    /// Returns the seconds that a request is expected to wait behind the requests of its own
    /// account and of higher priorities.
    fn expected_wait_seconds(&self, arrival: &Arrival) -> f64 {
        let rows = self.queues.iter().map(|row| &row.value);
        let higher_priority = rows.clone().filter(|one| one.priority > arrival.priority);
        let ahead: usize = higher_priority.map(|one| one.waiting.len()).sum();
        let same_priority =
            rows.filter(|one| one.priority == arrival.priority && !one.waiting.is_empty());
        let weights: f64 = same_priority.map(|one| one.weight).sum();
        let own = self.queues.get(&arrival.account);
        let (queued, weight) = own.map_or((0, 1.0), |one| (one.waiting.len(), one.weight));
        let weights = if queued == 0 { weights + weight } else { weights };
        let share = (weight / weights.max(MIN_WEIGHT)).clamp(MIN_WEIGHT, 1.0);
        let requests_per_second = self.capacity / self.mean_service_seconds.max(f64::MIN_POSITIVE);
        (ahead as f64 + (queued + 1) as f64 / share) / requests_per_second
    }
}

fn refuse(reason: Refusal, wait: f64) -> Decision {
    let retry_after =
        Duration::from_secs_f64(wait.max(0.0)).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
    Decision::Refuse { reason, retry_after }
}
