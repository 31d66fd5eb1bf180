//! Way of samples from the traffic threads to the judge on the control thread.

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

/// Samples that wait for the control thread.
const BACKLOG: usize = 8_192;
/// Samples that are taken before other work gets its turn.
const AT_A_TIME: usize = 64;

/// Evaluator that hands its samples to another thread; a full backlog drops and counts them.
pub struct Inbox {
    monitor: Arc<Monitor>,
    metrics: Metrics,
    sender: Sender<Sample>,
    receiver: Mutex<Option<Receiver<Sample>>>,
}

impl Inbox {
    /// Creates an inbox in front of `monitor`.
    pub fn new(monitor: Arc<Monitor>, metrics: Metrics) -> Self {
        let (sender, receiver) = mpsc::channel(BACKLOG);
        Self { monitor, metrics, sender, receiver: Mutex::new(Some(receiver)) }
    }

    /// Hands the samples to the monitor; never returns, but for a second call, which has no effect.
    pub async fn run(self: Arc<Self>) {
        let receiver = self.receiver.lock().take();
        let Some(mut receiver) = receiver else { return };
        let mut samples = Vec::with_capacity(AT_A_TIME);
        while receiver.recv_many(&mut samples, AT_A_TIME).await > 0 {
            samples.drain(..).for_each(|sample| self.monitor.observe(sample));
            tokio::task::yield_now().await;
        }
    }
}

#[async_trait]
impl Evaluator for Inbox {
    fn observe(&self, sample: Sample) {
        if self.sender.try_send(sample).is_err() {
            self.metrics.drop_one("judge", "backlog");
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
