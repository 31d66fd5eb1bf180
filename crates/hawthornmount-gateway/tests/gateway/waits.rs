//! Tests of the counts of late requests.

use {
    hawthornmount_core::id::{ServiceId, VersionId},
    hawthornmount_gateway::rollout::waits::{Wait, Waits, late_regression},
    rstest::rstest,
    std::time::{Duration, Instant},
};

/// Requests to a version, sent together, of which a share is still unanswered after a time.
struct Case {
    requests: u32,
    unanswered: u32,
    waited: Duration,
    is_bad: bool,
}

const ANSWERED: Duration = Duration::from_millis(40);
const WAITED: Duration = Duration::from_millis(400);

fn send(waits: &mut Waits, version: &str, case: &Case, sent_at: Instant) {
    for number in 0..case.requests {
        let id = waits.begin(Wait {
            service: "s".into(),
            version: version.into(),
            route: "r".into(),
            uncached_tokens: 1_500,
            sent_at,
        });
        if number >= case.unanswered {
            waits.end(id, true, sent_at + ANSWERED);
        }
    }
}

/// The old version's requests are answered at once; those of the new one are compared before the
/// unanswered ones have a latency.
#[rstest]
#[case::half_waits(Case { requests: 40, unanswered: 20, waited: WAITED, is_bad: true })]
#[case::not_long_yet(Case { requests: 40, unanswered: 20, waited: ANSWERED, is_bad: false })]
#[case::burst_of_delays(Case { requests: 40, unanswered: 8, waited: WAITED, is_bad: false })]
#[case::few(Case { requests: 3, unanswered: 3, waited: WAITED, is_bad: false })]
#[case::answered(Case { requests: 40, unanswered: 0, waited: WAITED, is_bad: false })]
fn slow_version_is_detected_while_its_requests_wait(#[case] case: Case) {
    let (mut waits, sent_at) = (Waits::default(), Instant::now());
    let old = Case { requests: 400, unanswered: 0, ..case };
    send(&mut waits, "v1", &old, sent_at);
    send(&mut waits, "v2", &case, sent_at);
    let late = waits.compare(&ServiceId::from("s"), &VersionId::from("v2"), sent_at + case.waited);
    assert_eq!(late_regression(late.iter()).is_some(), case.is_bad, "{late:?}");
}

/// On a busy day the old version's requests wait as long.
#[test]
fn long_waits_of_all_versions_do_not_count_against_one() {
    let (mut waits, sent_at) = (Waits::default(), Instant::now());
    let case = Case { requests: 100, unanswered: 50, waited: WAITED, is_bad: false };
    send(&mut waits, "v1", &case, sent_at);
    send(&mut waits, "v2", &case, sent_at);
    let late = waits.compare(&ServiceId::from("s"), &VersionId::from("v2"), sent_at + WAITED);
    assert_eq!(late_regression(late.iter()), None, "{late:?}");
}

/// A request that was counted while it waited must not count again when it is answered, and one
/// that its caller gave up early tells nothing.
#[test]
fn requests_count_once() {
    let (mut waits, sent_at) = (Waits::default(), Instant::now());
    let (service, version) = (ServiceId::from("s"), VersionId::from("v2"));
    let mut begin = || {
        waits.begin(Wait {
            service: service.clone(),
            version: version.clone(),
            route: "r".into(),
            uncached_tokens: 0,
            sent_at,
        })
    };
    let (late, given_up) = (begin(), begin());
    waits.end(given_up, false, sent_at + ANSWERED);
    waits.compare(&service, &version, sent_at + WAITED);
    waits.end(late, true, sent_at + WAITED);
    let counts = waits.compare(&service, &version, sent_at + WAITED);
    assert_eq!((counts[0].new.all, counts[0].new.bad), (1, 1));
}
