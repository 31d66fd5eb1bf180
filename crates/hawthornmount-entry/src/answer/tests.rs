use {
    super::{
        Usage,
        events::{Error, Reader},
    },
    hawthornmount_http::Body,
    rstest::rstest,
};

const FIRST: &str = r#"data: {"id":"a","choices":[{"delta":{"content":"one"}}]}"#;
const SECOND: &str = r#"data: {"id":"a","choices":[{"delta":{"content":" two"}}]}"#;
const OTHER: &str = r#"data: {"id":"b","choices":[{"delta":{"content":" no"}}]}"#;
const END: &str = r#"data: {"id":"a","choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2}}"#;
const DONE: &str = "data: [DONE]";

struct Case {
    events: &'static [&'static str],
    passed: usize,
    cause: Option<&'static str>,
    usage: Usage,
}

const WHOLE: Usage = Usage { prompt_tokens: 3, completion_tokens: 2 };
const PIECES: Usage = Usage { prompt_tokens: 0, completion_tokens: 2 };

#[rstest]
#[case::whole(Case { events: &[FIRST, SECOND, END, DONE], passed: 4, cause: None, usage: WHOLE })]
#[case::cut(Case { events: &[FIRST, SECOND], passed: 2, cause: Some("cut"), usage: PIECES })]
#[case::truncated(Case { events: &[FIRST, SECOND, DONE], passed: 2, cause: Some("truncated"), usage: PIECES })]
#[case::crossed(Case { events: &[FIRST, SECOND, OTHER, END, DONE], passed: 2, cause: Some("crossed"), usage: PIECES })]
#[tokio::test]
async fn only_whole_streams_reach_their_end(#[case] case: Case) {
    let text: String = case.events.iter().map(|event| format!("{event}\n\n")).collect();
    let mut reader = Reader::new(Body::from(text));
    let mut passed = 0;
    let ended: Result<(), Error> = loop {
        match reader.next().await {
            Ok(event) => {
                passed += 1;
                if event.terminal {
                    break Ok(());
                }
            }
            Err(error) => break Err(error),
        }
    };
    assert_eq!(ended.err().map(|error| error.cause()), case.cause);
    assert_eq!((passed, reader.usage_so_far()), (case.passed, case.usage));
}
