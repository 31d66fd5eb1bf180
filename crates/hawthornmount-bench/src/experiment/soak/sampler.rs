//! Looks at the instances' revisions and at the process's memory while the load runs.

use {
    super::Fleet,
    crate::usage,
    hawthornmount_demo::check::promise::Sight,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::task::JoinHandle,
};

/// Pause between looks.
const PAUSE: Duration = Duration::from_millis(50);

/// What was seen.
#[derive(Default)]
pub struct Watched {
    /// Revisions in order of time.
    pub sights: Vec<Sight>,
    /// Resident memory in order of time, in bytes.
    pub memory: Vec<u64>,
}

/// A watch that runs.
pub struct Sampler {
    over: Arc<AtomicBool>,
    task: JoinHandle<Watched>,
}

impl Sampler {
    /// Starts to look.
    pub fn start(fleet: Arc<Fleet>) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(look(fleet, over.clone()));
        Self { over, task }
    }

    /// Ends the watch and returns what it saw.
    pub async fn end(self) -> Watched {
        self.over.store(true, Ordering::SeqCst);
        self.task.await.unwrap_or_default()
    }
}

async fn look(fleet: Arc<Fleet>, over: Arc<AtomicBool>) -> Watched {
    let mut watched = Watched::default();
    while !over.load(Ordering::SeqCst) {
        fleet.each(|instance| {
            let at = Instant::now();
            let parts = instance.parts();
            let revision = parts.cell.load().revision;
            watched.sights.push(Sight { instance: parts.settings.instance.clone(), at, revision });
        });
        watched.memory.push(usage::resident());
        tokio::time::sleep(PAUSE).await;
    }
    watched
}
