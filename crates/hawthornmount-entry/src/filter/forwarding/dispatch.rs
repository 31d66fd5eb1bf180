//! An attempt on its way, with a second copy if the first is slow.

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

/// An attempt on its way to a server.
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
    /// Whether it is the second copy of a slow request.
    pub hedge: bool,
    /// Whether another copy may have run.
    pub raced: bool,
}

impl Dispatch {
    /// Runs the attempt to its end.
    pub async fn run(self, hedge: bool) -> Completed {
        let started = Instant::now();
        let mut overtaken = Overtaken { running: Some(self.running), started };
        let result = self.attempt.run().await;
        let elapsed = started.elapsed();
        let mut running = overtaken.running.take().expect("it is taken only here");
        running.set(ended(&result, elapsed));
        Completed { choice: self.choice, result, running, elapsed, hedge, raced: false }
    }
}

/// Lets an attempt that is dropped on the way count as slow at least for the time it had.
struct Overtaken {
    running: Option<Running>,
    started: Instant,
}

impl Drop for Overtaken {
    fn drop(&mut self) {
        if let Some(running) = &mut self.running {
            running.set(Outcome::Superseded(self.started.elapsed()));
        }
    }
}

/// Runs `first`, and the copy that `second` gives once `after` has passed; the first whole answer
/// wins, and a copy that loses is dropped.
pub async fn race(
    first: Dispatch,
    after: Duration,
    second: impl FnOnce() -> Option<Dispatch>,
) -> Completed {
    let mut first = pin!(first.run(false));
    tokio::select! {
        completed = &mut first => return completed,
        () = tokio::time::sleep(after) => {}
    }
    let Some(second) = second() else { return first.await };
    let mut second = pin!(second.run(true));
    let (completed, other): (Completed, std::pin::Pin<&mut dyn SendFuture>) = tokio::select! {
        completed = &mut first => (completed, second.as_mut()),
        completed = &mut second => (completed, first.as_mut()),
    };
    let completed = if completed.result.is_ok() { completed } else { other.await };
    Completed { raced: true, ..completed }
}

trait SendFuture: Future<Output = Completed> + Send {}

impl<T: Future<Output = Completed> + Send> SendFuture for T {}

fn ended(result: &Result<Answer, Failure>, elapsed: Duration) -> Outcome {
    match result {
        Ok(Answer { content: Content::Buffered(_), .. }) => Outcome::Answered(elapsed),
        Ok(_) => Outcome::Streamed(elapsed),
        Err(Failure::Refused(retry_after)) => Outcome::Full(*retry_after),
        Err(_) => Outcome::Failed(elapsed),
    }
}
