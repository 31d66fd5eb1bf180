//! Queue of requests that wait until the scheduler lets them run on backend servers.

use {
    super::{Arrival, Decision, Dispatched, Scheduler, Ticket},
    hawthornmount_core::{id::AccountId, reason::Refusal},
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

/// Time after which a caller should retry whose request waited in vain.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that is not admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// The reason.
    pub reason: Refusal,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

/// Signal that ends the wait of a request.
#[derive(Debug)]
enum Signal {
    /// The request may run.
    Start,
    /// The deadline can no longer be met.
    Expired,
}

/// A waiting request.
#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    sender: oneshot::Sender<Signal>,
}

#[derive(Debug)]
struct State {
    scheduler: Scheduler,
    /// Waiting requests, sorted by ticket.
    waiters: Vec<Waiter>,
}

/// Scheduler with the channels that wake the requests it lets run.
#[derive(Debug)]
pub struct Queue(Mutex<State>);

/// Permit of a request that runs or waits; dropping it releases it to the scheduler.
#[derive(Debug)]
pub struct Permit {
    queue: Arc<Queue>,
    account: AccountId,
    /// Ticket while the request waits; `None` once it runs.
    ticket: Option<Ticket>,
    started: Instant,
}

impl Queue {
    /// Waits until the request may run and returns its permit.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request can't finish before its deadline or too many requests wait.
    pub async fn acquire(
        self: &Arc<Self>,
        arrival: &Arrival,
        capacity: f64,
    ) -> Result<Permit, Refused> {
        let (mut permit, receiver) = self.request_permit(arrival, capacity)?;
        let Some(receiver) = receiver else { return Ok(permit) };
        let deadline = tokio::time::Instant::from_std(arrival.deadline);
        let signal = tokio::time::timeout_at(deadline, receiver).await;
        let Ok(Ok(Signal::Start)) = signal else {
            return Err(Refused { reason: Refusal::Deadline, retry_after: RETRY_AFTER });
        };
        permit.start();
        Ok(permit)
    }

    /// Enters the request into the scheduler. The receiver is `Some` if the request has to wait.
    fn request_permit(
        self: &Arc<Self>,
        arrival: &Arrival,
        capacity: f64,
    ) -> Result<(Permit, Option<oneshot::Receiver<Signal>>), Refused> {
        let mut state = self.0.lock();
        state.scheduler.set_capacity(capacity);
        let decision = state.scheduler.admit(arrival);
        let permit = |ticket| Permit {
            queue: self.clone(),
            account: arrival.account.clone(),
            ticket,
            started: arrival.now,
        };
        let result = match decision {
            Decision::Start => Ok((permit(None), None)),
            Decision::Refuse { reason, retry_after } => Err(Refused { reason, retry_after }),
            Decision::Wait(ticket) => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.push(Waiter { ticket, sender });
                Ok((permit(Some(ticket)), Some(receiver)))
            }
        };
        state.wake_waiters();
        drop(state);
        result
    }

    /// Ends the request in the scheduler and wakes the requests that can run in its place.
    fn release(&self, permit: &Permit) {
        let mut state = self.0.lock();
        match permit.ticket {
            None => state.scheduler.finish(&permit.account, Some(permit.started.elapsed())),
            Some(ticket) if state.scheduler.cancel(&permit.account, ticket) => {
                state.remove_waiter(ticket);
            }
            // The scheduler dispatched the request just as it stopped waiting, and counts it as
            // running. It never ran, so it has no service time. An expired request ends here too,
            // although the scheduler has not counted it as running.
            Some(_) => state.scheduler.finish(&permit.account, None),
        }
        state.wake_waiters();
    }
}

impl Queue {
    /// Returns the numbers of running and of waiting requests.
    pub fn counts(&self) -> (usize, usize) {
        let state = self.0.lock();
        (state.scheduler.running(), state.scheduler.waiting())
    }
}

impl Default for Queue {
    fn default() -> Self {
        Self(Mutex::new(State { scheduler: Scheduler::new(1.0), waiters: Vec::new() }))
    }
}

impl State {
    /// Wakes the requests that may run now and those that can no longer meet their deadline.
    fn wake_waiters(&mut self) {
        let Dispatched { start, expired } = self.scheduler.dispatch(Instant::now());
        let started = start.into_iter().map(|ticket| (ticket, Signal::Start));
        for (ticket, signal) in
            started.chain(expired.into_iter().map(|ticket| (ticket, Signal::Expired)))
        {
            if let Some(waiter) = self.remove_waiter(ticket) {
                let _ = waiter.sender.send(signal);
            }
        }
    }

    fn remove_waiter(&mut self, ticket: Ticket) -> Option<Waiter> {
        let position = self.waiters.binary_search_by_key(&ticket, |waiter| waiter.ticket).ok()?;
        Some(self.waiters.remove(position))
    }
}

impl Permit {
    fn start(&mut self) {
        self.ticket = None;
        self.started = Instant::now();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.queue.clone().release(self);
    }
}
