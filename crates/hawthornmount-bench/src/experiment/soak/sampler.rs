//! Samples the configuration revisions of the instances and the memory of the process during the
//! load.

use {
    super::Fleet,
    crate::usage,
    hawthornmount_demo::check::invariant::Sample,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::task::JoinHandle,
};

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Samples of a run.
#[derive(Default)]
pub struct Samples {
    /// Configuration revisions of the instances, in chronological order.
    pub revisions: Vec<Sample>,
    /// Resident memory in bytes, in chronological order.
    pub memory: Vec<u64>,
}

/// Running background task that takes samples.
pub struct Sampler {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Samples>,
}

impl Sampler {
    /// Starts to take samples.
    pub fn start(fleet: Arc<Fleet>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(sample(fleet, stop.clone()));
        Self { stop, task }
    }

    /// Stops sampling and returns the samples.
    pub async fn stop(self) -> Samples {
        self.stop.store(true, Ordering::SeqCst);
        self.task.await.unwrap_or_default()
    }
}

async fn sample(fleet: Arc<Fleet>, stop: Arc<AtomicBool>) -> Samples {
    let mut samples = Samples::default();
    while !stop.load(Ordering::SeqCst) {
        fleet.for_each(|instance| {
            let at = Instant::now();
            let components = instance.components();
            let revision = components.snapshot.load().revision;
            samples.revisions.push(Sample {
                instance: components.settings.instance.clone(),
                at,
                revision,
            });
        });
        samples.memory.push(usage::resident_bytes());
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    samples
}
