//! The reader of server-sent events: the events don't depend on how the bytes are split, a
//! truncated stream is never read as complete, and arbitrary bytes cause no panic.

use {
    bytes::Bytes,
    hawthornmount_entry::answer::events::{Error, Event, Reader},
    hawthornmount_http::body,
    proptest::{
        prelude::*,
        test_runner::{TestRng, TestRunner},
    },
    rstest::rstest,
};

/// Number of cases of each property test; the seed is fixed.
const CASES: u32 = 128;

struct Case {
    stream: &'static str,
    events: usize,
    text: &'static str,
}

fn runner() -> TestRunner {
    let config =
        ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    TestRunner::new_with_rng(config, rng)
}

/// What was read of a stream.
struct Outcome {
    events: Vec<Event>,
    text: String,
    error: Option<Error>,
}

/// Reads events up to the terminal one or an error.
async fn read(chunks: Vec<Bytes>) -> Outcome {
    let (sender, body) = body::channel(chunks.len().max(1));
    for chunk in chunks {
        sender.send(Ok(chunk)).await.expect("the channel is open");
    }
    drop(sender);
    let mut reader = Reader::new(body);
    let mut events = Vec::new();
    let error = loop {
        match reader.next().await {
            Ok(event) => events.push(event),
            Err(error) => break Some(error),
        }
        if events.last().is_some_and(|event| event.terminal) {
            break None;
        }
    };
    Outcome { events, text: reader.text().to_owned(), error }
}

/// Returns the bytes of all events in order.
fn event_bytes(outcome: &Outcome) -> Vec<u8> {
    outcome.events.iter().flat_map(|event| event.bytes.iter().copied()).collect()
}

const LF: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"dräft\"}}]}\n\n\
    : comment\n\n\
    event: note\ndata: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}\n\n\
    data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n\
    data: [DONE]\n\n";
const CRLF: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"note\"}}]}\r\n\r\n\
    data:{\"choices\":[{\"delta\":{\"content\":\"s\"},\"finish_reason\":\"stop\"}]}\r\n\r\n\
    data: [DONE]\r\n\r\n";
const MIXED: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\r\n\r\n\
    data: {\"choices\":[{\"delta\":{\"content\":\"b\"},\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n";

#[rstest]
#[case::lf(Case { stream: LF, events: 5, text: "dräft" })]
#[case::crlf(Case { stream: CRLF, events: 3, text: "notes" })]
#[case::mixed(Case { stream: MIXED, events: 3, text: "ab" })]
#[tokio::test]
async fn events_do_not_depend_on_the_split(#[case] case: Case) {
    let bytes = Bytes::from_static(case.stream.as_bytes());
    for at in 0..=bytes.len() {
        let outcome = read(vec![bytes.slice(..at), bytes.slice(at..)]).await;
        assert!(outcome.error.is_none(), "split at {at}: {:?}", outcome.error);
        assert_eq!(outcome.events.len(), case.events, "split at {at}");
        assert_eq!(outcome.text, case.text, "split at {at}");
        assert_eq!(event_bytes(&outcome), bytes, "split at {at}");
    }
}

#[rstest]
#[case::lf(LF)]
#[case::crlf(CRLF)]
#[tokio::test]
async fn truncated_stream_is_never_complete(#[case] stream: &'static str) {
    let bytes = Bytes::from_static(stream.as_bytes());
    for at in 0..bytes.len() {
        let outcome = read(vec![bytes.slice(..at)]).await;
        assert!(
            matches!(outcome.error, Some(Error::UnexpectedEnd)),
            "cut at {at}: {:?}",
            outcome.error
        );
        assert!(bytes.starts_with(&event_bytes(&outcome)), "cut at {at}");
    }
}

/// Arbitrary bytes in pieces: the events contain the bytes unchanged and in order, and are the same
/// as those of the unsplit bytes.
#[test]
fn arbitrary_bytes_pass_unchanged_and_cause_no_panic() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let piece = prop_oneof![
        Just(b"\n\n".to_vec()),
        Just(b"\r\n\r\n".to_vec()),
        Just(b"\r".to_vec()),
        Just(b"data: ".to_vec()),
        Just(b"data: [DONE]".to_vec()),
        Just(b"{\"choices\":[{\"delta\":{\"content\":null}}]}".to_vec()),
        prop::collection::vec(any::<u8>(), 0..12),
    ];
    let pieces = prop::collection::vec(piece, 0..16);
    let check = |pieces: Vec<Vec<u8>>| {
        let all = pieces.concat();
        let split = runtime.block_on(read(pieces.into_iter().map(Bytes::from).collect()));
        let joined = runtime.block_on(read(vec![Bytes::from(all.clone())]));
        prop_assert!(all.starts_with(&event_bytes(&split)));
        prop_assert_eq!(event_bytes(&split), event_bytes(&joined));
        prop_assert_eq!(split.events.len(), joined.events.len());
        prop_assert_eq!(split.text, joined.text);
        Ok(())
    };
    runner().run(&pieces, check).expect("the property holds");
}
