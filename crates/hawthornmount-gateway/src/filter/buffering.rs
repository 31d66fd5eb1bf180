//! Buffers the body of a request.

use {
    super::{Exchange, Filter},
    crate::instance::Components,
    async_trait::async_trait,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    hawthornmount_http::capacity::{
        Capacity,
        body::{self, Failure},
    },
    std::{
        sync::atomic::{AtomicUsize, Ordering},
        time::Duration,
    },
};

/// Delay after which a caller can retry a body for which there was no room.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Filter that reads the complete body of a request, so that the request can be retried unchanged. The
/// body is kept within the capacity for clients until the request is over.
pub struct Buffering {
    capacity: Capacity,
    /// Limit on bodies that was last reported to be too large for the memory.
    reported_limit: AtomicUsize,
}

impl Buffering {
    /// Creates the filter.
    pub fn new(components: &Components) -> Self {
        let capacity = components.clients.capacity().clone();
        Self { capacity, reported_limit: AtomicUsize::new(0) }
    }

    /// Logs once that the configuration allows bodies that exceed the memory for them.
    fn report_limit(&self, limit: usize) {
        let available = self.capacity.large_memory();
        if limit > available && self.reported_limit.swap(limit, Ordering::Relaxed) != limit {
            log::warn!(
                "the largest bodies are served one at a time only, raise memory_mb or lower the \
                 limit on bodies; body_bytes={limit} memory_bytes={available}"
            );
        }
    }
}

#[async_trait]
impl Filter for Buffering {
    async fn apply(&self, exchange: &mut Exchange) -> Result<(), Problem> {
        let Some(incoming) = exchange.incoming.take() else { return Ok(()) };
        let limit = exchange.view.rules.limits.body_bytes;
        self.report_limit(limit);
        let wait = exchange.route()?.config.timeout;
        exchange.is_body_abandoned = true;
        let read = body::read(incoming, limit, &self.capacity);
        match tokio::time::timeout(wait, read).await {
            Ok(Ok(bytes)) => {
                exchange.body = bytes;
                exchange.is_body_abandoned = false;
                Ok(())
            }
            Ok(Err(Failure::TooLong)) => {
                let detail = format!("the body is longer than {limit} bytes: send less");
                Err(Problem::new(Refusal::BodyTooLarge, detail))
            }
            Ok(Err(Failure::NoRoom(_))) => {
                let detail = "the instance has no memory left for the body: send it again later";
                Err(Problem::new(Refusal::NoRoom, detail).retry_after(RETRY_AFTER))
            }
            Ok(Err(Failure::Broken(cause))) => Err(Problem::new(Refusal::Malformed, cause)),
            Err(_elapsed) => {
                let detail = "the body did not arrive in time: send it at once";
                Err(Problem::new(Refusal::CallerTimeout, detail))
            }
        }
    }
}
