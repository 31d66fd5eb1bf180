//! Load generators: open-loop with seeded Poisson arrivals, or closed-loop with a fixed number of
//! callers.
//!
//! In an open loop, the intended start of each request depends on the seed alone. Latency counts
//! from that start, also if the request had to wait because too many were in flight. This avoids
//! coordinated omission, where a slow answer delays later requests and hides their latency.

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

/// Distance between the seeds of two requests of a load. It keeps the requests of loads whose own
/// seeds differ by a small number from sharing their random choices.
pub const REQUEST_SEED_STRIDE: u64 = 7_919;

/// Open-loop load: requests arrive at a given rate, however fast they are answered.
#[derive(Clone, Copy, Debug)]
pub struct OpenLoop {
    /// Average number of requests per second.
    pub rate: f64,
    /// Time span in which requests arrive.
    pub duration: Duration,
    /// Seed of the arrival times.
    pub seed: u64,
    /// Largest number of concurrent requests. Further ones wait, which counts as latency.
    pub max_in_flight: usize,
    /// Time from its intended start after which a request counts as failed; includes waiting.
    pub timeout: Duration,
}

/// Closed-loop load: each caller sends its next request as soon as the previous one has ended.
#[derive(Clone, Copy, Debug)]
pub struct ClosedLoop {
    /// Number of concurrent callers.
    pub callers: usize,
    /// Time span in which requests are started.
    pub duration: Duration,
    /// Time after which a request counts as failed.
    pub timeout: Duration,
}

impl OpenLoop {
    /// Returns the intended start of each request, relative to the start of the load.
    ///
    /// # Panics
    ///
    /// Panics if the rate is not positive.
    pub fn arrivals(&self) -> Vec<Duration> {
        let intervals = Exp::new(self.rate).expect("the rate is positive");
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let end = self.duration.as_secs_f64();
        let mut at = 0.0;
        let mut arrivals = Vec::new();
        loop {
            at += intervals.sample(&mut rng);
            if at >= end {
                return arrivals;
            }
            arrivals.push(Duration::from_secs_f64(at));
        }
    }

    /// Calls `call` with the number of each request, from 0, at its intended start, and returns the
    /// counts and latencies.
    pub async fn run<F, R>(&self, call: F) -> Tally
    where
        F: Fn(u64) -> R,
        R: Future<Output = Outcome> + Send + 'static,
    {
        let started = Instant::now();
        let permits = Arc::new(Semaphore::new(self.max_in_flight));
        let mut calls = JoinSet::new();
        let mut tally = Tally::new();
        for (number, arrival) in (0..).zip(self.arrivals()) {
            let intended = started + arrival;
            sleep_until(intended).await;
            let (call, permits, limit) = (call(number), permits.clone(), self.timeout);
            calls.spawn(async move {
                let answer = async {
                    let _permit = permits.acquire().await;
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
    /// Calls `call` with the number of each request, from 0, until `duration` has passed, and
    /// returns the counts and latencies.
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
