//! Monitors that exchange gossip, and simulated answers of versions.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    hawthornmount_core::{clock::Manual, config::Config, id::ServerId, snapshot::Release},
    hawthornmount_rollout::{Evaluator, Sample, monitor::Monitor, sample::Outcome},
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{sync::Arc, time::Duration},
};

/// Number of servers, three in each data centre.
const SERVERS: usize = 9;
/// Number of data centres.
const DATA_CENTRES: usize = 3;
/// Mean latency of an answer.
const MEAN_LATENCY: Duration = Duration::from_millis(100);

/// Behaviour of a version.
pub struct Profile {
    /// Probability that an answer fails.
    pub failures: f64,
    /// Probability that a rating is 1 and not 0.
    pub quality: f64,
    /// Factor on the latency of an answer.
    pub slowness: f64,
    /// Whether answers are rated.
    pub rated: bool,
}

/// Monitors of several instances.
pub struct Cluster {
    pub monitors: Vec<Monitor>,
    pub clock: Arc<Manual>,
    pub rng: StdRng,
}

impl Cluster {
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

    pub fn random_server(&mut self) -> ServerId {
        format!("s{}", self.rng.random_range(0..SERVERS)).into()
    }

    /// Observes a rated answer of a version on a random server.
    pub fn answer(&mut self, version: &str, failures: f64, quality: f64, slowness: f64) {
        self.serve(version, &Profile { failures, quality, slowness, rated: true });
    }

    /// Observes an answer of a version on a random server.
    pub fn serve(&mut self, version: &str, profile: &Profile) {
        let server = self.random_server();
        self.serve_at(version, &server, profile);
    }

    /// Observes an answer of a version on a server, at a random instance.
    pub fn serve_at(&mut self, version: &str, server: &ServerId, profile: &Profile) {
        let instance = self.rng.random_range(0..self.monitors.len());
        let number: usize = server[1..].parse().unwrap_or(0);
        let sample = |outcome| Sample {
            release: release(version),
            server: server.clone(),
            data_centre: format!("dc{}", number % DATA_CENTRES).into(),
            outcome,
        };
        if self.rng.random_bool(profile.failures) {
            self.monitors[instance].observe(sample(Outcome::Failed));
            return;
        }
        let elapsed = MEAN_LATENCY.mul_f64(profile.slowness * self.rng.random_range(0.5..1.5));
        self.monitors[instance].observe(sample(Outcome::Answered(elapsed)));
        if profile.rated {
            let good = self.rng.random_bool(profile.quality);
            self.monitors[instance].observe(sample(Outcome::Rated(f64::from(u8::from(good)))));
        }
    }

    /// Sends the changes of each instance to all instances.
    pub fn gossip(&self) {
        for from in &self.monitors {
            let records = from.take_changed_evidence(usize::MAX);
            let suspensions = from.take_unsent_suspensions();
            for to in &self.monitors {
                to.merge_evidence(records.clone());
                to.merge_suspensions(suspensions.clone());
            }
        }
    }
}

/// Returns the release of a version. `other` belongs to a model of its own.
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

/// Returns every item twice, shuffled with `seed`.
pub fn shuffled_twice<T: Clone>(items: &[T], seed: u64) -> Vec<T> {
    let mut twice: Vec<T> = items.iter().chain(items).cloned().collect();
    twice.shuffle(&mut StdRng::seed_from_u64(seed));
    twice
}
