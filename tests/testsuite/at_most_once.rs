//! Submissions run at most once; caller disconnects, leaving servers and stopping instances.

use {
    crate::captured_log,
    hawthornmount_demo::deployment::Deployment,
    hawthornmount_entry::Instance,
    hawthornmount_http::{Body, Method, Request, client::Client},
    hawthornmount_standin::{engine::Behaviour, service::Faults},
    http_body_util::BodyExt,
    rstest::rstest,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time-out of a request.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which the instances stop sending requests to a leaving server.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time-out of a wait for an asynchronous event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which an instance without requests stops.
const STOP_TIME: Duration = Duration::from_secs(2);
/// Tokens of an answer that the buffers of its connection can't hold.
const LARGE_ANSWER_TOKENS: u64 = 1_000_000;

/// Status, problem fields and body of a response.
#[derive(Debug)]
struct CallResult {
    status: u16,
    reason: String,
    ran: String,
    body: serde_json::Value,
}

fn submission(key: &str, body: &'static str) -> Request {
    http::Request::builder()
        .method(Method::POST)
        .uri("/services/grant-portal/submissions")
        .header("authorization", "Bearer demo-municipal")
        .header("idempotency-key", key)
        .header("x-request-timeout-ms", "1000")
        .body(Body::from(body))
        .expect("the request is valid")
}

fn completion(tokens: u64, stream: bool) -> Request {
    let body = serde_json::json!({
        "messages": [{ "role": "user", "content": "hello" }],
        "model": "draft-large",
        "max_tokens": tokens,
        "stream": stream,
    });
    http::Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header("authorization", "Bearer demo-municipal")
        .body(Body::from(body.to_string()))
        .expect("the request is valid")
}

async fn call(address: SocketAddr, request: Request) -> CallResult {
    let response = Client::new().call(address, request, TIMEOUT).await.expect("a response arrives");
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
    let (reason, ran) = (text("reason"), text("ran"));
    CallResult { status: response.status.as_u16(), reason, ran, body }
}

/// Returns the body of a problem and the instance's trace of the request.
fn describe(deployment: &Deployment, result: &CallResult) -> String {
    let id = result.body["request_id"].as_str().unwrap_or_default();
    let find = |instance: &Instance| instance.components().journal.find(id);
    let trace = deployment.instances.iter().find_map(find);
    format!("{:#}\n{trace:#?}", result.body)
}

/// Polls `condition` until it is true and fails after [`EVENT_TIMEOUT`].
async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{what} did not happen in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

struct Case {
    /// Faults of the service during the first call.
    faults: Faults,
    /// Status, reason and `ran` of the first call.
    first: (u16, &'static str, &'static str),
    /// Status, reason and `ran` of a second call with the same key to another instance.
    second: (u16, &'static str, &'static str),
    /// Executions of the submission at the service.
    runs: usize,
}

const NO_FAULTS: Faults =
    Faults { refuse: 0.0, cut: 0.0, wrong_id: 0.0, late: 0.0, late_by: Duration::ZERO };

/// Guards against running a submission twice: a caller that repeats it with the same key gets the
/// stored response, or a refusal if the first call may have run. Only a first call that certainly
/// did not run is sent again. The same key with another body is refused.
#[rstest]
#[case::answered(Case { faults: NO_FAULTS, first: (200, "", ""), second: (200, "", ""), runs: 1 })]
#[case::refused(Case {
    faults: Faults { refuse: 1.0, ..NO_FAULTS },
    first: (503, "no_server", "no"),
    second: (200, "", ""),
    runs: 1,
})]
#[case::lost(Case {
    faults: Faults { cut: 1.0, ..NO_FAULTS },
    first: (502, "server_failed", "unknown"),
    second: (409, "key_unknown", "unknown"),
    runs: 1,
})]
#[case::crossed(Case {
    faults: Faults { wrong_id: 1.0, ..NO_FAULTS },
    first: (502, "bad_answer", "unknown"),
    second: (409, "key_unknown", "unknown"),
    runs: 1,
})]
#[case::late(Case {
    faults: Faults { late: 1.0, late_by: Duration::from_secs(3), ..NO_FAULTS },
    first: (504, "deadline", "unknown"),
    second: (409, "key_unknown", "unknown"),
    runs: 1,
})]
#[tokio::test(flavor = "multi_thread")]
async fn submission_with_one_key_runs_at_most_once(#[case] case: Case) {
    captured_log::start();
    let deployment = Deployment::start().await.expect("the demo starts");
    deployment.service.set_faults(case.faults, 1);
    let first = call(deployment.callers()[0], submission("k", "{}")).await;
    assert_eq!((first.status, &*first.reason, &*first.ran), case.first);
    deployment.service.set_faults(NO_FAULTS, 1);
    let second = call(deployment.callers()[3], submission("k", "{}")).await;
    assert_eq!((second.status, &*second.reason, &*second.ran), case.second);
    let other = call(deployment.callers()[1], submission("k", "{\"other\":1}")).await;
    assert_eq!((other.status, &*other.ran), (422, "no"));
    let runs = deployment.service.runs();
    assert_eq!(runs.len(), case.runs, "{runs:#?}");
}

/// Guards against counting a call of another program, at an address that was in use before, as a run
/// of a submission.
#[tokio::test(flavor = "multi_thread")]
async fn call_without_a_request_id_is_not_run_by_the_service() {
    let deployment = Deployment::start().await.expect("the demo starts");
    let request = http::Request::builder()
        .uri("/instances?of=another-program")
        .body(Body::empty())
        .expect("the request is valid");
    let result = call(deployment.service.address(), request).await;
    assert_eq!(result.status, 400);
    let runs = deployment.service.runs();
    assert!(runs.is_empty(), "{runs:#?}");
}

/// Guards against running a submission again after the instance that claimed its key was killed:
/// the first call may still run at the service, so a repeat at another instance is refused.
#[tokio::test(flavor = "multi_thread")]
async fn repeat_is_refused_after_the_instance_of_the_first_call_was_killed() {
    let mut deployment = Deployment::start().await.expect("the demo starts");
    deployment.service.set_delay(Duration::from_secs(30));
    let target = deployment.callers()[0];
    let first = tokio::spawn(call(target, submission("k", "{}")));
    wait_for("the first call", || deployment.service.runs().len() == 1).await;
    deployment.instances.remove(0).kill();
    first.abort();
    let repeated = call(deployment.callers()[2], submission("k", "{}")).await;
    assert_eq!(
        (repeated.status, &*repeated.reason, &*repeated.ran),
        (409, "key_running", "unknown")
    );
    assert_eq!(deployment.service.runs().len(), 1);
}

/// Without the store no key can be claimed, so submissions are refused without running.
/// Completions need no claim and are answered.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_refuses_submissions_and_answers_completions() {
    let deployment = Deployment::start().await.expect("the demo starts");
    deployment.store.faults().set_down(true);
    let refused = call(deployment.callers()[0], submission("k", "{}")).await;
    assert_eq!((refused.status, &*refused.reason, &*refused.ran), (503, "store_unavailable", "no"));
    assert_eq!(deployment.service.runs().len(), 0);
    let answered = call(deployment.callers()[1], completion(4, false)).await;
    assert_eq!(answered.status, 200, "{answered:?}");
    deployment.store.faults().set_down(false);
    let again = call(deployment.callers()[3], submission("k", "{}")).await;
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(deployment.service.runs().len(), 1);
}

#[rstest]
#[case::stream(true)]
#[case::single_response(false)]
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_the_engine_run(#[case] stream: bool) {
    let deployment = Deployment::start().await.expect("the demo starts");
    let runs = || deployment.engines.iter().map(|named| named.engine.runs().len()).sum::<usize>();
    let target = deployment.callers()[0];
    let request = tokio::spawn(async move {
        let response = Client::new().send(target, completion(5_000, stream)).await;
        let mut body = response.expect("a response arrives").into_body();
        while body.frame().await.is_some() {}
    });
    wait_for("the run", || runs() > 0).await;
    request.abort();
    let cancelled = || deployment.engines.iter().map(|named| named.engine.cancelled()).sum::<u64>();
    wait_for("the cancellation", || cancelled() > 0).await;
}

#[rstest]
#[case::reported_by_the_server(false)]
#[case::reported_by_the_instance_list(true)]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_no_new_requests(#[case] listed: bool) {
    captured_log::start();
    let deployment = Deployment::start().await.expect("the demo starts");
    // A request whose servers fail gets 502 once the retry budget is used up.
    deployment.set_error_rate(0.0);
    let leaving_server = &deployment.engines[0];
    if listed {
        let leaving = hawthornmount_standin::list::Listed {
            id: leaving_server.id.clone(),
            kind: hawthornmount_standin::list::Kind::Server,
            address: leaving_server.engine.address(),
            data_centre: leaving_server.data_centre.clone(),
            state: hawthornmount_standin::list::State::Leaving,
        };
        deployment.list.set(vec![leaving]);
    } else {
        leaving_server.engine.set_leaving(true);
    }
    tokio::time::sleep(LEAVE_TIMEOUT).await;
    let received = || (leaving_server.engine.runs().len(), leaving_server.engine.refused());
    let before = received();
    for address in deployment.callers().into_iter().cycle().take(24) {
        let result = call(address, completion(2, false)).await;
        assert_eq!(result.status, 200, "{}", describe(&deployment, &result));
    }
    assert_eq!(received(), before);
}

/// Guards against retries beyond the budget: an instance without successes has one retry, although
/// more attempts and servers are left.
#[tokio::test(flavor = "multi_thread")]
async fn failed_completion_is_not_retried_once_the_retry_budget_is_used_up() {
    let deployment = Deployment::start().await.expect("the demo starts");
    deployment.set_error_rate(1.0);
    let result = call(deployment.callers()[0], completion(2, false)).await;
    let described = describe(&deployment, &result);
    let expected = (502, "server_failed", "unknown");
    assert_eq!((result.status, &*result.reason, &*result.ran), expected, "{described}");
    let retries = &deployment.instances[0].components().metrics.retries;
    assert_eq!(retries.with_label_values(&["server_error"]).get(), 1, "{described}");
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_interrupts_no_request() {
    let mut deployment = Deployment::start().await.expect("the demo starts");
    deployment.service.set_delay(Duration::from_millis(800));
    let target = deployment.callers()[0];
    let submission_in_flight = tokio::spawn(call(target, submission("k", "{}")));
    let stream = tokio::spawn(async move {
        let response = Client::new().send(target, completion(500, true)).await;
        let body = response.expect("a response arrives").into_body();
        body.collect().await.expect("the stream is complete")
    });
    wait_for("the submission", || deployment.service.runs().len() == 1).await;
    let stopped = deployment.instances.remove(0).stop().await;
    assert_eq!(stopped.interrupted, 0);
    assert_eq!(submission_in_flight.await.expect("the task ends").status, 200);
    let text = stream.await.expect("the task ends").to_bytes();
    assert!(text.ends_with(b"data: [DONE]\n\n"));
    let repeated = call(deployment.callers()[2], submission("k", "{}")).await;
    assert_eq!((repeated.status, deployment.service.runs().len()), (200, 1));
}

/// Guards against a graceful stop that cuts an answer which was handed to the connection but not
/// yet written to it.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_waits_until_answers_are_written() {
    let mut deployment = Deployment::start().await.expect("the demo starts");
    for named in &deployment.engines {
        let immediate = Behaviour {
            quality: 1.0,
            error_rate: 0.0,
            first_token: Duration::ZERO,
            per_token: Duration::ZERO,
        };
        named.engine.set_behaviour("draft-large", "v1", immediate);
    }
    let client = Client::new();
    let answer = client.send(deployment.callers()[0], completion(LARGE_ANSWER_TOKENS, false)).await;
    let answer = answer.expect("a response arrives");
    assert_eq!(answer.status(), 200);
    let stop = tokio::spawn(deployment.instances.remove(0).stop());
    tokio::time::sleep(STOP_TIME).await;
    let body = answer.into_body().collect().await.expect("the answer is complete").to_bytes();
    assert!(body.ends_with(b"}"), "the answer is truncated");
    assert_eq!(stop.await.expect("the task ends").interrupted, 0);
}

/// Guards against an answer that is ready and arrives too late: the larger model does not answer
/// within the caller's time.
#[tokio::test(flavor = "multi_thread")]
async fn poor_answer_arrives_in_time_if_the_larger_model_hangs() {
    let deployment = Deployment::start().await.expect("the demo starts");
    let small = Behaviour {
        quality: 0.0,
        error_rate: 0.0,
        first_token: Duration::ZERO,
        per_token: Duration::ZERO,
    };
    let large = Behaviour { first_token: Duration::from_secs(30), ..small.clone() };
    for named in &deployment.engines {
        named.engine.set_behaviour("draft-small", "v1", small.clone());
        named.engine.set_behaviour("draft-large", "v1", large.clone());
    }
    let body = r#"{"messages":[{"role":"user","content":"hello"}],"max_tokens":4}"#;
    let request = http::Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header("authorization", "Bearer demo-municipal")
        .header("x-request-timeout-ms", "1500")
        .body(Body::from(body))
        .expect("the request is valid");
    let started = Instant::now();
    let result = call(deployment.callers()[0], request).await;
    let runs = |model: &str| {
        let runs = deployment.engines.iter().flat_map(|named| named.engine.runs());
        runs.filter(|run| &*run.loaded.model == model).count()
    };
    let waited = started.elapsed();
    let ran = (runs("draft-small"), runs("draft-large"));
    assert!(
        result.status == 200 && waited < Duration::from_millis(1_500),
        "{result:?} after {waited:?}, runs {ran:?}"
    );
}
