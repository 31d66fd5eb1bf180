use {
    super::history::{Call, Effect, is_once},
    rstest::rstest,
    std::time::{Duration, Instant},
};

struct Case {
    /// Start and end of each call, in milliseconds, with what it did.
    calls: &'static [(u64, u64, Did)],
    once: bool,
}

#[derive(Clone, Copy)]
enum Did {
    Ran(&'static str),
    Repeated(&'static str),
    Nothing,
}

use Did::{Nothing, Ran, Repeated};

#[rstest]
#[case::once(Case { calls: &[(0, 9, Ran("a")), (10, 12, Repeated("a")), (1, 3, Nothing)], once: true })]
#[case::twice(Case { calls: &[(0, 9, Ran("a")), (10, 12, Ran("b"))], once: false })]
#[case::twice_at_once(Case { calls: &[(0, 9, Ran("a")), (0, 9, Ran("b"))], once: false })]
#[case::repeated_too_early(Case { calls: &[(10, 12, Ran("a")), (0, 9, Repeated("a"))], once: false })]
#[case::repeated_at_once(Case { calls: &[(0, 12, Ran("a")), (1, 9, Repeated("a"))], once: true })]
#[case::of_another(Case { calls: &[(0, 9, Ran("a")), (10, 12, Repeated("b"))], once: false })]
fn histories_are_told_apart(#[case] case: Case) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let calls: Vec<Call> = case
        .calls
        .iter()
        .map(|(called, answered, did)| Call {
            called: at(*called),
            answered: Some(at(*answered)),
            effect: match did {
                Ran(run) => Effect::Ran((*run).into()),
                Repeated(run) => Effect::Repeated((*run).into()),
                Nothing => Effect::Nothing,
            },
        })
        .collect();
    assert_eq!(is_once(&calls), case.once);
}
