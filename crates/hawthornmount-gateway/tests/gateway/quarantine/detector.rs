//! What shows that a server which closed a connection has ended.

use {
    hawthornmount_gateway::quarantine::detector::{CHECKS, Detector, Finding},
    hawthornmount_http::connection::Reach::{self, Accepted, Closed, Refused, Silent},
    rstest::rstest,
};

/// What an address does with the connections that are tried; the last one counts for all later ones.
struct Case {
    reaches: &'static [Reach],
    /// Check from which a later start is registered.
    restarted_at: Option<usize>,
    is_at_work: bool,
    /// Check that shows the end.
    ended_at: Option<usize>,
}

const SOUND: Case =
    Case { reaches: &[Accepted], restarted_at: None, is_at_work: false, ended_at: None };

/// An end was known only if the address refused a connection 50 ms after the close.
#[rstest]
#[case::sound(SOUND)]
#[case::refused(Case { reaches: &[Refused], ended_at: Some(0), ..SOUND })]
#[case::refused_later(Case { reaches: &[Accepted, Accepted, Refused], ended_at: Some(2), ..SOUND })]
#[case::silent(Case { reaches: &[Silent], ended_at: Some(0), ..SOUND })]
#[case::silent_later(Case { reaches: &[Accepted, Silent], ended_at: Some(1), ..SOUND })]
#[case::closed(Case { reaches: &[Closed], ended_at: Some(2), ..SOUND })]
#[case::closed_beyond_the_limit(Case { reaches: &[Closed], is_at_work: true, ..SOUND })]
#[case::closed_for_a_moment(Case { reaches: &[Closed, Accepted], ..SOUND })]
#[case::back_at_once(Case { restarted_at: Some(3), ended_at: Some(3), ..SOUND })]
#[case::at_work_and_back(Case { restarted_at: Some(5), is_at_work: true, ended_at: Some(5), ..SOUND })]
fn end_is_found(#[case] case: Case) {
    let (mut detector, mut probes) = (Detector::default(), 0);
    let mut ended_at = None;
    for (number, check) in CHECKS.into_iter().enumerate() {
        let reach = detector.probes(check).then(|| {
            probes += 1;
            case.reaches[(probes - 1).min(case.reaches.len() - 1)]
        });
        let has_restarted = case.restarted_at.is_some_and(|at| number >= at);
        let finding = Finding { reach, has_restarted, is_at_work: case.is_at_work };
        if detector.record(check, finding) {
            ended_at = Some(number);
            break;
        }
    }
    assert_eq!(ended_at, case.ended_at);
    assert!(probes <= 3 || case.reaches[0] == Closed, "{probes} connections to a sound server");
}
