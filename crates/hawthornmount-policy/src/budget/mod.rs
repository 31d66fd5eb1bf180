//! Retry budget: added attempts are a share of the successes, so that retries can't multiply the
//! load of a fleet that is already failing.

use std::time::{Duration, Instant};

/// One retry, in hundredths; whole numbers, so that no share is lost by rounding.
const RETRY: f64 = 100.0;
/// Most retries that may be saved up, in hundredths.
const MAX_SAVED: f64 = 10.0 * RETRY;
/// What a quiet instance gets in a second, in hundredths, so that the first failures can be
/// retried.
const RESERVE_PER_SECOND: f64 = 0.5 * RETRY;
/// First pause before a retry.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause before a retry.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Doublings of the first pause at most.
const MAX_DOUBLINGS: u32 = 6;

/// Retries that are left.
#[derive(Clone, Debug)]
pub struct Budget {
    saved: f64,
    share: f64,
    refilled: Option<Instant>,
}

impl Budget {
    /// Creates a budget of `percent` retries in a hundred successes.
    pub fn new(percent: u32) -> Self {
        let mut budget = Self { saved: RETRY, share: 0.0, refilled: None };
        budget.set_percent(percent);
        budget
    }

    /// Changes the share of the successes.
    pub fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent);
    }

    /// Adds the share of one success.
    pub fn succeeded(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
    }

    /// Takes one retry, if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.saved < RETRY {
            return false;
        }
        self.saved -= RETRY;
        true
    }

    fn refill(&mut self, now: Instant) {
        let since = self.refilled.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.refilled = Some(now);
        if self.share > 0.0 && self.saved < RETRY {
            self.saved = (self.saved + since.as_secs_f64() * RESERVE_PER_SECOND).min(RETRY);
        }
    }
}

/// Returns the pause before retry number `attempt`, from 1: full jitter under an exponential bound.
/// `random` is from 0 to 1.
pub fn pause(attempt: usize, random: f64) -> Duration {
    let doublings = u32::try_from(attempt.saturating_sub(1)).unwrap_or(MAX_DOUBLINGS);
    let bound = FIRST_PAUSE * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
    bound.min(MAX_PAUSE).mul_f64(random.clamp(0.0, 1.0))
}
