//! Tests of run outcomes: targets, the JSON form, and the comparison of two sets of runs.

use {
    hawthornmount_bench::{
        compare::compare,
        experiment::{self, Experiment},
        figure::Outcome,
    },
    rstest::rstest,
    serde_json::{Value, json},
};

struct Case {
    outcome: Outcome,
    pass: bool,
}

fn outcome() -> Outcome {
    Outcome::new("example", 7)
}

#[rstest]
#[case::no_target(Case { outcome: outcome().figure("rate", 3.0), pass: true })]
#[case::at_the_limit(Case { outcome: outcome().at_most("p99", 2.0, 2.0), pass: true })]
#[case::above(Case { outcome: outcome().at_most("p99", 2.1, 2.0), pass: false })]
#[case::below(Case { outcome: outcome().at_least("rate", 0.6, 0.7), pass: false })]
#[case::not_a_number(Case { outcome: outcome().at_least("rate", f64::NAN, 0.7), pass: false })]
#[case::one_of_two(Case {
    outcome: outcome().at_most("p99", 3.0, 2.0).at_least("rate", 1.0, 0.7),
    pass: false,
})]
fn run_passes_if_every_target_is_met(#[case] case: Case) {
    assert_eq!(case.outcome.pass, case.pass);
}

#[test]
fn json_form_contains_figures_and_targets() {
    let outcome = outcome().figure("rate", 3.0).at_most("p99", 2.0, 4.0);
    let written: Value = serde_json::to_value(&outcome).expect("the outcome can be serialised");
    let expected = json!({
        "name": "example",
        "seed": 7,
        "pass": true,
        "figures": { "p99": 2.0, "rate": 3.0 },
        "targets": { "p99": { "limit": 4.0, "side": "at_most" } },
    });
    assert_eq!(written, expected);
}

#[test]
fn comparison_returns_ratio_of_means_and_spread() {
    let runs = |values: &[f64]| -> Vec<Outcome> {
        values.iter().map(|value| outcome().figure("rate", *value)).collect()
    };
    let ratios = compare(&runs(&[1.0, 3.0]), &runs(&[4.0, 4.0]));
    assert_eq!(ratios.len(), 1);
    assert!((ratios[0].ratio - 2.0).abs() < 1e-9, "{}", ratios[0].ratio);
    assert!((ratios[0].spread - 3.0).abs() < 1e-9, "{}", ratios[0].spread);
}

#[test]
fn experiment_names_are_sorted_and_unique() {
    let names: Vec<&str> = experiment::ALL.iter().map(|one: &Experiment| one.name).collect();
    assert!(names.is_sorted_by(|a, b| a < b), "{names:?}");
    for name in names {
        assert_eq!(experiment::find(name).map(|one| one.name), Some(name));
    }
}
