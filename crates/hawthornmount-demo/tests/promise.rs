//! Each check of a promise finds a planted breach and passes the same evidence without it.

use {
    hawthornmount_core::{config, merge, problem::Execution},
    hawthornmount_demo::{
        check::promise::{self, Accept, Evidence, Ran, Sent, Sight, Span, Stop},
        load::{ACCOUNTS, Answered, Ask, Done, Kind, Outcome, Refused, prompt},
    },
    hawthornmount_standin::{
        engine::{Loaded, Run},
        service,
    },
    rstest::rstest,
    serde_json::json,
    std::time::{Duration, Instant},
};

/// Age of the evidence's beginning.
const AGE: Duration = Duration::from_secs(60);

struct Case {
    name: &'static str,
    plant: fn(&mut Evidence),
}

#[rstest]
#[case::allowed(Case {
    name: "only allowed models and versions run",
    plant: |evidence| evidence.runs[0].run.loaded.version = "v2".into(),
})]
#[case::withdrawn(Case {
    name: "a withdrawn version gets no new work",
    plant: |evidence| evidence.runs[0].run.at = start() + Duration::from_secs(16),
})]
#[case::session(Case {
    name: "a session keeps its version",
    plant: |evidence| answered(&mut evidence.sent[1]).release = "draft-large@v1".into(),
})]
#[case::session_told_without_reason(Case {
    name: "a session keeps its version",
    plant: |evidence| {
        answered(&mut evidence.sent[1]).release = "draft-large@v1".into();
        answered(&mut evidence.sent[1]).moved = true;
    },
})]
#[case::session_without_reason_while_another_answer_is_under_way(Case {
    name: "a session keeps its version",
    plant: |evidence| {
        answered(&mut evidence.sent[1]).release = "draft-large@v1".into();
        evidence.sent[0].ended = start() + Duration::from_secs(1);
        evidence.sent[1].ended = start() + Duration::from_secs(2);
    },
})]
#[case::unbilled(Case {
    name: "each request is billed once",
    plant: |evidence| evidence.bills -= 1,
})]
#[case::billed_twice(Case {
    name: "each request is billed once",
    plant: |evidence| evidence.bills += 1,
})]
#[case::cut(Case {
    name: "each caller gets its own whole answer",
    plant: |evidence| answered(&mut evidence.sent[0]).whole = false,
})]
#[case::ran(Case {
    name: "a refusal that says not run is true",
    plant: |evidence| evidence.runs[0].run.request = "req-refused.1".into(),
})]
#[case::twice(Case {
    name: "a submission runs at most once",
    plant: |evidence| evidence.calls.push(evidence.calls[0].clone()),
})]
#[case::leaving(Case {
    name: "a leaving server gets no new work",
    plant: |evidence| evidence.leaving[0].what = "engine-1".into(),
})]
#[case::stop(Case {
    name: "a planned stop cuts no request",
    plant: |evidence| evidence.stops[0].cut = 1,
})]
#[case::stop_seen_by_caller(Case {
    name: "a planned stop cuts no request",
    plant: |evidence| evidence.sent[0].done.outcome = Outcome::Failed,
})]
#[case::late(Case {
    name: "an accepted configuration is in force and stays",
    plant: |evidence| evidence.sights[1].at = start() + Duration::from_secs(15),
})]
#[case::reverted(Case {
    name: "an accepted configuration is in force and stays",
    plant: |evidence| evidence.sights[2].revision = 4,
})]
fn a_planted_breach_is_found(#[case] case: Case) {
    let mut evidence = evidence();
    let find = |evidence: &Evidence| {
        let checks = promise::all(evidence);
        checks.into_iter().find(|check| check.name == case.name).expect("the promise is checked")
    };
    let sound = find(&evidence);
    assert!(sound.pass, "{}: {}", sound.name, sound.detail);
    (case.plant)(&mut evidence);
    let breached = find(&evidence);
    assert!(!breached.pass, "{}: {}", breached.name, breached.detail);
}

/// Returns the time of the evidence's beginning.
fn start() -> Instant {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    *START.get_or_init(|| Instant::now().checked_sub(AGE).expect("the machine runs longer"))
}

fn evidence() -> Evidence {
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
    let span = |what: &str| Span { what: what.into(), from, until: None };
    Evidence {
        config: merge::from_value(config).expect("the configuration is valid"),
        sent: vec![
            sent(Kind::Json, answer("req-1")),
            sent(Kind::Json, answer("req-2")),
            sent(Kind::Json, refusal("req-refused")),
        ],
        runs: vec![run("req-1.1"), run("req-2.1")],
        calls: vec![service::Run {
            request: "req-3.1".into(),
            key: Some("grant-1".into()),
            method: "POST".into(),
            path: "/submissions".into(),
        }],
        bills: 2,
        withdrawn: vec![span("draft-small@v1")],
        suspended: Vec::new(),
        leaving: vec![Span { from: start(), ..span("engine-2") }],
        stops: vec![Stop { instance: "attica-a-1".into(), cut: 0 }],
        accepts: vec![Accept { revision: 9, at: from }],
        sights: vec![sight(5, 1), sight(5, 12), sight(9, 13)],
    }
}

fn sent(kind: Kind, outcome: Outcome) -> Sent {
    let session = Some("session-1".into());
    let ask = Ask { account: ACCOUNTS[0], kind, session, max_tokens: 8 };
    let done = Done { ask, outcome };
    Sent { instance: "attica-a-1".into(), at: start(), ended: start(), done }
}

fn answer(request: &str) -> Outcome {
    Outcome::Answered(Answered {
        request: request.into(),
        release: "draft-small@v1".into(),
        moved: false,
        replayed: false,
        whole: true,
        quality: None,
        tokens: 0,
        first: Duration::ZERO,
        total: Duration::ZERO,
    })
}

fn refusal(request: &str) -> Outcome {
    let request = request.into();
    Outcome::Refused(Refused { reason: "overloaded".into(), request, ran: Execution::NotRun })
}

fn run(request: &str) -> Ran {
    let run = Run {
        request: request.into(),
        at: start() + Duration::from_secs(11),
        prompt: prompt(ACCOUNTS[0].id).into(),
        loaded: Loaded { model: "draft-small".into(), version: "v1".into() },
        quality: 1.0,
    };
    Ran { server: "engine-1".into(), run }
}

fn sight(revision: u64, second: u64) -> Sight {
    let at = start() + Duration::from_secs(second);
    Sight { instance: "attica-a-2".into(), at, revision }
}

fn answered(sent: &mut Sent) -> &mut Answered {
    match &mut sent.done.outcome {
        Outcome::Answered(answered) => answered,
        other => panic!("not an answer: {other:?}"),
    }
}
