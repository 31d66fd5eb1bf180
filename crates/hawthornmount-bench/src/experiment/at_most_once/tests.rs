use {
    super::history::{Call, Effect, is_linearizable},
    rstest::rstest,
    std::time::{Duration, Instant},
};

struct Case {
    /// Start and end of each call, in milliseconds, with its effect.
    calls: &'static [(u64, u64, CallEffect)],
    expected: bool,
}

#[derive(Clone, Copy)]
enum CallEffect {
    Ran(&'static str),
    Replayed(&'static str),
    Nothing,
}

use CallEffect::{Nothing, Ran, Replayed};

#[rstest]
#[case::run_and_replay(Case {
    calls: &[(0, 9, Ran("a")), (10, 12, Replayed("a")), (1, 3, Nothing)],
    expected: true,
})]
#[case::sequential_runs(Case {
    calls: &[(0, 9, Ran("a")), (10, 12, Ran("b"))],
    expected: false,
})]
#[case::concurrent_runs(Case {
    calls: &[(0, 9, Ran("a")), (0, 9, Ran("b"))],
    expected: false,
})]
#[case::replay_before_run(Case {
    calls: &[(10, 12, Ran("a")), (0, 9, Replayed("a"))],
    expected: false,
})]
#[case::replay_during_run(Case {
    calls: &[(0, 12, Ran("a")), (1, 9, Replayed("a"))],
    expected: true,
})]
#[case::replay_of_unknown_run(Case {
    calls: &[(0, 9, Ran("a")), (10, 12, Replayed("b"))],
    expected: false,
})]
fn checks_linearizability_of_histories(#[case] case: Case) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let calls: Vec<Call> = case
        .calls
        .iter()
        .map(|(called, answered, effect)| Call {
            called: at(*called),
            answered: Some(at(*answered)),
            effect: match effect {
                Ran(run) => Effect::Ran((*run).into()),
                Replayed(run) => Effect::Replayed((*run).into()),
                Nothing => Effect::Nothing,
            },
        })
        .collect();
    assert_eq!(is_linearizable(&calls), case.expected);
}
