//! Tests of the policy on the request path: withdrawal of a version during a request, disconnecting
//! callers, and refusals.

use {
    hawthornmount_bench::{
        load::Outcome,
        testbed::{AccountSpec, Caller, DataCentre, ModelSpec, Request, Spec, Testbed},
    },
    hawthornmount_core::problem::Execution,
    hawthornmount_policy::adaptive::Adaptive,
    hawthornmount_standin::engine::{Behaviour, Limits},
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SLOTS: u32 = 2;
/// Time for the port of a killed engine to close.
const PORT_CLOSE: Duration = Duration::from_millis(300);

fn spec(first_token_ms: u64) -> Spec {
    let model = |id, price, quality| ModelSpec {
        id,
        price,
        quality,
        first_token: Duration::from_millis(first_token_ms),
        per_token: Duration::ZERO,
    };
    Spec {
        data_centres: vec![DataCentre {
            id: "attica-a",
            region: "attica",
            instances: 1,
            engines: 1,
        }],
        models: vec![model("small", 1, 0.0), model("large", 100, 1.0)],
        accounts: vec![AccountSpec { id: "municipal", weight: 1, quality_target: 0.9 }],
        slots: SLOTS,
        limits: Limits::default(),
        report_period: Duration::ZERO,
        router: Some(|| Arc::new(Adaptive::with_seed(6))),
    }
}

fn request(model: Option<&'static str>, timeout_ms: u64) -> Request {
    Request {
        account: "municipal",
        task: "notes",
        prompt: "Draft a note.".to_owned(),
        model,
        max_tokens: 8,
        stream: false,
        timeout_ms,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn version_withdrawn_before_escalation_gets_no_attempt() {
    let spec = spec(1_500);
    let testbed = Testbed::start(&spec).await.expect("the testbed starts");
    let address = testbed.caller_addresses()[0];
    let caller = Caller::new();
    let sending = caller.send(address, request(None, 20_000));
    let (reply, withdrawn) = tokio::join!(sending, async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        testbed.withdraw(&spec, "large").await
    });
    withdrawn.expect("the withdrawal is in force");
    assert!(matches!(reply.outcome, Outcome::Answered { .. }), "{reply:?}");
    assert_eq!(&*reply.release, "small@v1");
    let retries = &testbed.instances[0].components().metrics.retries;
    assert_eq!(
        retries.with_label_values(&["escalation"]).get(),
        1,
        "the request should try to escalate once"
    );
    let runs = testbed.engines().flat_map(|engine| engine.runs());
    let models: Vec<_> = runs.map(|run| run.loaded.model).collect();
    assert_eq!(models, ["small".into()], "only the version that is not withdrawn should run");
}

struct Case {
    /// What happens to the only engine before the request.
    change: fn(&mut Testbed),
    reason: &'static str,
    ran: Execution,
}

#[rstest]
#[case::only_server_fails(Case {
    change: |testbed| {
        let engine = testbed.servers[0].engine.as_ref().expect("the engine is running");
        let broken = Behaviour {
            quality: 1.0,
            error_rate: 1.0,
            first_token: Duration::ZERO,
            per_token: Duration::ZERO,
        };
        engine.set_behaviour("small", "v1", broken);
    },
    reason: "no_server",
    ran: Execution::Unknown,
})]
#[case::only_server_is_unreachable(Case {
    change: |testbed| testbed.servers[0].kill(),
    reason: "no_server",
    ran: Execution::NotRun,
})]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_reports_whether_the_request_may_have_run(#[case] case: Case) {
    let mut testbed = Testbed::start(&spec(10)).await.expect("the testbed starts");
    (case.change)(&mut testbed);
    tokio::time::sleep(PORT_CLOSE).await;
    let reply =
        Caller::new().send(testbed.caller_addresses()[0], request(Some("small"), 5_000)).await;
    let problem = reply.problem.expect("the response is a problem document");
    assert_eq!((&*problem.reason, problem.ran), (case.reason, case.ran), "{problem:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_disconnected_callers_release_their_slots() {
    let testbed = Testbed::start(&spec(100)).await.expect("the testbed starts");
    let address = testbed.caller_addresses()[0];
    for _ in 0..15 {
        let caller = Caller::new();
        let abandoned = (0..4).map(|_| caller.send(address, request(Some("small"), 5_000)));
        let abandoned = futures::future::join_all(abandoned);
        let _ = tokio::time::timeout(Duration::from_millis(30), abandoned).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let reply = Caller::new().send(address, request(Some("small"), 2_000)).await;
    assert!(matches!(reply.outcome, Outcome::Answered { .. }), "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_cannot_meet_its_deadline_is_refused_immediately() {
    let testbed = Testbed::start(&spec(300)).await.expect("the testbed starts");
    let address = testbed.caller_addresses()[0];
    let caller = Caller::new();
    let queued = (0..40).map(|_| caller.send(address, request(Some("small"), 30_000)));
    let busy = futures::future::join_all(queued);
    let urgent = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        let started = Instant::now();
        (caller.send(address, request(Some("small"), 1_000)).await, started.elapsed())
    };
    let (_, (reply, took)) = tokio::join!(busy, urgent);
    assert!(matches!(reply.outcome, Outcome::Refused), "{reply:?}");
    assert!(took < Duration::from_millis(500), "the refusal took {took:?}");
}
