//! Queue of requests that wait for a backend server to have room.

use {
    super::{RETRY_AFTER, refused},
    hawthornmount_core::{id::AccountId, problem::Problem, reason::Refusal},
    hawthornmount_policy::admission::{Arrival, Decision, Dispatched, Scheduler, Ticket},
    parking_lot::Mutex,
    std::{sync::Arc, time::Instant},
    tokio::sync::oneshot,
};

/// What a request that waits is told.
enum Call {
    Start,
    Late,
}

/// A request that waits.
struct Waiter {
    ticket: Ticket,
    sender: oneshot::Sender<Call>,
}

struct Inner {
    scheduler: Scheduler,
    /// In order of their tickets.
    waiters: Vec<Waiter>,
}

/// Queue of requests that wait for a backend server to have room.
pub struct Queue(Mutex<Inner>);

/// Place of a request that runs or waits; it is given back when dropped.
pub struct Place {
    queue: Arc<Queue>,
    account: AccountId,
    ticket: Option<Ticket>,
    started: Instant,
}

impl Queue {
    /// Returns a place, at once or when there is room for the account.
    ///
    /// # Errors
    ///
    /// Returns a problem if the request can't be finished in time or too many wait.
    pub async fn enter(
        self: &Arc<Self>,
        arrival: &Arrival,
        capacity: f64,
    ) -> Result<Place, Problem> {
        let (mut place, receiver) = self.ask(arrival, capacity)?;
        let Some(receiver) = receiver else { return Ok(place) };
        let deadline = tokio::time::Instant::from_std(arrival.deadline);
        let call = tokio::time::timeout_at(deadline, receiver).await;
        let Ok(Ok(Call::Start)) = call else {
            return Err(refused(Refusal::Deadline, RETRY_AFTER));
        };
        place.start();
        Ok(place)
    }

    fn ask(
        self: &Arc<Self>,
        arrival: &Arrival,
        capacity: f64,
    ) -> Result<(Place, Option<oneshot::Receiver<Call>>), Problem> {
        let mut inner = self.0.lock();
        inner.scheduler.set_capacity(capacity);
        let decision = inner.scheduler.admit(arrival);
        let place = |ticket| Place {
            queue: self.clone(),
            account: arrival.account.clone(),
            ticket,
            started: arrival.now,
        };
        let answer = match decision {
            Decision::Start => Ok((place(None), None)),
            Decision::Refuse { reason, retry_after } => Err(refused(reason, retry_after)),
            Decision::Wait(ticket) => {
                let (sender, receiver) = oneshot::channel();
                inner.waiters.push(Waiter { ticket, sender });
                Ok((place(Some(ticket)), Some(receiver)))
            }
        };
        inner.call();
        drop(inner);
        answer
    }

    fn give_back(&self, place: &Place) {
        let mut inner = self.0.lock();
        match place.ticket {
            None => inner.scheduler.finish(&place.account, Some(place.started.elapsed())),
            Some(ticket) if inner.scheduler.cancel(&place.account, ticket) => {
                inner.take(ticket);
            }
            // The call came while the request gave up: the place was running unseen.
            Some(_) => inner.scheduler.finish(&place.account, None),
        }
        inner.call();
    }
}

impl Default for Queue {
    fn default() -> Self {
        Self(Mutex::new(Inner { scheduler: Scheduler::new(1.0), waiters: Vec::new() }))
    }
}

impl Inner {
    fn call(&mut self) {
        let Dispatched { start, expired } = self.scheduler.dispatch(Instant::now());
        let calls = start.into_iter().map(|ticket| (ticket, Call::Start));
        for (ticket, call) in calls.chain(expired.into_iter().map(|ticket| (ticket, Call::Late))) {
            if let Some(waiter) = self.take(ticket) {
                let _ = waiter.sender.send(call);
            }
        }
    }

    fn take(&mut self, ticket: Ticket) -> Option<Waiter> {
        let at = self.waiters.binary_search_by_key(&ticket, |waiter| waiter.ticket).ok()?;
        Some(self.waiters.remove(at))
    }
}

impl Place {
    fn start(&mut self) {
        self.ticket = None;
        self.started = Instant::now();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.queue.clone().give_back(self);
    }
}
