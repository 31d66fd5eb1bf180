//! Time that nine in ten answers of a model's stable version take on a server.

use {
    hawthornmount_core::id::{ModelId, ServerId},
    std::time::Duration,
};

/// Answers that are looked at before an answer can be slow.
const LEAST_SEEN: u32 = 20;
/// Part of the answers that are slow by definition.
const SLOW_PART: f64 = 0.1;
/// Largest relative move of the limit by one answer.
const LARGEST_MOVE: f64 = 0.5;
/// Answers after which the moves no longer get smaller.
const MEMORY: u32 = 200;

#[derive(Debug)]
struct Limit {
    model: ModelId,
    server: ServerId,
    seconds: f64,
    seen: u32,
}

/// Limits of slow answers by model and server, learned by stochastic approximation.
#[derive(Debug, Default)]
pub struct Latency {
    limits: Vec<Limit>,
}

impl Latency {
    /// Tells whether an answer is slow; none while too little is known.
    pub fn is_slow(&self, model: &ModelId, server: &ServerId, elapsed: Duration) -> Option<bool> {
        let at = self.position(model, server).ok()?;
        let limit = &self.limits[at];
        (limit.seen >= LEAST_SEEN).then_some(elapsed.as_secs_f64() > limit.seconds)
    }

    /// Learns from an answer of the stable version.
    pub fn learn(&mut self, model: &ModelId, server: &ServerId, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        match self.position(model, server) {
            Ok(at) => self.limits[at].learn(seconds),
            Err(at) => {
                let (model, server) = (model.clone(), server.clone());
                self.limits.insert(at, Limit { model, server, seconds, seen: 1 });
            }
        }
    }

    fn position(&self, model: &ModelId, server: &ServerId) -> Result<usize, usize> {
        self.limits.binary_search_by(|one| (&one.model, &one.server).cmp(&(model, server)))
    }
}

impl Limit {
    fn learn(&mut self, seconds: f64) {
        self.seen = (self.seen + 1).min(MEMORY);
        let step = LARGEST_MOVE / f64::from(self.seen).sqrt();
        if seconds > self.seconds {
            self.seconds *= 1.0 + step * (1.0 - SLOW_PART);
        } else {
            self.seconds *= 1.0 - step * SLOW_PART;
        }
    }
}
