//! Samples reach the monitor; those beyond the inbox's capacity are dropped and counted.

mod common;

use {
    common::{Cluster, Profile, release},
    hawthornmount_core::metrics::Metrics,
    hawthornmount_rollout::{Evaluator, Sample, inbox::Inbox, sample::Outcome},
    std::{sync::Arc, time::Duration},
};

/// Number of samples, above the inbox's capacity.
const SAMPLES: usize = 20_000;

#[tokio::test]
async fn samples_beyond_the_capacity_are_dropped_and_the_rest_evaluated() {
    let mut cluster = Cluster::new(1, 1);
    let good = Profile { failures: 0.0, quality: 1.0, slowness: 1.0, rated: false };
    for _ in 0..100 {
        cluster.serve("v1", &good);
    }
    let monitor = Arc::new(cluster.monitors.remove(0));
    let metrics = Metrics::new();
    let inbox = Arc::new(Inbox::new(monitor.clone(), metrics.clone()));
    for at in 0..SAMPLES {
        inbox.observe(Sample {
            release: release("v2"),
            server: format!("s{}", at % 9).into(),
            data_centre: format!("dc{}", at % 3).into(),
            outcome: Outcome::Failed,
        });
    }
    let dropped = metrics.dropped.with_label_values(&["judge", "backlog"]).get();
    assert!(dropped > 0 && dropped < SAMPLES as u64, "{dropped} dropped");
    tokio::spawn(inbox.clone().run());
    let changed = tokio::time::timeout(Duration::from_secs(5), inbox.changed());
    changed.await.expect("the monitor suspends the version");
    assert_eq!(inbox.suspended(), vec![release("v2")]);
}
