//! Quality of the stand-in engine's answers: random, or determined by a seed, the prompt and the
//! version, so that an experiment can compute the quality of every version's answer.

use {
    super::{Loaded, behaviour_key},
    hawthornmount_core::table::Table,
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
    },
};

/// Start of a mark that names a prompt's kind of task.
const TASK_MARK_START: &str = "[task ";

/// Returns the mark with which a prompt of the given kind of task starts.
pub fn task_mark(task: &str) -> String {
    format!("{TASK_MARK_START}{task}] ")
}

/// Returns a pseudo-random number from 0 to 1 that is determined by its inputs; an answer is good
/// if the number is below the version's probability of a good answer.
pub fn quality_sample(seed: u64, prompt: &str, loaded: &Loaded) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, prompt, &loaded.model, &loaded.version).hash(&mut hasher);
    SmallRng::seed_from_u64(hasher.finish()).random()
}

/// Probabilities of a good answer by version and kind of task, with the seed of the draws.
#[derive(Default)]
pub struct Quality {
    seed: Mutex<Option<u64>>,
    by_task: Mutex<Table<f64>>,
}

impl Quality {
    pub fn set_seed(&self, seed: u64) {
        *self.seed.lock() = Some(seed);
    }

    pub fn set_task(&self, loaded: &Loaded, task: &str, probability: f64) {
        self.by_task.lock().insert(key(loaded, task), probability);
    }

    /// Returns whether the answer to a prompt is good. `default` is the probability if none is set
    /// for the version and the prompt's kind of task.
    pub fn is_good(&self, prompt: &str, loaded: &Loaded, default: f64) -> bool {
        let task = prompt.strip_prefix(TASK_MARK_START).and_then(|rest| rest.split(']').next());
        let by_task = task.and_then(|task| self.by_task.lock().get(&key(loaded, task)).copied());
        let probability = by_task.unwrap_or(default);
        let sample = match *self.seed.lock() {
            Some(seed) => quality_sample(seed, prompt, loaded),
            None => rand::rng().random(),
        };
        sample < probability
    }
}

fn key(loaded: &Loaded, task: &str) -> Arc<str> {
    format!("{}/{task}", behaviour_key(&loaded.model, &loaded.version)).into()
}
