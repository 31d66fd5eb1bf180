//! Each invariant's check passes valid observations and fails after a violation is added to them.

use {
    hawthornmount_core::{config, merge, problem::Execution},
    hawthornmount_demo::{
        check::invariant::{
            self, Acceptance, EngineRun, Exchange, Interval, Observations, Sample, Stop,
        },
        load::{ACCOUNTS, Answered, Call, Completed, Kind, Outcome, Refused, prompt},
    },
    hawthornmount_standin::{
        engine::{Loaded, Run},
        service,
    },
    rstest::rstest,
    serde_json::json,
    std::time::{Duration, Instant},
};

/// Time between the start of the observations and the test.
const AGE: Duration = Duration::from_secs(60);

struct Case {
    name: &'static str,
    violate: fn(&mut Observations),
}

#[rstest]
#[case::version_not_allowed(Case {
    name: "only allowed models and versions run",
    violate: |observations| observations.engine_runs[0].run.loaded.version = "v2".into(),
})]
#[case::withdrawn_version_run(Case {
    name: "a withdrawn version gets no new work",
    violate: |observations| observations.engine_runs[0].run.at = start() + Duration::from_secs(16),
})]
#[case::session_moved_unreported_without_reason(Case {
    name: "a session keeps its version",
    violate: |observations| {
        answered(&mut observations.exchanges[1]).release = "draft-large@v1".into();
    },
})]
#[case::session_moved_reported_without_reason(Case {
    name: "a session keeps its version",
    violate: |observations| {
        answered(&mut observations.exchanges[1]).release = "draft-large@v1".into();
        answered(&mut observations.exchanges[1]).moved = true;
    },
})]
#[case::session_moved_without_reason_while_another_request_is_in_flight(Case {
    name: "a session keeps its version",
    violate: |observations| {
        answered(&mut observations.exchanges[1]).release = "draft-large@v1".into();
        observations.exchanges[0].ended = start() + Duration::from_secs(1);
        observations.exchanges[1].ended = start() + Duration::from_secs(2);
    },
})]
#[case::answer_unbilled(Case {
    name: "each request is billed once",
    violate: |observations| observations.usage_records -= 1,
})]
#[case::answer_billed_twice(Case {
    name: "each request is billed once",
    violate: |observations| observations.usage_records += 1,
})]
#[case::answer_cut(Case {
    name: "each caller gets its own whole answer",
    violate: |observations| answered(&mut observations.exchanges[0]).complete = false,
})]
#[case::refused_request_ran(Case {
    name: "a refusal that says not run is true",
    violate: |observations| observations.engine_runs[0].run.request = "req-refused.1".into(),
})]
#[case::submission_ran_twice(Case {
    name: "a submission runs at most once",
    violate: |observations| observations.service_runs.push(observations.service_runs[0].clone()),
})]
#[case::leaving_server_used(Case {
    name: "a leaving server gets no new work",
    violate: |observations| observations.leaving[0].subject = "engine-1".into(),
})]
#[case::stop_cut_request(Case {
    name: "a planned stop cuts no request",
    violate: |observations| observations.stops[0].cut = 1,
})]
#[case::stop_failed_request(Case {
    name: "a planned stop cuts no request",
    violate: |observations| observations.exchanges[0].completed.outcome = Outcome::Failed,
})]
#[case::configuration_late(Case {
    name: "an accepted configuration is in force and stays",
    violate: |observations| observations.samples[1].at = start() + Duration::from_secs(15),
})]
#[case::configuration_reverted(Case {
    name: "an accepted configuration is in force and stays",
    violate: |observations| observations.samples[2].revision = 4,
})]
fn each_check_finds_a_violation(#[case] case: Case) {
    let mut observations = observations();
    let run_check = |observations: &Observations| {
        let checks = invariant::all(observations);
        checks.into_iter().find(|check| check.name == case.name).expect("the invariant is checked")
    };
    let valid = run_check(&observations);
    assert!(valid.pass, "{}: {}", valid.name, valid.detail);
    (case.violate)(&mut observations);
    let violated = run_check(&observations);
    assert!(!violated.pass, "{}: {}", violated.name, violated.detail);
}

/// Returns the start of the observations, the same in every call.
fn start() -> Instant {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    *START.get_or_init(|| {
        Instant::now().checked_sub(AGE).expect("the machine has been up for longer than AGE")
    })
}

fn observations() -> Observations {
    let account = json!({
        "key_hashes": [&*config::key_hash(ACCOUNTS[0].key)],
        "cascade": "drafting",
        "allow": [{ "model": "draft-small", "versions": ["v1"] }],
    });
    let config = json!({
        "accounts": { ACCOUNTS[0].id: account },
        "models": {
            "draft-small": {
                "price": 1,
                "stable": "v1",
                "versions": { "v1": { "state": "proven" }, "v2": { "state": "proven" } },
            },
        },
        "cascades": { "drafting": { "models": ["draft-small"] } },
    });
    let from = start() + Duration::from_secs(10);
    let interval = |subject: &str| Interval { subject: subject.into(), from, until: None };
    Observations {
        config: merge::from_value(config).expect("the configuration is valid"),
        exchanges: vec![
            exchange(Kind::Json, answer("req-1")),
            exchange(Kind::Json, answer("req-2")),
            exchange(Kind::Json, refusal("req-refused")),
        ],
        engine_runs: vec![run("req-1.1"), run("req-2.1")],
        service_runs: vec![service::Run {
            request: "req-3.1".into(),
            key: Some("grant-1".into()),
            method: "POST".into(),
            path: "/submissions".into(),
        }],
        usage_records: 2,
        withdrawn: vec![interval("draft-small@v1")],
        suspended: Vec::new(),
        leaving: vec![Interval { from: start(), ..interval("engine-2") }],
        stops: vec![Stop { instance: "attica-a-1".into(), cut: 0 }],
        acceptances: vec![Acceptance { revision: 9, at: from }],
        samples: vec![sample(5, 1), sample(5, 12), sample(9, 13)],
    }
}

fn exchange(kind: Kind, outcome: Outcome) -> Exchange {
    let session = Some("session-1".into());
    let call = Call { account: ACCOUNTS[0], kind, session, max_tokens: 8 };
    let completed = Completed { call, outcome };
    Exchange { instance: "attica-a-1".into(), at: start(), ended: start(), completed }
}

fn answer(request: &str) -> Outcome {
    Outcome::Answered(Answered {
        request: request.into(),
        release: "draft-small@v1".into(),
        moved: false,
        replayed: false,
        complete: true,
        quality: None,
        tokens: 0,
        first_byte: Duration::ZERO,
        total: Duration::ZERO,
    })
}

fn refusal(request: &str) -> Outcome {
    let request = request.into();
    Outcome::Refused(Refused { reason: "overloaded".into(), request, ran: Execution::NotRun })
}

fn run(request: &str) -> EngineRun {
    let run = Run {
        request: request.into(),
        at: start() + Duration::from_secs(11),
        prompt: prompt(ACCOUNTS[0].id).into(),
        loaded: Loaded { model: "draft-small".into(), version: "v1".into() },
        quality: 1.0,
    };
    EngineRun { server: "engine-1".into(), run }
}

fn sample(revision: u64, second: u64) -> Sample {
    let at = start() + Duration::from_secs(second);
    Sample { instance: "attica-a-2".into(), at, revision }
}

fn answered(exchange: &mut Exchange) -> &mut Answered {
    match &mut exchange.completed.outcome {
        Outcome::Answered(answered) => answered,
        other => panic!("not an answer: {other:?}"),
    }
}
