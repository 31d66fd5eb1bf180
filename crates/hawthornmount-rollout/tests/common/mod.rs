//! A few judges with gossip between them, and versions of a given kind.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    hawthornmount_core::{clock::Manual, config::Config, id::ServerId, snapshot::Release},
    hawthornmount_rollout::{Evaluator, Sample, monitor::Monitor, sample::Outcome},
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{sync::Arc, time::Duration},
};

/// Servers, three in each of three data centres.
const SERVERS: usize = 9;
/// Data centres.
const PLACES: usize = 3;
/// Mean time of an answer.
const ANSWER: Duration = Duration::from_millis(100);

/// How a version answers.
pub struct Kind {
    pub failures: f64,
    pub quality: f64,
    pub slowness: f64,
    pub rated: bool,
}

/// A few judges.
pub struct World {
    pub monitors: Vec<Monitor>,
    pub clock: Arc<Manual>,
    pub rng: StdRng,
}

impl World {
    pub fn new(instances: usize, seed: u64) -> Self {
        let clock = Arc::new(Manual::new());
        let config = Arc::new(config(0));
        let monitors = (0..instances).map(|at| {
            let monitor = Monitor::new(format!("i{at}").into(), 1, clock.clone());
            monitor.configure(1, &config, instances);
            monitor
        });
        Self { monitors: monitors.collect(), clock, rng: StdRng::seed_from_u64(seed) }
    }

    pub fn any_server(&mut self) -> ServerId {
        format!("s{}", self.rng.random_range(0..SERVERS)).into()
    }

    pub fn answer(&mut self, version: &str, failures: f64, quality: f64, slowness: f64) {
        self.serve(version, &Kind { failures, quality, slowness, rated: true });
    }

    pub fn serve(&mut self, version: &str, kind: &Kind) {
        let server = self.any_server();
        self.serve_at(version, &server, kind);
    }

    pub fn serve_at(&mut self, version: &str, server: &ServerId, kind: &Kind) {
        let at = self.rng.random_range(0..self.monitors.len());
        let number: usize = server[1..].parse().unwrap_or(0);
        let sample = |outcome| Sample {
            release: release(version),
            server: server.clone(),
            data_centre: format!("dc{}", number % PLACES).into(),
            outcome,
        };
        if self.rng.random_bool(kind.failures) {
            self.monitors[at].observe(sample(Outcome::Failed));
            return;
        }
        let elapsed = ANSWER.mul_f64(kind.slowness * self.rng.random_range(0.5..1.5));
        self.monitors[at].observe(sample(Outcome::Answered(elapsed)));
        if kind.rated {
            let good = self.rng.random_bool(kind.quality);
            self.monitors[at].observe(sample(Outcome::Rated(f64::from(u8::from(good)))));
        }
    }

    pub fn gossip(&self) {
        for from in &self.monitors {
            let cells = from.take_changed_evidence(usize::MAX);
            let suspensions = from.take_unsent_suspensions();
            for to in &self.monitors {
                to.merge_evidence(cells.clone());
                to.merge_suspensions(suspensions.clone());
            }
        }
    }
}

/// Returns the release of a version; `other` is one of another model.
pub fn release(version: &str) -> Release {
    let model = if version == "other" { "n" } else { "m" };
    Release { model: model.into(), version: version.into() }
}

/// Returns a configuration with a roll-out of `v2` at `generation`.
pub fn config(generation: u64) -> Config {
    let value = serde_json::json!({
        "data_centres": {
            "dc0": { "region": "r0" }, "dc1": { "region": "r1" }, "dc2": { "region": "r2" },
        },
        "models": {
            "m": {
                "price": 1,
                "stable": "v1",
                "versions": {
                    "v1": { "state": "proven" },
                    "v2": { "state": "candidate" },
                    "v3": { "state": "candidate" },
                },
            },
            "n": { "price": 1, "stable": "other", "versions": { "other": { "state": "proven" } } },
        },
        "rollouts": {
            "r": {
                "model": "m",
                "to": "v2",
                "steps": [0.1, 0.5, 1.0],
                "step_ms": 1000,
                "min_samples": 0,
                "generation": generation,
            },
        },
    });
    serde_json::from_value(value).expect("the configuration is valid")
}

/// Returns every item twice, in an order that `seed` gives.
pub fn shuffled_twice<T: Clone>(items: &[T], seed: u64) -> Vec<T> {
    let mut twice: Vec<T> = items.iter().chain(items).cloned().collect();
    twice.shuffle(&mut StdRng::seed_from_u64(seed));
    twice
}
