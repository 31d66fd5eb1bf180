//! Timers and events that the follower handles while it waits.

use {
    super::{Follower, peer::Transfer},
    crate::rollout::driver,
    futures::StreamExt,
    hawthornmount_store::{self as store, Entry, Event, Watch},
    std::time::{Duration, Instant},
};

/// Interval at which a report on ends of servers is checked to be due.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What happens while the follower waits.
pub enum Tick {
    /// A change of the watched keys.
    Watch(Option<store::Result<Event>>),
    /// The phases and reports of roll-outs are checked.
    Step,
    /// The report on ends of servers is checked.
    Report,
    /// The grace period of a missing server ends.
    Expiry,
    /// A large value was transferred; `None` if the transfer was interrupted.
    Value(Option<Entry>),
}

/// Timers that run while the follower waits.
pub struct Ticks {
    step: tokio::time::Interval,
    report: tokio::time::Interval,
    is_active: bool,
    expiry: Option<Instant>,
}

impl Ticks {
    pub fn new(follower: &Follower) -> Self {
        let mut step = tokio::time::interval(driver::STEP_INTERVAL);
        step.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut report = tokio::time::interval(REPORT_CHECK_INTERVAL);
        report.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ticks = Self { step, report, is_active: false, expiry: None };
        ticks.update(follower);
        ticks
    }

    pub fn update(&mut self, follower: &Follower) {
        self.is_active = follower.state.driver().is_active();
        // A server whose grace period has ended is removed before the next list, unless the store
        // is unreachable again.
        self.expiry = follower.state.next_expiry().filter(|_| !follower.is_store_unreachable);
    }

    pub async fn next(
        &mut self,
        watch: Option<&mut Watch>,
        transfer: Option<&mut Transfer>,
    ) -> Tick {
        let value = async {
            match transfer {
                Some(transfer) => transfer.value().await,
                None => std::future::pending().await,
            }
        };
        let event = async {
            match watch {
                Some(watch) => watch.next().await,
                None => std::future::pending().await,
            }
        };
        let expiry = self.expiry;
        let expired = async {
            match expiry {
                Some(at) => tokio::time::sleep_until(at.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            event = event => Tick::Watch(event),
            _ = self.step.tick(), if self.is_active => Tick::Step,
            _ = self.report.tick() => Tick::Report,
            () = expired => Tick::Expiry,
            value = value => Tick::Value(value),
        }
    }
}
