//! What the head of an answer says of its request.

use {
    hawthornmount_core::{id::RequestId, reason::Retry},
    hawthornmount_gateway::{
        forward::{Verdict, verdict},
        message::Reply,
    },
    http::StatusCode,
    proptest::prelude::*,
    rstest::rstest,
};

fn own() -> RequestId {
    "a1".into()
}

fn reply() -> Reply {
    Reply { id: Some(own()), sealed: true, ..Reply::default() }
}

struct Case {
    status: u16,
    reply: Reply,
    is_kept: bool,
    verdict: Verdict,
}

#[rstest]
#[case::success(Case { status: 200, reply: reply(), is_kept: true, verdict: Verdict::Success })]
#[case::failure(Case { status: 500, reply: reply(), is_kept: true, verdict: Verdict::Failure })]
#[case::refusal(Case { status: 503, reply: Reply { refused: true, ..reply() }, is_kept: true, verdict: Verdict::Refused })]
#[case::misdirected(Case { status: 421, reply: reply(), is_kept: true, verdict: Verdict::Refused })]
#[case::refusal_without_id(Case { status: 503, reply: Reply { id: None, refused: true, ..reply() }, is_kept: false, verdict: Verdict::Refused })]
#[case::refusal_without_id_on_used(Case { status: 503, reply: Reply { id: None, refused: true, ..reply() }, is_kept: true, verdict: Verdict::Alien(Retry::CrossedAnswer) })]
#[case::busy_but_ran(Case { status: 503, reply: reply(), is_kept: false, verdict: Verdict::Failure })]
#[case::crossed(Case { status: 200, reply: Reply { id: Some("b2".into()), ..reply() }, is_kept: true, verdict: Verdict::Alien(Retry::CrossedAnswer) })]
#[case::crossed_refusal(Case { status: 503, reply: Reply { id: Some("b2".into()), refused: true, ..reply() }, is_kept: true, verdict: Verdict::Alien(Retry::CrossedAnswer) })]
#[case::unsealed(Case { status: 200, reply: Reply { sealed: false, ..reply() }, is_kept: false, verdict: Verdict::Alien(Retry::CutAnswer) })]
#[case::encoded(Case { status: 200, reply: Reply { encoded: true, ..reply() }, is_kept: false, verdict: Verdict::Alien(Retry::CutAnswer) })]
fn heads_are_classified(#[case] case: Case) {
    let status = StatusCode::from_u16(case.status).expect("a status");
    assert_eq!(verdict(&own(), status, &case.reply, case.is_kept), case.verdict);
}

proptest! {
    #[test]
    fn only_a_refusal_of_this_request_says_that_it_did_not_run(
        status in 100_u16..600,
        id in prop::option::of(prop_oneof![Just("a1"), Just("b2")]),
        refused: bool,
        sealed: bool,
        encoded: bool,
        is_kept: bool,
    ) {
        let reply = Reply { id: id.map(Into::into), refused, sealed, encoded, ..Reply::default() };
        let status = StatusCode::from_u16(status).expect("a status");
        match verdict(&own(), status, &reply, is_kept) {
            Verdict::Refused => {
                prop_assert!(refused || status == 421);
                prop_assert!(id == Some("a1") || (id.is_none() && !is_kept));
            }
            Verdict::Success => {
                prop_assert!(status.is_success() && sealed && !encoded && id == Some("a1"));
            }
            Verdict::Failure => prop_assert!(!status.is_success() && id == Some("a1")),
            Verdict::Alien(_) => {}
        }
    }
}
