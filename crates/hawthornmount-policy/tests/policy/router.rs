use {
    crate::fleet::{backend, query, release, snapshot},
    hawthornmount_core::{
        config::State,
        reason::Refusal,
        snapshot::{Release, Snapshot},
    },
    hawthornmount_policy::{Router, adaptive::Adaptive, router::Outcome},
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

fn three_models() -> Snapshot {
    snapshot(3, vec![backend("a", "one", "north", 3)])
}

/// Records 100 ratings of each model, of which the given share is good.
fn record_ratings(router: &Adaptive, qualities: &[f64]) {
    for (model, quality) in qualities.iter().enumerate() {
        for at in 0..100 {
            let good = f64::from(at) < quality * 100.0;
            router.record_rating(&"a".into(), "notes", &release(model), f64::from(u8::from(good)));
        }
    }
}

struct Case {
    streamed: bool,
    qualities: [f64; 3],
    first: usize,
}

#[rstest]
#[case::stream_uses_the_cheapest_model_that_meets_the_target(Case {
    streamed: true, qualities: [0.6, 0.97, 0.99], first: 1,
})]
#[case::stream_uses_the_best_model_if_none_meets_the_target(Case {
    streamed: true, qualities: [0.6, 0.7, 0.8], first: 2,
})]
#[case::rated_answer_starts_with_the_cheapest_model(Case {
    streamed: false, qualities: [0.7, 0.9, 0.99], first: 0,
})]
#[case::rated_answer_skips_a_model_of_low_quality(Case {
    streamed: false, qualities: [0.05, 0.9, 0.99], first: 1,
})]
fn first_model_follows_the_ratings(#[case] case: Case) {
    let snapshot = three_models();
    let router = Adaptive::with_seed(6);
    record_ratings(&router, &case.qualities);
    let mut query = query(Instant::now());
    query.streamed = case.streamed;
    let plans: Vec<_> = (0..400).map(|_| router.plan(&snapshot, &query).unwrap()).collect();
    let explored = plans.iter().filter(|plan| plan.candidates[0].is_exploration).count();
    assert!(explored <= 20, "{explored} of 400 explored");
    for plan in plans.iter().filter(|plan| !plan.candidates[0].is_exploration) {
        assert_eq!(plan.candidates[0].release, release(case.first));
    }
}

#[test]
fn missing_ratings_select_a_single_model_that_meets_the_target() {
    let snapshot = three_models();
    let router = Adaptive::with_seed(1);
    record_ratings(&router, &[0.7, 0.9, 0.99]);
    let now = Instant::now();
    for _ in 0..3 {
        router.record_missing_rating(now);
    }
    let plan = router.plan(&snapshot, &query(now)).unwrap();
    assert_eq!((plan.candidates[0].release.clone(), plan.escalation_steps), (release(2), 1));
    assert_eq!(plan.candidates.len(), 3, "the other models stay as fallbacks");
}

fn withdraw(snapshot: &mut Snapshot, release: &Release) {
    let mut config = (*snapshot.config).clone();
    let model = config.models.get_mut(&release.model).unwrap();
    model.versions.get_mut(&release.version).unwrap().state = State::Withdrawn;
    snapshot.config = Arc::new(config);
}

fn suspend(snapshot: &mut Snapshot, release: &Release) {
    snapshot.suspended = Arc::from([release.clone()]);
}

#[rstest]
#[case::withdrawn(withdraw)]
#[case::suspended(suspend)]
fn no_request_goes_to_a_version_that_is(#[case] disable: fn(&mut Snapshot, &Release)) {
    let mut snapshot = three_models();
    disable(&mut snapshot, &release(0));
    let router = Adaptive::with_seed(6);
    record_ratings(&router, &[1.0, 0.9, 0.99]);
    let mut query = query(Instant::now());
    for _ in 0..500 {
        let plan = router.plan(&snapshot, &query).unwrap();
        assert!(plan.candidates.iter().all(|one| one.release != release(0)));
    }
    assert_eq!(router.choose_server(&snapshot, &query, &release(0), &[]), Err(Refusal::NoVersion));
    query.pinned = Some(release(0));
    assert_eq!(router.plan(&snapshot, &query), Err(Refusal::NoVersion));
}

#[test]
fn pinned_session_has_one_candidate_and_never_explores() {
    let snapshot = three_models();
    let router = Adaptive::with_seed(6);
    let mut query = query(Instant::now());
    query.pinned = Some(release(1));
    for _ in 0..500 {
        let plan = router.plan(&snapshot, &query).unwrap();
        assert_eq!(plan.candidates.len(), 1);
        assert_eq!(plan.candidates[0].release, release(1));
        assert!(!plan.candidates[0].is_exploration);
    }
}

#[test]
fn hedging_needs_a_measured_answer_time() {
    let snapshot = three_models();
    let router = Adaptive::with_seed(6);
    let now = Instant::now();
    assert_eq!(router.hedge_delay(&release(0), &query(now)), None);
    let choice = router.choose_server(&snapshot, &query(now), &release(0), &[]).unwrap();
    let took = Duration::from_millis(100);
    router.record_outcome(&choice, Some(&release(0)), Outcome::Answered(took), now);
    let delay = router.hedge_delay(&release(0), &query(now)).unwrap();
    assert!(delay >= took * 3 && delay <= took * 5, "{delay:?}");
}
