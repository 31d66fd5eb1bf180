//! Streams are passed through unbuffered and end at the deadline.

use {
    hawthornmount_demo::deployment::Deployment,
    hawthornmount_http::{Body, Method, Response, client::Client},
    hawthornmount_standin::engine::Behaviour,
    http_body_util::BodyExt,
    std::time::{Duration, Instant},
};

/// Tokens of the streamed response.
const TOKENS: u32 = 100;
/// Shortest interval between two tokens of the stand-in engines.
const MIN_TOKEN_INTERVAL: Duration = Duration::from_millis(1);

/// Requests a stream from the first instance, with `timeout` as its deadline.
async fn request_stream(deployment: &Deployment, timeout: Duration) -> Response {
    let body = serde_json::json!({
        "messages": [{ "role": "user", "content": "hello" }],
        "max_tokens": TOKENS,
        "stream": true,
    });
    let request = http::Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header("authorization", "Bearer demo-municipal")
        .header("x-request-timeout-ms", timeout.as_millis().to_string())
        .body(Body::from(body.to_string()))
        .expect("the request is valid");
    Client::new().send(deployment.callers()[0], request).await.expect("the instance answers")
}

/// Guards against buffering: a buffered stream arrives at once after its last event.
#[tokio::test(flavor = "multi_thread")]
async fn first_event_arrives_before_the_engine_sent_its_last() {
    let deployment = Deployment::start().await.expect("the demo starts");
    let mut body = request_stream(&deployment, Duration::from_secs(30)).await.into_body();
    let first = body.frame().await.expect("an event arrives").expect("the stream is complete");
    let first_at = Instant::now();
    assert!(first.into_data().expect("an event is data").starts_with(b"data: "));
    while let Some(frame) = body.frame().await {
        frame.expect("the stream is complete");
    }
    let rest = first_at.elapsed();
    assert!(
        rest >= MIN_TOKEN_INTERVAL * TOKENS / 2,
        "the stream was buffered: the rest arrived in {rest:?}"
    );
}

/// Guards against a stream that hangs or ends as if it were complete when its engine stalls.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_stalled_engine_ends_at_the_deadline_with_an_error() {
    let deployment = Deployment::start().await.expect("the demo starts");
    for named in &deployment.engines {
        for model in ["draft-small", "draft-large"] {
            let stalled = Behaviour {
                quality: 1.0,
                error_rate: 0.0,
                first_token: Duration::ZERO,
                per_token: Duration::from_secs(60),
            };
            named.engine.set_behaviour(model, "v1", stalled);
        }
    }
    let timeout = Duration::from_millis(800);
    let started = Instant::now();
    let response = request_stream(&deployment, timeout).await;
    let body = response.into_body().collect().await.expect("the stream ends").to_bytes();
    let elapsed = started.elapsed();
    let text = String::from_utf8_lossy(&body);
    assert!(text.contains("event: error") && text.contains("\"deadline\""), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
    assert!(elapsed >= timeout && elapsed < timeout * 3, "{elapsed:?}");
}
