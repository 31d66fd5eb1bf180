//! Handover of a request from a server that is silent to another one.
//!
//! A silent server may go on, and another one may refuse, so the silent one is kept until the other
//! has had time to refuse. An answer that is to be replaced by that of a larger model is kept until
//! that one begins.

use {
    super::{
        Forwarder, Job,
        attempt::{Attempt, Outcome},
        job::Marker,
        upstream::Success,
    },
    crate::message::EventId,
    futures::{
        FutureExt,
        future::{self, BoxFuture},
    },
    std::time::{Duration, Instant},
};

/// Time after which a silent server is given up, counted from the time at which another one was sent
/// the request. A refusal arrives within a round trip.
const HANDOVER_TIME: Duration = Duration::from_millis(300);

/// Interval at which another server is looked for while only a silent one is left.
pub const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the time at which a silent server is given up for the attempt that `marker` marks; `None`
/// if that is now.
fn end(marker: &Marker, now: Instant) -> Option<Instant> {
    end_after(marker.sent_at(), now)
}

/// Returns the time at which a silent server is given up if another one was sent the request at
/// `sent_at`; `None` if that is now.
fn end_after(sent_at: Option<Instant>, now: Instant) -> Option<Instant> {
    let end = sent_at.unwrap_or(now) + HANDOVER_TIME;
    (end > now).then_some(end)
}

/// An attempt that is running.
struct Running<'a> {
    attempt: Attempt,
    future: BoxFuture<'a, (Attempt, Outcome)>,
    began: Instant,
    /// Time until which the server has to answer, or until which a silent one is kept.
    until: Option<Instant>,
    state: State,
    /// Whether the server was kept before because no other one was left.
    was_kept: bool,
}

/// State of a running attempt.
#[derive(Clone, Debug)]
enum State {
    /// The server has time left to answer.
    Waiting,
    /// The server is silent, and another one is to be tried.
    Silent,
    /// The server is silent, and another one was sent the request by the attempt that is marked.
    Replaced(Marker),
    /// The server is silent, and no other one is left.
    Kept,
}

/// An answer that is kept until a better one begins.
struct Spare {
    attempt: Attempt,
    success: Box<Success>,
}

/// Attempts of one request that run at the same time: the newest, and a silent one before it.
#[derive(Default)]
pub struct Handover<'a> {
    running: Vec<Running<'a>>,
    spare: Option<Spare>,
}

/// What happens to an attempt.
pub enum Event {
    /// It has ended; `began` is when it began.
    Ended {
        /// The attempt.
        attempt: Attempt,
        /// Its outcome.
        outcome: Outcome,
        /// When it began.
        began: Instant,
    },
    /// Its server has not answered in time; another one is to be tried.
    Silent(Attempt),
    /// Another server is looked for again, since its server is still silent.
    Recheck,
    /// Another server has taken the request of a silent one.
    GivenUp(Attempt),
}

impl<'a> Handover<'a> {
    /// Returns whether no attempt is running.
    pub const fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns whether the server of each running attempt is silent, so that another one is tried.
    pub fn needs_server(&self) -> bool {
        self.running
            .iter()
            .all(|running| matches!(running.state, State::Silent | State::Replaced(_)))
    }

    /// Returns the time at which a silent server that is read elsewhere is given up for the running
    /// attempts; `None` if that is now.
    pub fn end(&self, now: Instant) -> Option<Instant> {
        let sent = self.running.iter().filter_map(|running| running.attempt.marker.sent_at());
        end_after(sent.min(), now)
    }

    /// Starts an attempt whose server has to answer within `timeout`. A stream begins after the event
    /// `after`.
    pub fn start(
        &mut self,
        forwarder: &'a Forwarder,
        job: &'a Job,
        attempt: Attempt,
        timeout: Option<Duration>,
        after: Option<EventId>,
    ) {
        let now = Instant::now();
        for silent in &mut self.running {
            if matches!(silent.state, State::Silent) {
                silent.state = State::Replaced(attempt.marker.clone());
                silent.until = end(&attempt.marker, now);
            }
        }
        let mut sent = attempt.clone();
        let future = async move {
            let outcome = forwarder.attempt(job, &mut sent, after).await;
            (sent, outcome)
        };
        self.running.push(Running {
            attempt,
            future: future.boxed(),
            began: now,
            until: timeout.map(|timeout| now + timeout),
            state: State::Waiting,
            was_kept: false,
        });
    }

    /// Keeps the newest silent server, since no other one is left to try, and returns whether that is
    /// new.
    pub fn keep(&mut self) -> bool {
        let Some(newest) = self.running.last_mut() else { return false };
        newest.state = State::Kept;
        newest.until = Some(Instant::now() + RECHECK_INTERVAL);
        !std::mem::replace(&mut newest.was_kept, true)
    }

    /// Ends the running attempts, and returns each with whether its server is silent.
    pub fn take_running(&mut self) -> Vec<(Attempt, bool)> {
        let running = self.running.drain(..);
        running.map(|running| (running.attempt, !matches!(running.state, State::Waiting))).collect()
    }

    /// Keeps an answer until a better one begins.
    pub fn keep_answer(&mut self, attempt: Attempt, success: Box<Success>) {
        self.spare = Some(Spare { attempt, success });
    }

    /// Returns whether an answer is kept.
    pub const fn has_answer(&self) -> bool {
        self.spare.is_some()
    }

    /// Returns the answer that was kept.
    pub fn take_answer(&mut self) -> Option<(Attempt, Success)> {
        self.spare.take().map(|spare| (spare.attempt, *spare.success))
    }

    /// Waits for what happens next.
    ///
    /// # Panics
    ///
    /// Panics if no attempt is running.
    pub async fn next(&mut self) -> Event {
        loop {
            let until = self.running.iter().filter_map(|running| running.until).min();
            let ended = future::select_all(self.running.iter_mut().map(|one| &mut one.future));
            let ended = match until {
                Some(until) => tokio::time::timeout_at(until.into(), ended).await.ok(),
                None => Some(ended.await),
            };
            if let Some(((attempt, outcome), at, _)) = ended {
                let began = self.running.remove(at).began;
                self.restore_replaced(&attempt.marker);
                return Event::Ended { attempt, outcome, began };
            }
            if let Some(event) = self.expire(Instant::now()) {
                return event;
            }
        }
    }

    /// Returns what happens to an attempt whose time is over.
    fn expire(&mut self, now: Instant) -> Option<Event> {
        let is_over = |running: &Running| running.until.is_some_and(|until| until <= now);
        let at = self.running.iter().position(is_over)?;
        let running = &mut self.running[at];
        match running.state.clone() {
            State::Waiting => {
                running.state = State::Silent;
                running.until = None;
                Some(Event::Silent(running.attempt.clone()))
            }
            State::Kept => {
                running.state = State::Silent;
                running.until = None;
                Some(Event::Recheck)
            }
            State::Replaced(successor) => {
                running.until = end(&successor, now);
                let is_given_up = running.until.is_none();
                is_given_up.then(|| Event::GivenUp(self.running.remove(at).attempt))
            }
            State::Silent => None,
        }
    }

    /// Keeps the silent server that was replaced by an attempt which has ended without an answer.
    fn restore_replaced(&mut self, ended: &Marker) {
        for running in &mut self.running {
            if matches!(&running.state, State::Replaced(successor) if successor.is_same(ended)) {
                running.state = State::Silent;
                running.until = None;
            }
        }
    }
}
