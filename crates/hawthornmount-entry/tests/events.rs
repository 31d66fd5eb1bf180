//! The reader of server-sent events: any split of the bytes gives the same events, a cut stream is
//! never whole, and garbage never panics.

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

/// Cases of each property; the seed is fixed.
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

struct Seen {
    events: Vec<Event>,
    text: String,
    end: Option<Error>,
}

/// Reads events until the terminal one or an error.
async fn read(chunks: Vec<Bytes>) -> Seen {
    let (sender, body) = body::channel(chunks.len().max(1));
    for chunk in chunks {
        sender.send(Ok(chunk)).await.expect("the reader is there");
    }
    drop(sender);
    let mut reader = Reader::new(body);
    let mut events = Vec::new();
    let end = loop {
        match reader.next().await {
            Ok(event) => events.push(event),
            Err(error) => break Some(error),
        }
        if events.last().is_some_and(|event| event.terminal) {
            break None;
        }
    };
    Seen { events, text: reader.text().to_owned(), end }
}

fn whole(seen: &Seen) -> Vec<u8> {
    seen.events.iter().flat_map(|event| event.bytes.iter().copied()).collect()
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
async fn every_split_gives_the_same_events(#[case] case: Case) {
    let bytes = Bytes::from_static(case.stream.as_bytes());
    for at in 0..=bytes.len() {
        let seen = read(vec![bytes.slice(..at), bytes.slice(at..)]).await;
        assert!(seen.end.is_none(), "split at {at}: {:?}", seen.end);
        assert_eq!(seen.events.len(), case.events, "split at {at}");
        assert_eq!(seen.text, case.text, "split at {at}");
        assert_eq!(whole(&seen), bytes, "split at {at}");
    }
}

#[rstest]
#[case::lf(LF)]
#[case::crlf(CRLF)]
#[tokio::test]
async fn a_cut_stream_is_never_whole(#[case] stream: &'static str) {
    let bytes = Bytes::from_static(stream.as_bytes());
    for at in 0..bytes.len() {
        let seen = read(vec![bytes.slice(..at)]).await;
        assert!(matches!(seen.end, Some(Error::UnexpectedEnd)), "cut at {at}: {:?}", seen.end);
        assert!(bytes.starts_with(&whole(&seen)), "cut at {at}");
    }
}

/// Garbage in pieces: the events are the bytes themselves, in order, however they are split.
#[test]
fn garbage_passes_unchanged_and_never_panics() {
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
        prop_assert!(all.starts_with(&whole(&split)));
        prop_assert_eq!(whole(&split), whole(&joined));
        prop_assert_eq!(split.events.len(), joined.events.len());
        prop_assert_eq!(split.text, joined.text);
        Ok(())
    };
    runner().run(&pieces, check).expect("the reader holds");
}
