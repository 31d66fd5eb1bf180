//! Samples reach the judge, and a full backlog drops and counts them.

mod common;

use {
    common::{Kind, World, release},
    hawthornmount_core::metrics::Metrics,
    hawthornmount_rollout::{Evaluator, Sample, inbox::Inbox, sample::Outcome},
    std::{sync::Arc, time::Duration},
};

/// More samples than the backlog holds.
const FLOOD: usize = 20_000;

#[tokio::test]
async fn a_flood_of_samples_is_dropped_and_counted_and_the_rest_is_judged() {
    let mut world = World::new(1, 1);
    let good = Kind { failures: 0.0, quality: 1.0, slowness: 1.0, rated: false };
    for _ in 0..100 {
        world.serve("v1", &good);
    }
    let monitor = Arc::new(world.monitors.remove(0));
    let metrics = Metrics::new();
    let inbox = Arc::new(Inbox::new(monitor.clone(), metrics.clone()));
    for at in 0..FLOOD {
        inbox.observe(Sample {
            release: release("v2"),
            server: format!("s{}", at % 9).into(),
            data_centre: format!("dc{}", at % 3).into(),
            outcome: Outcome::Failed,
        });
    }
    let dropped = metrics.dropped.with_label_values(&["judge", "backlog"]).get();
    assert!(dropped > 0 && dropped < FLOOD as u64, "{dropped} dropped");
    tokio::spawn(inbox.clone().run());
    let changed = tokio::time::timeout(Duration::from_secs(5), inbox.changed());
    changed.await.expect("the judge suspends the version");
    assert_eq!(inbox.suspended(), vec![release("v2")]);
}
