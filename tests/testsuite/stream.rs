//! Streams pass through unbuffered.

use {
    hawthornmount_demo::world::World,
    hawthornmount_http::{Body, Method, client::Client},
    http_body_util::BodyExt,
    std::time::{Duration, Instant},
};

/// Tokens of the streamed answer.
const TOKENS: u32 = 100;
/// Least time between two tokens at the stand-in engine that answers.
const PER_TOKEN: Duration = Duration::from_millis(1);

#[tokio::test(flavor = "multi_thread")]
async fn first_event_arrives_before_the_engine_sent_its_last() {
    let world = World::start().await.expect("the demo starts");
    let body = serde_json::json!({
        "messages": [{ "role": "user", "content": "hello" }],
        "max_tokens": TOKENS,
        "stream": true,
    });
    let request = http::Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header("authorization", "Bearer demo-municipal")
        .body(Body::from(body.to_string()))
        .expect("the request is valid");
    let response =
        Client::new().send(world.callers()[0], request).await.expect("the instance answers");
    let mut body = response.into_body();
    let first = body.frame().await.expect("an event comes").expect("the stream is whole");
    let first_at = Instant::now();
    assert!(first.into_data().expect("an event is data").starts_with(b"data: "));
    while let Some(frame) = body.frame().await {
        frame.expect("the stream is whole");
    }
    let rest = first_at.elapsed();
    assert!(rest >= PER_TOKEN * TOKENS / 2, "all events came together, the rest in {rest:?}");
}
