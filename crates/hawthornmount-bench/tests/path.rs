//! The policy on the request path: withdrawal on the way, callers that hang up, refusals.

use {
    hawthornmount_bench::{
        lab::{AccountPlan, Asked, Caller, Lab, ModelPlan, Place, Plan},
        load::Outcome,
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
/// Time in which the port of a killed engine closes.
const PORT_CLOSE: Duration = Duration::from_millis(300);

fn plan(first_token_ms: u64) -> Plan {
    let model = |id, price, quality| ModelPlan {
        id,
        price,
        quality,
        first_token: Duration::from_millis(first_token_ms),
        per_token: Duration::ZERO,
    };
    Plan {
        places: vec![Place { id: "attica-a", region: "attica", instances: 1, engines: 1 }],
        models: vec![model("small", 1, 0.0), model("large", 100, 1.0)],
        accounts: vec![AccountPlan { id: "municipal", weight: 1, quality_target: 0.9 }],
        slots: SLOTS,
        limits: Limits::default(),
        report_period: Duration::ZERO,
        router: Some(|| Arc::new(Adaptive::with_seed(6))),
    }
}

fn asked(model: Option<&'static str>, timeout_ms: u64) -> Asked {
    Asked {
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
async fn version_withdrawn_while_a_request_escalates_gets_no_attempt() {
    let plan = plan(1_500);
    let lab = Lab::start(&plan).await.expect("the lab starts");
    let address = lab.callers()[0];
    let caller = Caller::new();
    let asking = caller.ask(address, asked(None, 20_000));
    let (reply, withdrawn) = tokio::join!(asking, async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        lab.withdraw(&plan, "large").await
    });
    withdrawn.expect("the withdrawal is in force");
    assert!(matches!(reply.outcome, Outcome::Answered { .. }), "{reply:?}");
    assert_eq!(&*reply.release, "small@v1");
    let retries = &lab.instances[0].components().metrics.retries;
    assert_eq!(retries.with_label_values(&["escalation"]).get(), 1, "it wanted to escalate");
    let runs = lab.engines().flat_map(|engine| engine.runs());
    let models: Vec<_> = runs.map(|run| run.loaded.model).collect();
    assert_eq!(models, ["small".into()], "each run is of the version that may run");
}

struct Failing {
    /// What happens to the only engine before the request.
    change: fn(&mut Lab),
    reason: &'static str,
    ran: Execution,
}

#[rstest]
#[case::fails_and_no_other_is_left(Failing {
    change: |lab| {
        let engine = lab.servers[0].engine.as_ref().expect("it runs");
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
#[case::can_not_be_reached(Failing {
    change: |lab| lab.servers[0].kill(),
    reason: "no_server",
    ran: Execution::NotRun,
})]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_says_truly_whether_the_request_may_have_run(#[case] case: Failing) {
    let mut lab = Lab::start(&plan(10)).await.expect("the lab starts");
    (case.change)(&mut lab);
    tokio::time::sleep(PORT_CLOSE).await;
    let reply = Caller::new().ask(lab.callers()[0], asked(Some("small"), 5_000)).await;
    let problem = reply.problem.expect("it is refused");
    assert_eq!((&*problem.reason, problem.ran), (case.reason, case.ran), "{problem:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_hang_up_give_their_places_back() {
    let lab = Lab::start(&plan(100)).await.expect("the lab starts");
    let address = lab.callers()[0];
    for _ in 0..15 {
        let caller = Caller::new();
        let hasty = (0..4).map(|_| caller.ask(address, asked(Some("small"), 5_000)));
        let hasty = futures::future::join_all(hasty);
        let _ = tokio::time::timeout(Duration::from_millis(30), hasty).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let reply = Caller::new().ask(address, asked(Some("small"), 2_000)).await;
    assert!(matches!(reply.outcome, Outcome::Answered { .. }), "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_can_not_be_done_in_time_is_refused_at_once() {
    let lab = Lab::start(&plan(300)).await.expect("the lab starts");
    let address = lab.callers()[0];
    let caller = Caller::new();
    let patient = (0..40).map(|_| caller.ask(address, asked(Some("small"), 30_000)));
    let busy = futures::future::join_all(patient);
    let hasty = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        let started = Instant::now();
        (caller.ask(address, asked(Some("small"), 1_000)).await, started.elapsed())
    };
    let (_, (reply, took)) = tokio::join!(busy, hasty);
    assert!(matches!(reply.outcome, Outcome::Refused), "{reply:?}");
    assert!(took < Duration::from_millis(500), "the refusal took {took:?}");
}
