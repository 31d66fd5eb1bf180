use {
    hawthornmount_policy::cascade::{Estimate, Tier, cheapest_sufficient, escalation_path},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rstest::rstest,
};

const fn tier(cost: f64, quality: f64) -> Tier {
    Tier { cost, quality, standard_deviation: 0.0, seconds: 1.0 }
}

struct Case {
    tiers: Vec<Tier>,
    seconds: f64,
    path: &'static [usize],
}

#[rstest]
#[case::cheapest_model_first(Case {
    tiers: vec![tier(1.0, 0.8), tier(10.0, 0.98)], seconds: 9.0, path: &[0, 1],
})]
#[case::cheap_model_of_low_quality_is_skipped(Case {
    tiers: vec![tier(5.0, 0.1), tier(10.0, 0.98)], seconds: 9.0, path: &[1],
})]
#[case::middle_model_without_benefit_is_skipped(Case {
    tiers: vec![tier(1.0, 0.8), tier(9.0, 0.81), tier(10.0, 0.98)], seconds: 9.0, path: &[0, 2],
})]
#[case::costliest_model_of_low_quality_is_skipped(Case {
    tiers: vec![tier(1.0, 0.9), tier(10.0, 0.5)], seconds: 9.0, path: &[0],
})]
#[case::only_one_model_fits_the_deadline(Case {
    tiers: vec![tier(1.0, 0.8), tier(10.0, 0.98)], seconds: 1.5, path: &[1],
})]
#[case::no_models(Case { tiers: vec![], seconds: 9.0, path: &[] })]
fn path_has_the_lowest_expected_cost(#[case] case: Case) {
    assert_eq!(escalation_path(&case.tiers, case.seconds), case.path);
}

#[rstest]
#[case::cheapest_that_meets_the_target(
    &[tier(1.0, 0.7), tier(3.0, 0.92), tier(10.0, 0.99)], Some(1),
)]
#[case::best_if_none_meets_the_target(&[tier(1.0, 0.7), tier(3.0, 0.6)], Some(0))]
#[case::no_models(&[], None)]
fn unrated_answers_come_from_the_cheapest_model_that_meets_the_target(
    #[case] tiers: &[Tier],
    #[case] chosen: Option<usize>,
) {
    assert_eq!(cheapest_sufficient(tiers, 0.9), chosen);
}

#[test]
fn estimate_follows_drift_and_ignores_invalid_ratings() {
    let mut rng = SmallRng::seed_from_u64(6);
    let mut estimate = Estimate::default();
    for _ in 0..1_000 {
        estimate.observe(if rng.random_bool(0.95) { 1.0 } else { 0.0 });
    }
    estimate.observe(f64::NAN);
    estimate.observe(7.0);
    assert!((estimate.quality(0.5) - 0.95).abs() < 0.05, "{estimate:?}");
    for _ in 0..300 {
        estimate.observe(if rng.random_bool(0.4) { 1.0 } else { 0.0 });
    }
    assert!((0.3..0.65).contains(&estimate.quality(0.5)), "{estimate:?}");
}
