//! Classification of responses by their heads.

use {
    hawthornmount_core::{id::RequestId, reason::Retry},
    hawthornmount_gateway::{
        forward::{Class, classify},
        message::ResponseHead,
    },
    http::StatusCode,
    proptest::prelude::*,
    rstest::rstest,
};

fn own() -> RequestId {
    "a1".into()
}

fn head() -> ResponseHead {
    ResponseHead { id: Some(own()), sealed: true, ..ResponseHead::default() }
}

struct Case {
    status: u16,
    head: ResponseHead,
    is_reused: bool,
    class: Class,
}

#[rstest]
#[case::success(Case { status: 200, head: head(), is_reused: true, class: Class::Success })]
#[case::failure(Case { status: 500, head: head(), is_reused: true, class: Class::Failure })]
#[case::refusal(Case { status: 503, head: ResponseHead { not_executed: true, ..head() }, is_reused: true, class: Class::Refused })]
#[case::misdirected(Case { status: 421, head: head(), is_reused: true, class: Class::Refused })]
#[case::refusal_without_id_on_new_connection(Case { status: 503, head: ResponseHead { id: None, not_executed: true, ..head() }, is_reused: false, class: Class::Refused })]
#[case::refusal_without_id_on_reused_connection(Case { status: 503, head: ResponseHead { id: None, not_executed: true, ..head() }, is_reused: true, class: Class::Invalid(Retry::CrossedAnswer) })]
#[case::unavailable_without_refusal(Case { status: 503, head: head(), is_reused: false, class: Class::Failure })]
#[case::id_of_another_request(Case { status: 200, head: ResponseHead { id: Some("b2".into()), ..head() }, is_reused: true, class: Class::Invalid(Retry::CrossedAnswer) })]
#[case::refusal_of_another_request(Case { status: 503, head: ResponseHead { id: Some("b2".into()), not_executed: true, ..head() }, is_reused: true, class: Class::Invalid(Retry::CrossedAnswer) })]
#[case::unsealed(Case { status: 200, head: ResponseHead { sealed: false, ..head() }, is_reused: false, class: Class::Invalid(Retry::CutAnswer) })]
#[case::encoded(Case { status: 200, head: ResponseHead { encoded: true, ..head() }, is_reused: false, class: Class::Invalid(Retry::CutAnswer) })]
fn response_heads_are_classified(#[case] case: Case) {
    let status = StatusCode::from_u16(case.status).expect("a status");
    assert_eq!(classify(&own(), status, &case.head, case.is_reused), case.class);
}

proptest! {
    #[test]
    fn only_a_refusal_of_this_request_proves_that_it_did_not_run(
        status in 100_u16..600,
        id in prop::option::of(prop_oneof![Just("a1"), Just("b2")]),
        not_executed: bool,
        sealed: bool,
        encoded: bool,
        is_reused: bool,
    ) {
        let head_id = id.map(Into::into);
        let head =
            ResponseHead { id: head_id, not_executed, sealed, encoded, ..ResponseHead::default() };
        let status = StatusCode::from_u16(status).expect("a status");
        match classify(&own(), status, &head, is_reused) {
            Class::Refused => {
                prop_assert!(not_executed || status == 421);
                prop_assert!(id == Some("a1") || (id.is_none() && !is_reused));
            }
            Class::Success => {
                prop_assert!(status.is_success() && sealed && !encoded && id == Some("a1"));
            }
            Class::Failure => prop_assert!(!status.is_success() && id == Some("a1")),
            Class::Invalid(_) => {}
        }
    }
}
