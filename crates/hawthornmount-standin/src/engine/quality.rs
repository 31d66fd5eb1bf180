//! Quality of the stand-in engine's answers: by chance, or fixed by a seed, the prompt and the
//! version, so that an experiment knows what every version would have answered.

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

/// What a prompt of a kind of task starts with.
const TASK_MARK: &str = "[task ";

/// Returns the first words of a prompt of a kind of task.
pub fn task_mark(task: &str) -> String {
    format!("{TASK_MARK}{task}] ")
}

/// Returns a number from 0 to 1 that is fixed by its inputs; an answer is good if the number is
/// below the version's chance.
pub fn quality_sample(seed: u64, prompt: &str, loaded: &Loaded) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, prompt, &loaded.model, &loaded.version).hash(&mut hasher);
    SmallRng::seed_from_u64(hasher.finish()).random()
}

/// Chances by version and kind of task.
#[derive(Default)]
pub struct Quality {
    seed: Mutex<Option<u64>>,
    by_task: Mutex<Table<f64>>,
}

impl Quality {
    pub fn set_seed(&self, seed: u64) {
        *self.seed.lock() = Some(seed);
    }

    pub fn set_task(&self, loaded: &Loaded, task: &str, chance: f64) {
        self.by_task.lock().insert(key(loaded, task), chance);
    }

    /// Tells whether the answer to a prompt is good; `usual` is the version's chance.
    pub fn is_good(&self, prompt: &str, loaded: &Loaded, usual: f64) -> bool {
        let task = prompt.strip_prefix(TASK_MARK).and_then(|rest| rest.split(']').next());
        let by_task = task.and_then(|task| self.by_task.lock().get(&key(loaded, task)).copied());
        let chance = by_task.unwrap_or(usual);
        let number = match *self.seed.lock() {
            Some(seed) => quality_sample(seed, prompt, loaded),
            None => rand::rng().random(),
        };
        number < chance
    }
}

fn key(loaded: &Loaded, task: &str) -> Arc<str> {
    format!("{}/{task}", behaviour_key(&loaded.model, &loaded.version)).into()
}
