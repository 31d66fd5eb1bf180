//! Retry budget: the number of retries is limited to a share of the successful requests, so that
//! retries can't multiply the load on a fleet that is already failing.

use std::time::{Duration, Instant};

/// Cost of one retry. The balance counts hundredths of a retry, so that the percentage earned by a
/// success is a whole number and nothing is lost by rounding.
const RETRY_COST: f64 = 100.0;
/// Largest balance, in hundredths of a retry.
const MAX_BALANCE: f64 = 10.0 * RETRY_COST;
/// Growth of the balance per second while it does not cover one retry, in hundredths of a retry, so
/// that an instance with few requests can retry its first failures.
const REFILL_PER_SECOND: f64 = 0.5 * RETRY_COST;
/// Upper bound of the backoff before the first retry.
const BASE_BACKOFF: Duration = Duration::from_millis(10);
/// Upper bound of the backoff before any retry.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum number of doublings of [`BASE_BACKOFF`].
const MAX_DOUBLINGS: u32 = 6;

/// Retries that may still be sent.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Saved retries, in hundredths of a retry.
    balance: f64,
    earned_per_success: f64,
    refilled_at: Option<Instant>,
}

impl Budget {
    /// Creates a budget that allows `percent` retries per hundred successes.
    pub fn new(percent: u32) -> Self {
        let mut budget = Self { balance: RETRY_COST, earned_per_success: 0.0, refilled_at: None };
        budget.set_percent(percent);
        budget
    }

    /// Sets the number of retries that are allowed per hundred successes.
    pub fn set_percent(&mut self, percent: u32) {
        self.earned_per_success = f64::from(percent);
    }

    /// Adds to the balance what one successful request earns.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + self.earned_per_success).min(MAX_BALANCE);
    }

    /// Returns whether the balance covers a retry, and subtracts its cost if so.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed =
            self.refilled_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.refilled_at = Some(now);
        if self.earned_per_success > 0.0 && self.balance < RETRY_COST {
            self.balance =
                (self.balance + elapsed.as_secs_f64() * REFILL_PER_SECOND).min(RETRY_COST);
        }
    }
}

/// Returns the time to wait before retry number `attempt`, counted from 1: exponential backoff with
/// full jitter, where `random` is from 0 to 1.
pub fn backoff(attempt: usize, random: f64) -> Duration {
    let doublings = u32::try_from(attempt.saturating_sub(1)).unwrap_or(MAX_DOUBLINGS);
    let bound = BASE_BACKOFF * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
    bound.min(MAX_BACKOFF).mul_f64(random.clamp(0.0, 1.0))
}
