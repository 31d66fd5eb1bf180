//! Evidence is merged without double counting; bad versions are suspended and good ones are not.

mod common;

use {
    common::{Cluster, Profile, release},
    hawthornmount_core::id::ServerId,
    hawthornmount_rollout::{
        Evaluator, Sample,
        evidence::{Evidence, Record},
        sample::Outcome,
        suspension::{Cause, Key, Set, Suspension},
    },
    proptest::prelude::*,
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

/// Returns the records that instances send while a bad candidate and a good stable version give
/// `answers` answers each.
fn records(cluster: &mut Cluster, answers: usize) -> Vec<Record> {
    let mut all = Vec::new();
    for _ in 0..answers {
        cluster.answer("v2", 0.3, 0.5, 1.0);
        cluster.answer("v1", 0.05, 0.9, 1.0);
        all.extend(cluster.monitors.iter().flat_map(|monitor| monitor.take_changed_evidence(64)));
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn evidence_merges_in_any_order(seed in any::<u64>(), order in any::<u64>()) {
        let mut cluster = Cluster::new(3, seed);
        let sent = records(&mut cluster, 60);
        let mut sequential = Evidence::default();
        sent.iter().for_each(|record| { sequential.merge(record.clone()); });
        let mut shuffled = Evidence::default();
        for record in common::shuffled_twice(&sent, order) {
            shuffled.merge(record);
        }
        prop_assert_eq!(sequential, shuffled);
    }

    #[test]
    fn suspensions_merge_in_any_order(
        made in proptest::collection::vec((0u64..3, 0u64..4, 0u64..3, 0u8..3), 1..12),
        order in any::<u64>(),
    ) {
        let sent: Vec<Suspension> = made.iter().map(|(generation, revision, at_ms, by)| Suspension {
            key: Key { model: "m".into(), version: "v2".into(), generation: *generation },
            cause: Cause {
                revision: *revision,
                text: "bad".into(),
                by: format!("i{by}").into(),
                at_ms: *at_ms,
            },
        }).collect();
        let mut sequential = Set::default();
        sent.iter().for_each(|one| { sequential.merge(one.clone()); });
        let mut shuffled = Set::default();
        for one in common::shuffled_twice(&sent, order) {
            shuffled.merge(one);
        }
        prop_assert_eq!(sequential, shuffled);
    }
}

struct Case {
    /// Rounds, each with one answer of the candidate and ten of the stable version.
    rounds: usize,
    candidate: Profile,
    stable: Profile,
    /// Whether the candidate is expected to be suspended.
    suspended: bool,
}

const GOOD: Profile = Profile { failures: 0.01, quality: 0.85, slowness: 1.0, rated: true };

#[rstest]
#[case::as_good(Case { rounds: 600, candidate: GOOD, stable: GOOD, suspended: false })]
#[case::fails_all(Case {
    rounds: 40,
    candidate: Profile { failures: 1.0, ..GOOD },
    stable: GOOD,
    suspended: true,
})]
#[case::fails_a_fifth(Case {
    rounds: 300,
    candidate: Profile { failures: 0.2, ..GOOD },
    stable: GOOD,
    suspended: true,
})]
#[case::drops_in_quality(Case {
    rounds: 500,
    candidate: Profile { quality: 0.6, ..GOOD },
    stable: GOOD,
    suspended: true,
})]
#[case::twice_as_slow(Case {
    rounds: 300,
    candidate: Profile { slowness: 2.0, ..GOOD },
    stable: GOOD,
    suspended: true,
})]
#[case::servers_fail_for_both(Case {
    rounds: 300,
    candidate: Profile { failures: 0.7, ..GOOD },
    stable: Profile { failures: 0.7, ..GOOD },
    suspended: false,
})]
#[case::ratings_fall_for_both(Case {
    rounds: 300,
    candidate: Profile { quality: 0.1, ..GOOD },
    stable: Profile { quality: 0.1, ..GOOD },
    suspended: false,
})]
#[case::no_ratings(Case {
    rounds: 300,
    candidate: Profile { quality: 0.1, rated: false, ..GOOD },
    stable: Profile { rated: false, ..GOOD },
    suspended: false,
})]
fn candidate_is_compared_with_the_stable_version(#[case] case: Case) {
    let mut cluster = Cluster::new(3, 11);
    for _ in 0..case.rounds {
        cluster.serve("v2", &case.candidate);
        for _ in 0..10 {
            cluster.serve("v1", &case.stable);
        }
        cluster.gossip();
    }
    let suspended: Vec<_> = cluster.monitors.iter().map(|monitor| monitor.suspended()).collect();
    for releases in suspended {
        assert_eq!(releases.contains(&release("v2")), case.suspended);
        assert!(!releases.contains(&release("v1")));
    }
}

#[rstest]
#[case::one_server(&["s1"])]
#[case::one_data_centre(&["s0", "s3", "s6"])]
fn fault_of_one_server_or_data_centre_suspends_no_version(#[case] broken: &[&str]) {
    let mut cluster = Cluster::new(3, 5);
    for _ in 0..1_000 {
        cluster.serve("v1", &GOOD);
        cluster.serve("v2", &GOOD);
    }
    for _ in 0..2_000 {
        for version in ["v1", "v1", "v1", "v2"] {
            let server = cluster.random_server();
            let profile = Profile { failures: 1.0, ..GOOD };
            let bad = broken.contains(&&*server);
            cluster.serve_at(version, &server, if bad { &profile } else { &GOOD });
        }
        cluster.gossip();
    }
    for monitor in &cluster.monitors {
        assert_eq!(monitor.suspended(), Vec::new());
    }
}

#[test]
fn network_failures_suspend_no_version() {
    let cluster = Cluster::new(1, 5);
    for at in 0..1_000 {
        cluster.monitors[0].observe(Sample {
            release: release("v2"),
            server: ServerId::from(format!("s{}", at % 9)),
            data_centre: format!("dc{}", at % 3).into(),
            outcome: Outcome::Unreachable,
        });
        cluster.monitors[0].observe(Sample {
            release: release("v1"),
            server: ServerId::from(format!("s{}", at % 9)),
            data_centre: format!("dc{}", at % 3).into(),
            outcome: Outcome::Answered(Duration::from_millis(10)),
        });
    }
    assert_eq!(cluster.monitors[0].suspended(), Vec::new());
}

#[rstest]
#[case::fails_all(Profile { failures: 1.0, ..GOOD }, true)]
#[case::fails_a_fifth(Profile { failures: 0.2, ..GOOD }, true)]
#[case::drops_in_quality(Profile { quality: 0.6, ..GOOD }, true)]
#[case::stays_good(GOOD, false)]
fn stable_version_is_compared_with_its_past(#[case] turned: Profile, #[case] suspended: bool) {
    let mut cluster = Cluster::new(3, 9);
    let other = Profile { quality: 0.95, ..GOOD };
    for _ in 0..1_500 {
        cluster.serve("v1", &GOOD);
        cluster.serve("other", &other);
        cluster.gossip();
    }
    for _ in 0..1_500 {
        cluster.serve("v1", &turned);
        cluster.serve("other", &other);
        cluster.gossip();
    }
    for monitor in &cluster.monitors {
        assert_eq!(monitor.suspended().contains(&release("v1")), suspended);
        assert!(!monitor.suspended().contains(&release("other")));
    }
}

#[test]
fn falling_ratings_of_all_models_suspend_no_version() {
    let mut cluster = Cluster::new(2, 9);
    for round in 0..3_000 {
        let quality = if round < 1_500 { 0.9 } else { 0.1 };
        let profile = Profile { quality, ..GOOD };
        cluster.serve("v1", &profile);
        cluster.serve("other", &profile);
        cluster.gossip();
    }
    for monitor in &cluster.monitors {
        assert_eq!(monitor.suspended(), Vec::new());
    }
}

#[test]
fn two_bad_versions_at_once_are_both_suspended() {
    let mut cluster = Cluster::new(3, 3);
    for _ in 0..60 {
        cluster.serve("v2", &Profile { failures: 1.0, ..GOOD });
        cluster.serve("v3", &Profile { failures: 0.9, ..GOOD });
        for _ in 0..10 {
            cluster.serve("v1", &GOOD);
        }
        cluster.gossip();
    }
    for monitor in &cluster.monitors {
        assert_eq!(monitor.suspended(), vec![release("v2"), release("v3")]);
    }
}

#[test]
fn version_with_raised_generation_starts_without_evidence() {
    let mut cluster = Cluster::new(2, 9);
    for round in 0..1_200 {
        let failures = if round < 1_000 { 0.01 } else { 1.0 };
        cluster.serve("v1", &Profile { failures, ..GOOD });
        cluster.gossip();
    }
    assert!(cluster.monitors.iter().all(|monitor| monitor.suspended() == vec![release("v1")]));
    let mut lifted = common::config(0);
    let model = lifted.models.get_mut("m").expect("the model exists");
    model.versions.get_mut("v1").expect("the version exists").generation = 1;
    let lifted = Arc::new(lifted);
    for monitor in &cluster.monitors {
        monitor.configure(2, &lifted, 2);
    }
    for _ in 0..1_000 {
        cluster.serve("v1", &GOOD);
        cluster.gossip();
    }
    assert!(cluster.monitors.iter().all(|monitor| monitor.suspended().is_empty()));
}
