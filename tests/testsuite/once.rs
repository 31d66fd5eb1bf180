//! Submissions run at most once, and servers and instances that leave cut nothing.

use {
    hawthornmount_demo::world::World,
    hawthornmount_http::{Body, Method, Request, client::Client},
    hawthornmount_standin::service::Chances,
    http_body_util::BodyExt,
    rstest::rstest,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time that an answer may take.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a leaving server gets no new work.
const LEAVE_WITHIN: Duration = Duration::from_secs(2);
/// Time in which something that happens by itself has to have happened.
const SOON: Duration = Duration::from_secs(5);

/// Answer as its caller sees it.
#[derive(Debug)]
struct Seen {
    status: u16,
    reason: String,
    ran: String,
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

async fn call(address: SocketAddr, request: Request) -> Seen {
    let whole = Client::new().call(address, request, TIMEOUT).await.expect("an answer comes");
    let body: serde_json::Value = serde_json::from_slice(&whole.body).unwrap_or_default();
    let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
    Seen { status: whole.status.as_u16(), reason: text("reason"), ran: text("ran") }
}

async fn soon(what: &str, mut is_so: impl FnMut() -> bool) {
    let bound = Instant::now() + SOON;
    while !is_so() {
        assert!(Instant::now() < bound, "{what} did not happen in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

struct Case {
    /// What befalls the first call.
    chances: Chances,
    first: (u16, &'static str, &'static str),
    /// What a second call with the same key gets at another instance.
    second: (u16, &'static str, &'static str),
    runs: usize,
}

const CALM: Chances =
    Chances { refuse: 0.0, lose: 0.0, cross: 0.0, late: 0.0, late_by: Duration::ZERO };

#[rstest]
#[case::answered(Case { chances: CALM, first: (200, "", ""), second: (200, "", ""), runs: 1 })]
#[case::refused(Case {
    chances: Chances { refuse: 1.0, ..CALM },
    first: (503, "no_server", "no"),
    second: (200, "", ""),
    runs: 1,
})]
#[case::lost(Case {
    chances: Chances { lose: 1.0, ..CALM },
    first: (502, "server_failed", "unknown"),
    second: (409, "key_unknown", "unknown"),
    runs: 1,
})]
#[case::crossed(Case {
    chances: Chances { cross: 1.0, ..CALM },
    first: (502, "bad_answer", "unknown"),
    second: (409, "key_unknown", "unknown"),
    runs: 1,
})]
#[case::late(Case {
    chances: Chances { late: 1.0, late_by: Duration::from_secs(3), ..CALM },
    first: (504, "deadline", "unknown"),
    second: (409, "key_unknown", "unknown"),
    runs: 1,
})]
#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_at_most_once(#[case] case: Case) {
    let world = World::start().await.expect("the demo starts");
    world.service.set_faults(case.chances, 1);
    let first = call(world.callers()[0], submission("k", "{}")).await;
    assert_eq!((first.status, &*first.reason, &*first.ran), case.first);
    world.service.set_faults(CALM, 1);
    let second = call(world.callers()[3], submission("k", "{}")).await;
    assert_eq!((second.status, &*second.reason, &*second.ran), case.second);
    let other = call(world.callers()[1], submission("k", "{\"other\":1}")).await;
    assert_eq!((other.status, &*other.ran), (422, "no"));
    assert_eq!(world.service.runs().len(), case.runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dead_instance_leaves_its_key_unknown_and_nothing_runs_again() {
    let mut world = World::start().await.expect("the demo starts");
    world.service.set_delay(Duration::from_secs(30));
    let target = world.callers()[0];
    let sent = tokio::spawn(call(target, submission("k", "{}")));
    soon("the first call", || world.service.runs().len() == 1).await;
    world.instances.remove(0).kill();
    sent.abort();
    let running = call(world.callers()[2], submission("k", "{}")).await;
    assert_eq!((running.status, &*running.reason, &*running.ran), (409, "key_running", "unknown"));
    assert_eq!(world.service.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_store_submissions_are_refused_and_the_rest_goes_on() {
    let world = World::start().await.expect("the demo starts");
    world.store.faults().set_down(true);
    let refused = call(world.callers()[0], submission("k", "{}")).await;
    assert_eq!((refused.status, &*refused.reason, &*refused.ran), (503, "store_unavailable", "no"));
    assert_eq!(world.service.runs().len(), 0);
    let answered = call(world.callers()[1], completion(4, false)).await;
    assert_eq!(answered.status, 200, "{answered:?}");
    world.store.faults().set_down(false);
    let again = call(world.callers()[3], submission("k", "{}")).await;
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(world.service.runs().len(), 1);
}

#[rstest]
#[case::stream(true)]
#[case::whole(false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_hangs_up_cancels_the_engine(#[case] stream: bool) {
    let world = World::start().await.expect("the demo starts");
    let runs = || world.engines.iter().map(|one| one.engine.runs().len()).sum::<usize>();
    let target = world.callers()[0];
    let sent = tokio::spawn(async move {
        let response = Client::new().send(target, completion(5_000, stream)).await;
        let mut body = response.expect("an answer comes").into_body();
        while body.frame().await.is_some() {}
    });
    soon("the run", || runs() > 0).await;
    sent.abort();
    let cancelled = || world.engines.iter().map(|one| one.engine.cancelled()).sum::<u64>();
    soon("the cancellation", || cancelled() > 0).await;
}

#[rstest]
#[case::says_so_itself(false)]
#[case::listed(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_no_new_work(#[case] listed: bool) {
    let world = World::start().await.expect("the demo starts");
    let gone = &world.engines[0];
    if listed {
        let leaving = hawthornmount_standin::list::Listed {
            id: gone.id.clone(),
            kind: hawthornmount_standin::list::Kind::Server,
            address: gone.engine.address(),
            data_centre: gone.data_centre.clone(),
            state: hawthornmount_standin::list::State::Leaving,
        };
        world.list.set(vec![leaving]);
    } else {
        gone.engine.set_leaving(true);
    }
    tokio::time::sleep(LEAVE_WITHIN).await;
    let before = gone.engine.runs().len();
    for address in world.callers().into_iter().cycle().take(24) {
        assert_eq!(call(address, completion(2, false)).await.status, 200);
    }
    assert_eq!(gone.engine.runs().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_request() {
    let mut world = World::start().await.expect("the demo starts");
    world.service.set_delay(Duration::from_millis(800));
    let target = world.callers()[0];
    let slow = tokio::spawn(call(target, submission("k", "{}")));
    let stream = tokio::spawn(async move {
        let response = Client::new().send(target, completion(500, true)).await;
        response.expect("an answer comes").into_body().collect().await.expect("it is whole")
    });
    soon("the submission", || world.service.runs().len() == 1).await;
    let stopped = world.instances.remove(0).stop().await;
    assert_eq!(stopped.interrupted, 0);
    assert_eq!(slow.await.expect("no panic").status, 200);
    let text = stream.await.expect("no panic").to_bytes();
    assert!(text.ends_with(b"data: [DONE]\n\n"));
    let again = call(world.callers()[2], submission("k", "{}")).await;
    assert_eq!((again.status, world.service.runs().len()), (200, 1));
}
