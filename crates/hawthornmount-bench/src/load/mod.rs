//! Load of an experiment: open-loop arrivals from a seed, or callers that ask again at once.
//!
//! An open-loop request has its intended time from the seed alone. Its latency counts from that
//! time, also when it had to wait for room, so that a slow answer is not hidden by the requests
//! that it held up (coordinated omission).

mod tally;

pub use tally::{Outcome, Tally};

use {
    rand::{SeedableRng, rngs::SmallRng},
    rand_distr::{Distribution, Exp},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Semaphore,
        task::JoinSet,
        time::{Instant, sleep_until, timeout},
    },
};

/// OpenLoop-loop load.
#[derive(Clone, Copy, Debug)]
pub struct OpenLoop {
    /// Requests a second, on average.
    pub rate: f64,
    /// Time over which requests arrive.
    pub duration: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Requests in flight at the most; further ones wait, and their wait counts as latency.
    pub max_in_flight: usize,
    /// Time that one request may take from its intended time on.
    pub timeout: Duration,
}

/// Load of callers that ask again as soon as they have their answer.
#[derive(Clone, Copy, Debug)]
pub struct ClosedLoop {
    /// Callers.
    pub callers: usize,
    /// Time over which they ask.
    pub duration: Duration,
    /// Time that one request may take.
    pub timeout: Duration,
}

impl OpenLoop {
    /// Returns the intended times of all requests, from the start on.
    ///
    /// # Panics
    ///
    /// Panics if the rate is not positive.
    pub fn arrivals(&self) -> Vec<Duration> {
        let gaps = Exp::new(self.rate).expect("the rate is positive");
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let end = self.duration.as_secs_f64();
        let mut at = 0.0;
        let mut arrivals = Vec::new();
        loop {
            at += gaps.sample(&mut rng);
            if at >= end {
                return arrivals;
            }
            arrivals.push(Duration::from_secs_f64(at));
        }
    }

    /// Sends the requests, numbered from 0, and returns what came of them.
    pub async fn run<F, R>(&self, call: F) -> Tally
    where
        F: Fn(u64) -> R,
        R: Future<Output = Outcome> + Send + 'static,
    {
        let started = Instant::now();
        let room = Arc::new(Semaphore::new(self.max_in_flight));
        let mut calls = JoinSet::new();
        let mut tally = Tally::new();
        for (number, arrival) in (0..).zip(self.arrivals()) {
            let intended = started + arrival;
            sleep_until(intended).await;
            let (call, room, limit) = (call(number), room.clone(), self.timeout);
            calls.spawn(async move {
                let answer = async {
                    let _permit = room.acquire().await;
                    call.await
                };
                let outcome = timeout(limit, answer).await.unwrap_or(Outcome::Failed);
                (outcome, intended, Instant::now())
            });
            while let Some(Ok((outcome, intended, ended))) = calls.try_join_next() {
                tally.add(outcome, intended, ended);
            }
        }
        while let Some(joined) = calls.join_next().await {
            if let Ok((outcome, intended, ended)) = joined {
                tally.add(outcome, intended, ended);
            }
        }
        tally.elapsed = started.elapsed();
        tally
    }
}

impl ClosedLoop {
    /// Sends requests, numbered from 0, until the time is over and returns what came of them.
    pub async fn run<F, R>(&self, call: F) -> Tally
    where
        F: Fn(u64) -> R + Clone + Send + 'static,
        R: Future<Output = Outcome> + Send + 'static,
    {
        let started = Instant::now();
        let end = started + self.duration;
        let numbers = Arc::new(AtomicU64::new(0));
        let mut callers = JoinSet::new();
        for _ in 0..self.callers {
            let (call, numbers, limit) = (call.clone(), numbers.clone(), self.timeout);
            callers.spawn(async move {
                let mut tally = Tally::new();
                while Instant::now() < end {
                    let asked = Instant::now();
                    let answer = call(numbers.fetch_add(1, Ordering::Relaxed));
                    let outcome = timeout(limit, answer).await.unwrap_or(Outcome::Failed);
                    tally.add(outcome, asked, Instant::now());
                }
                tally
            });
        }
        let mut sum = Tally::new();
        while let Some(joined) = callers.join_next().await {
            if let Ok(tally) = joined {
                sum.merge(&tally);
            }
        }
        sum.elapsed = started.elapsed();
        sum
    }
}
