//! Retry budget: added attempts are a share of the successes, so that retries can't multiply the
//! load of a fleet that is already failing.

use std::time::{Duration, Instant};

/// One retry, in hundredths; whole numbers, so that no share is lost by rounding.
const RETRY_COST: f64 = 100.0;
/// Most retries that may be saved up, in hundredths.
const MAX_BALANCE: f64 = 10.0 * RETRY_COST;
/// What a quiet instance gets in a second, in hundredths, so that the first failures can be
/// retried.
const REFILL_PER_SECOND: f64 = 0.5 * RETRY_COST;
/// First pause before a retry.
const BASE_BACKOFF: Duration = Duration::from_millis(10);
/// Longest pause before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Doublings of the first pause at most.
const MAX_DOUBLINGS: u32 = 6;

/// Retries that are left.
#[derive(Clone, Debug)]
pub struct Budget {
    balance: f64,
    earned_per_success: f64,
    refilled_at: Option<Instant>,
}

impl Budget {
    /// Creates a budget of `percent` retries in a hundred successes.
    pub fn new(percent: u32) -> Self {
        let mut budget = Self { balance: RETRY_COST, earned_per_success: 0.0, refilled_at: None };
        budget.set_percent(percent);
        budget
    }

    /// Changes the share of the successes.
    pub fn set_percent(&mut self, percent: u32) {
        self.earned_per_success = f64::from(percent);
    }

    /// Adds the share of one success.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + self.earned_per_success).min(MAX_BALANCE);
    }

    /// Takes one retry, if there is one.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }

    fn refill(&mut self, now: Instant) {
        let since = self.refilled_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.refilled_at = Some(now);
        if self.earned_per_success > 0.0 && self.balance < RETRY_COST {
            self.balance = (self.balance + since.as_secs_f64() * REFILL_PER_SECOND).min(RETRY_COST);
        }
    }
}

/// Returns the pause before retry number `attempt`, from 1: full jitter under an exponential bound.
/// `random` is from 0 to 1.
pub fn backoff(attempt: usize, random: f64) -> Duration {
    let doublings = u32::try_from(attempt.saturating_sub(1)).unwrap_or(MAX_DOUBLINGS);
    let bound = BASE_BACKOFF * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
    bound.min(MAX_BACKOFF).mul_f64(random.clamp(0.0, 1.0))
}
