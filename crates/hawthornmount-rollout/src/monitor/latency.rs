//! Estimates the 90th percentile of the latency of each model's stable version on each server.

use {
    hawthornmount_core::id::{ModelId, ServerId},
    std::time::Duration,
};

/// Observations that are needed before an answer is classified.
const MIN_OBSERVATIONS: u32 = 20;
/// Fraction of the stable version's answers that are slow by definition.
const SLOW_FRACTION: f64 = 0.1;
/// Largest relative step of the estimate for one observation.
const MAX_RELATIVE_STEP: f64 = 0.5;
/// Observations after which the step no longer shrinks, so that the estimate follows changes.
const MAX_COUNT: u32 = 200;

/// Latency above which an answer of a model from a server is slow.
#[derive(Debug)]
struct Limit {
    model: ModelId,
    server: ServerId,
    seconds: f64,
    /// Number of observations, up to [`MAX_COUNT`].
    count: u32,
}

/// Limits of slow answers by model and server, learned by stochastic approximation.
#[derive(Debug, Default)]
pub struct Latency {
    limits: Vec<Limit>,
}

impl Latency {
    /// Returns whether an answer is slow; `None` while there are too few observations.
    pub fn is_slow(&self, model: &ModelId, server: &ServerId, elapsed: Duration) -> Option<bool> {
        let at = self.position(model, server).ok()?;
        let limit = &self.limits[at];
        (limit.count >= MIN_OBSERVATIONS).then_some(elapsed.as_secs_f64() > limit.seconds)
    }

    /// Updates the limit with an answer of the stable version.
    pub fn learn(&mut self, model: &ModelId, server: &ServerId, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        match self.position(model, server) {
            Ok(at) => self.limits[at].learn(seconds),
            Err(at) => {
                let (model, server) = (model.clone(), server.clone());
                self.limits.insert(at, Limit { model, server, seconds, count: 1 });
            }
        }
    }

    fn position(&self, model: &ModelId, server: &ServerId) -> Result<usize, usize> {
        self.limits.binary_search_by(|limit| (&limit.model, &limit.server).cmp(&(model, server)))
    }
}

impl Limit {
    fn learn(&mut self, seconds: f64) {
        self.count = (self.count + 1).min(MAX_COUNT);
        let step = MAX_RELATIVE_STEP / f64::from(self.count).sqrt();
        if seconds > self.seconds {
            self.seconds *= 1.0 + step * (1.0 - SLOW_FRACTION);
        } else {
            self.seconds *= 1.0 - step * SLOW_FRACTION;
        }
    }
}
