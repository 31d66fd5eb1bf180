//! Runs attempts, with a second copy of a slow request (hedging).

use {
    super::{
        attempt::{Attempt, Failure},
        running::Running,
    },
    crate::answer::{Answer, Content},
    hawthornmount_policy::{Choice, router::Outcome},
    std::{
        future::Future,
        pin::pin,
        time::{Duration, Instant},
    },
};

/// An attempt that is ready to be sent to its server.
pub struct Dispatch {
    pub choice: Choice,
    pub attempt: Attempt,
    pub running: Running,
}

/// An attempt that has ended.
pub struct Completed {
    pub choice: Choice,
    pub result: Result<Answer, Failure>,
    pub running: Running,
    pub elapsed: Duration,
    /// Whether this is the second copy of a slow request.
    pub is_hedge: bool,
    /// Whether two copies were sent, so that the other one may have run as well.
    pub has_other_copy: bool,
}

impl Dispatch {
    /// Runs the attempt and sets its outcome.
    pub async fn run(self, is_hedge: bool) -> Completed {
        let started = Instant::now();
        let mut guard = SupersededGuard { running: Some(self.running), started };
        let result = self.attempt.run().await;
        let elapsed = started.elapsed();
        let mut running = guard.running.take().expect("the guard is emptied only here");
        running.set_outcome(outcome(&result, elapsed));
        Completed { choice: self.choice, result, running, elapsed, is_hedge, has_other_copy: false }
    }
}

/// Reports an attempt that is dropped before it ended as superseded after the time that it took so
/// far, which is a lower bound of its latency.
struct SupersededGuard {
    running: Option<Running>,
    started: Instant,
}

impl Drop for SupersededGuard {
    fn drop(&mut self) {
        if let Some(running) = &mut self.running {
            running.set_outcome(Outcome::Superseded(self.started.elapsed()));
        }
    }
}

/// Runs `first`, and, if it has not ended after `delay`, the copy that `second` returns. The first
/// complete answer is returned and the other copy is dropped.
pub async fn race(
    first: Dispatch,
    delay: Duration,
    second: impl FnOnce() -> Option<Dispatch>,
) -> Completed {
    let mut first = pin!(first.run(false));
    tokio::select! {
        completed = &mut first => return completed,
        () = tokio::time::sleep(delay) => {}
    }
    let Some(second) = second() else { return first.await };
    let mut second = pin!(second.run(true));
    let (completed, other): (Completed, std::pin::Pin<&mut dyn SendFuture>) = tokio::select! {
        completed = &mut first => (completed, second.as_mut()),
        completed = &mut second => (completed, first.as_mut()),
    };
    let completed = if completed.result.is_ok() { completed } else { other.await };
    Completed { has_other_copy: true, ..completed }
}

/// A future of an attempt, so that the two copies can be held as one type.
trait SendFuture: Future<Output = Completed> + Send {}

impl<T: Future<Output = Completed> + Send> SendFuture for T {}

/// Returns the outcome to report to the router. For a stream, `elapsed` is the time to its first
/// event.
fn outcome(result: &Result<Answer, Failure>, elapsed: Duration) -> Outcome {
    match result {
        Ok(Answer { content: Content::Buffered(_), .. }) => Outcome::Answered(elapsed),
        Ok(_) => Outcome::Streamed(elapsed),
        Err(Failure::Refused(retry_after)) => Outcome::Full(*retry_after),
        Err(_) => Outcome::Failed(elapsed),
    }
}
