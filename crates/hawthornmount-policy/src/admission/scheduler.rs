//! Weighted fair queue in front of the backend servers.

use {
    hawthornmount_core::{id::AccountId, reason::Refusal, table::Table},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Requests that wait at most.
const MAX_WAITING: usize = 512;
/// Requests of one account that wait at most.
const MAX_WAITING_PER_ACCOUNT: usize = 128;
/// Weight of the newest request in the mean time of service.
const MEAN_SERVICE_GAIN: f64 = 0.05;
/// Mean time of service before any request ended.
const INITIAL_MEAN_SERVICE: Duration = Duration::from_millis(100);
/// Smallest and largest time after which a refused caller is asked back.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Smallest weight of an account.
const MIN_WEIGHT: f64 = 0.01;

/// Name of a request that waits.
pub type Ticket = u64;

/// A request that asks to start.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The account.
    pub account: AccountId,
    /// Share of the account at this instance against the others'.
    pub weight: f64,
    /// Higher goes first.
    pub priority: u8,
    /// When the answer has to be whole.
    pub deadline: Instant,
    /// The present time.
    pub now: Instant,
}

/// What happens to a request that asks to start.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It starts.
    Start,
    /// It waits until its ticket is dispatched.
    Wait(Ticket),
    /// It is refused.
    Refuse {
        /// Why.
        reason: Refusal,
        /// When the caller should come back.
        retry_after: Duration,
    },
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: Instant,
}

#[derive(Debug)]
struct Queue {
    weight: f64,
    priority: u8,
    /// Service that the account got, over its weight.
    start_tag: f64,
    running: usize,
    waiting: VecDeque<Waiting>,
}

/// Tickets that were called or given up.
#[derive(Debug, Default, PartialEq)]
pub struct Dispatched {
    /// Requests that start now.
    pub start: Vec<Ticket>,
    /// Requests that can no longer be finished in time.
    pub expired: Vec<Ticket>,
}

/// Queue in front of the backend servers, fair between accounts by their weights.
#[derive(Debug)]
pub struct Scheduler {
    queues: Table<Queue>,
    running: usize,
    waiting: usize,
    capacity: f64,
    virtual_time: f64,
    mean_service_seconds: f64,
    last_ticket: Ticket,
}

impl Scheduler {
    /// Creates a gate that lets `capacity` requests run at a time.
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
        let Some(queue) = self.queues.get_mut(&arrival.account) else {
            return refuse(Refusal::Internal, wait);
        };
        if wait + self.mean_service_seconds > left {
            return refuse(Refusal::Deadline, wait);
        }
        if queue.waiting.len() >= MAX_WAITING_PER_ACCOUNT {
            return refuse(Refusal::OverShare, wait);
        }
        if self.waiting >= MAX_WAITING {
            return refuse(Refusal::Overloaded, wait);
        }
        self.last_ticket += 1;
        queue.waiting.push_back(Waiting { ticket: self.last_ticket, deadline: arrival.deadline });
        self.waiting += 1;
        Decision::Wait(self.last_ticket)
    }

    /// Takes the end of a request that ran for `took`; nothing if it ended without an answer.
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

    /// Takes a request that no longer waits; tells whether it still did.
    pub fn cancel(&mut self, account: &AccountId, ticket: Ticket) -> bool {
        let Some(queue) = self.queues.get_mut(account) else { return false };
        let found = queue.waiting.iter().position(|one| one.ticket == ticket);
        let Some(at) = found else { return false };
        queue.waiting.remove(at);
        self.waiting -= 1;
        true
    }

    /// Calls the requests that may start, in fair order.
    pub fn dispatch(&mut self, now: Instant) -> Dispatched {
        let mut dispatched = Dispatched::default();
        while self.waiting > 0 && self.has_capacity() {
            let Some(account) = self.next_account() else { break };
            let Some(queue) = self.queues.get_mut(&account) else { break };
            let Some(first) = queue.waiting.pop_front() else { break };
            self.waiting -= 1;
            let left = first.deadline.saturating_duration_since(now).as_secs_f64();
            if left < self.mean_service_seconds {
                dispatched.expired.push(first.ticket);
            } else {
                self.start(&account);
                dispatched.start.push(first.ticket);
            }
        }
        dispatched
    }

    fn has_capacity(&self) -> bool {
        (self.running as f64) < self.capacity
    }

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

    fn start(&mut self, account: &AccountId) {
        self.running += 1;
        if let Some(queue) = self.queues.get_mut(account) {
            queue.running += 1;
            self.virtual_time = self.virtual_time.max(queue.start_tag);
            queue.start_tag += 1.0 / queue.weight;
        }
    }

    /// Returns the account whose request starts next: of the highest priority, the one that got
    /// the least for its weight.
    fn next_account(&self) -> Option<AccountId> {
        let backlogged = self.queues.iter().filter(|row| !row.value.waiting.is_empty());
        let first = backlogged.min_by(|a, b| {
            let by_priority = b.value.priority.cmp(&a.value.priority);
            by_priority.then(a.value.start_tag.total_cmp(&b.value.start_tag))
        });
        first.map(|row| row.id.clone())
    }

    /// Returns the seconds that a request would wait behind those of its own account and of higher
    /// priorities.
    fn expected_wait_seconds(&self, arrival: &Arrival) -> f64 {
        let rows = self.queues.iter().map(|row| &row.value);
        let higher = rows.clone().filter(|one| one.priority > arrival.priority);
        let ahead: usize = higher.map(|one| one.waiting.len()).sum();
        let same = rows.filter(|one| one.priority == arrival.priority && !one.waiting.is_empty());
        let weights: f64 = same.map(|one| one.weight).sum();
        let own = self.queues.get(&arrival.account);
        let (queued, weight) = own.map_or((0, 1.0), |one| (one.waiting.len(), one.weight));
        let weights = if queued == 0 { weights + weight } else { weights };
        let share = (weight / weights.max(MIN_WEIGHT)).clamp(MIN_WEIGHT, 1.0);
        let pace = self.capacity / self.mean_service_seconds.max(f64::MIN_POSITIVE);
        (ahead as f64 + (queued + 1) as f64 / share) / pace
    }
}

fn refuse(reason: Refusal, wait: f64) -> Decision {
    let retry_after =
        Duration::from_secs_f64(wait.max(0.0)).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
    Decision::Refuse { reason, retry_after }
}
