//! Queue of samples from the traffic threads to the monitor on the control thread.

use {
    crate::{Evaluator, Sample, monitor::Monitor},
    async_trait::async_trait,
    hawthornmount_core::{
        metrics::Metrics,
        snapshot::{Release, Share},
    },
    parking_lot::Mutex,
    std::sync::Arc,
    tokio::sync::mpsc::{self, Receiver, Sender},
};

/// Most samples that wait for the control thread.
const QUEUE_CAPACITY: usize = 8_192;
/// Samples that are processed before the task yields to other work.
const BATCH_SIZE: usize = 64;

/// Evaluator that passes its samples to another thread. While the queue is full, samples are
/// dropped and counted in the metrics.
pub struct Inbox {
    monitor: Arc<Monitor>,
    metrics: Metrics,
    sender: Sender<Sample>,
    receiver: Mutex<Option<Receiver<Sample>>>,
}

impl Inbox {
    /// Creates an inbox in front of `monitor`.
    pub fn new(monitor: Arc<Monitor>, metrics: Metrics) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        Self { monitor, metrics, sender, receiver: Mutex::new(Some(receiver)) }
    }

    /// Passes the samples to the monitor and never returns. A second call has no effect and returns
    /// at once.
    pub async fn run(self: Arc<Self>) {
        let receiver = self.receiver.lock().take();
        let Some(mut receiver) = receiver else { return };
        let mut samples = Vec::with_capacity(BATCH_SIZE);
        while receiver.recv_many(&mut samples, BATCH_SIZE).await > 0 {
            samples.drain(..).for_each(|sample| self.monitor.observe(sample));
            tokio::task::yield_now().await;
        }
    }
}

#[async_trait]
impl Evaluator for Inbox {
    fn observe(&self, sample: Sample) {
        if self.sender.try_send(sample).is_err() {
            self.metrics.count_drop("judge", "backlog");
        }
    }

    fn suspended(&self) -> Vec<Release> {
        self.monitor.suspended()
    }

    fn shares(&self) -> Vec<Share> {
        self.monitor.shares()
    }

    async fn changed(&self) {
        self.monitor.changed().await;
    }
}
