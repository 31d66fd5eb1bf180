//! Evidence is merged without double counting, condemns bad versions and spares good ones.

mod common;

use {
    common::{Kind, World, release},
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

fn cells(world: &mut World, answers: usize) -> Vec<Record> {
    let mut all = Vec::new();
    for _ in 0..answers {
        world.answer("v2", 0.3, 0.5, 1.0);
        world.answer("v1", 0.05, 0.9, 1.0);
        all.extend(world.monitors.iter().flat_map(|monitor| monitor.take_changed_evidence(64)));
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn evidence_merges_in_any_order(seed in any::<u64>(), order in any::<u64>()) {
        let mut world = World::new(3, seed);
        let sent = cells(&mut world, 60);
        let mut in_order = Evidence::default();
        sent.iter().for_each(|cell| { in_order.merge(cell.clone()); });
        let mut shuffled = Evidence::default();
        for cell in common::shuffled_twice(&sent, order) {
            shuffled.merge(cell);
        }
        prop_assert_eq!(in_order, shuffled);
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
        let mut in_order = Set::default();
        sent.iter().for_each(|one| { in_order.merge(one.clone()); });
        let mut shuffled = Set::default();
        for one in common::shuffled_twice(&sent, order) {
            shuffled.merge(one);
        }
        prop_assert_eq!(in_order, shuffled);
    }
}

struct Case {
    /// Rounds of one answer of the candidate and ten of the stable version.
    rounds: usize,
    candidate: Kind,
    stable: Kind,
    condemned: bool,
}

const GOOD: Kind = Kind { failures: 0.01, quality: 0.85, slowness: 1.0, rated: true };

#[rstest]
#[case::as_good(Case { rounds: 600, candidate: GOOD, stable: GOOD, condemned: false })]
#[case::fails_all(Case {
    rounds: 40,
    candidate: Kind { failures: 1.0, ..GOOD },
    stable: GOOD,
    condemned: true,
})]
#[case::fails_a_fifth(Case {
    rounds: 300,
    candidate: Kind { failures: 0.2, ..GOOD },
    stable: GOOD,
    condemned: true,
})]
#[case::drops_in_quality(Case {
    rounds: 500,
    candidate: Kind { quality: 0.6, ..GOOD },
    stable: GOOD,
    condemned: true,
})]
#[case::twice_as_slow(Case {
    rounds: 300,
    candidate: Kind { slowness: 2.0, ..GOOD },
    stable: GOOD,
    condemned: true,
})]
#[case::servers_fail_for_both(Case {
    rounds: 300,
    candidate: Kind { failures: 0.7, ..GOOD },
    stable: Kind { failures: 0.7, ..GOOD },
    condemned: false,
})]
#[case::ratings_fall_for_both(Case {
    rounds: 300,
    candidate: Kind { quality: 0.1, ..GOOD },
    stable: Kind { quality: 0.1, ..GOOD },
    condemned: false,
})]
#[case::no_ratings(Case {
    rounds: 300,
    candidate: Kind { quality: 0.1, rated: false, ..GOOD },
    stable: Kind { rated: false, ..GOOD },
    condemned: false,
})]
fn compares_with_the_stable_version(#[case] case: Case) {
    let mut world = World::new(3, 11);
    for _ in 0..case.rounds {
        world.serve("v2", &case.candidate);
        for _ in 0..10 {
            world.serve("v1", &case.stable);
        }
        world.gossip();
    }
    let suspended: Vec<_> = world.monitors.iter().map(|monitor| monitor.suspended()).collect();
    for one in suspended {
        assert_eq!(one.contains(&release("v2")), case.condemned);
        assert!(!one.contains(&release("v1")));
    }
}

#[rstest]
#[case::one_server(&["s1"])]
#[case::one_data_centre(&["s0", "s3", "s6"])]
fn a_fault_of_a_place_condemns_no_version(#[case] broken: &[&str]) {
    let mut world = World::new(3, 5);
    for _ in 0..1_000 {
        world.serve("v1", &GOOD);
        world.serve("v2", &GOOD);
    }
    for _ in 0..2_000 {
        for version in ["v1", "v1", "v1", "v2"] {
            let server = world.any_server();
            let kind = Kind { failures: 1.0, ..GOOD };
            let bad = broken.contains(&&*server);
            world.serve_at(version, &server, if bad { &kind } else { &GOOD });
        }
        world.gossip();
    }
    for monitor in &world.monitors {
        assert_eq!(monitor.suspended(), Vec::new());
    }
}

#[test]
fn the_network_condemns_no_version() {
    let world = World::new(1, 5);
    for at in 0..1_000 {
        world.monitors[0].observe(Sample {
            release: release("v2"),
            server: ServerId::from(format!("s{}", at % 9)),
            data_centre: format!("dc{}", at % 3).into(),
            outcome: Outcome::Unreachable,
        });
        world.monitors[0].observe(Sample {
            release: release("v1"),
            server: ServerId::from(format!("s{}", at % 9)),
            data_centre: format!("dc{}", at % 3).into(),
            outcome: Outcome::Answered(Duration::from_millis(10)),
        });
    }
    assert_eq!(world.monitors[0].suspended(), Vec::new());
}

#[rstest]
#[case::fails_all(Kind { failures: 1.0, ..GOOD }, true)]
#[case::fails_a_fifth(Kind { failures: 0.2, ..GOOD }, true)]
#[case::drops_in_quality(Kind { quality: 0.6, ..GOOD }, true)]
#[case::stays_good(GOOD, false)]
fn a_stable_version_is_held_against_its_past(#[case] turned: Kind, #[case] condemned: bool) {
    let mut world = World::new(3, 9);
    let other = Kind { quality: 0.95, ..GOOD };
    for _ in 0..1_500 {
        world.serve("v1", &GOOD);
        world.serve("other", &other);
        world.gossip();
    }
    for _ in 0..1_500 {
        world.serve("v1", &turned);
        world.serve("other", &other);
        world.gossip();
    }
    for monitor in &world.monitors {
        assert_eq!(monitor.suspended().contains(&release("v1")), condemned);
        assert!(!monitor.suspended().contains(&release("other")));
    }
}

#[test]
fn a_fall_of_all_ratings_is_the_rating_services_doing() {
    let mut world = World::new(2, 9);
    for round in 0..3_000 {
        let quality = if round < 1_500 { 0.9 } else { 0.1 };
        let kind = Kind { quality, ..GOOD };
        world.serve("v1", &kind);
        world.serve("other", &kind);
        world.gossip();
    }
    for monitor in &world.monitors {
        assert_eq!(monitor.suspended(), Vec::new());
    }
}

#[test]
fn two_bad_versions_at_once_are_both_suspended() {
    let mut world = World::new(3, 3);
    for _ in 0..60 {
        world.serve("v2", &Kind { failures: 1.0, ..GOOD });
        world.serve("v3", &Kind { failures: 0.9, ..GOOD });
        for _ in 0..10 {
            world.serve("v1", &GOOD);
        }
        world.gossip();
    }
    for monitor in &world.monitors {
        assert_eq!(monitor.suspended(), vec![release("v2"), release("v3")]);
    }
}

#[test]
fn a_lifted_version_starts_afresh() {
    let mut world = World::new(2, 9);
    for round in 0..1_200 {
        let failures = if round < 1_000 { 0.01 } else { 1.0 };
        world.serve("v1", &Kind { failures, ..GOOD });
        world.gossip();
    }
    assert!(world.monitors.iter().all(|monitor| monitor.suspended() == vec![release("v1")]));
    let mut lifted = common::config(0);
    let model = lifted.models.get_mut("m").expect("the model exists");
    model.versions.get_mut("v1").expect("the version exists").generation = 1;
    let lifted = Arc::new(lifted);
    for monitor in &world.monitors {
        monitor.configure(2, &lifted, 2);
    }
    for _ in 0..1_000 {
        world.serve("v1", &GOOD);
        world.gossip();
    }
    assert!(world.monitors.iter().all(|monitor| monitor.suspended().is_empty()));
}
