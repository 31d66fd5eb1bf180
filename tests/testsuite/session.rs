//! Sessions while the store is out of reach, and after their version was withdrawn.

use {
    hawthornmount_core::{config::State, snapshot::Release},
    hawthornmount_demo::{
        load::{ACCOUNTS, Ask, Caller, Kind, Outcome},
        world::World,
    },
    hawthornmount_fleet::config,
    hawthornmount_http::{Body, Method, Response, client::Client},
    hawthornmount_store::etcd::Etcd,
    std::{sync::Arc, time::Duration},
};

/// Sessions of the test.
const SESSIONS: usize = 24;
/// Time in which the instances tell each other of new sessions.
const SPREAD: Duration = Duration::from_secs(1);

/// Returns the version that answers a session and whether the answer says that it moved.
async fn ask(world: &World, instance: usize, session: usize) -> Option<(Arc<str>, bool)> {
    let session = Some(format!("session-{session}").into());
    let ask = Ask { account: ACCOUNTS[0], kind: Kind::Json, session, max_tokens: 8 };
    match Caller::new().ask(world.callers()[instance], ask).await.outcome {
        Outcome::Answered(answered) => Some((answered.release, answered.moved)),
        Outcome::Refused(_) | Outcome::Failed => None,
    }
}

/// A session that one instance began keeps its version on another instance of the data centre
/// while the store is down; a refusal is allowed, another version is not.
#[tokio::test(flavor = "multi_thread")]
async fn sessions_keep_their_version_while_the_store_is_down() {
    let world = World::start().await.expect("the world starts");
    let mut first = Vec::new();
    for session in 0..SESSIONS {
        first.push(ask(&world, 0, session).await);
    }
    tokio::time::sleep(SPREAD).await;
    world.store.faults().set_down(true);
    let mut moved = Vec::new();
    for (session, before) in first.into_iter().enumerate() {
        let Some((before, _)) = before else { continue };
        let Some((after, _)) = ask(&world, 1, session).await else { continue };
        if after != before {
            moved.push(format!("session-{session} from {before} to {after}"));
        }
    }
    assert!(moved.is_empty(), "{moved:?}");
}

/// Asks the first instance within a session, with its token if there is one.
async fn ask_with(world: &World, session: &str, token: Option<&str>) -> Response {
    let body = r#"{"messages":[{"role":"user","content":"hello"}],"max_tokens":4}"#;
    let mut request = http::Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header("authorization", "Bearer demo-municipal")
        .header("x-session-id", session);
    if let Some(token) = token {
        request = request.header("x-session-token", token);
    }
    let request = request.body(Body::from(body)).expect("the request is valid");
    Client::new().send(world.callers()[0], request).await.expect("the instance answers")
}

fn header(response: &Response, name: &str) -> Option<String> {
    Some(response.headers().get(name)?.to_str().ok()?.to_owned())
}

/// Withdraws the stable version of the small model and waits until it is in force.
async fn withdraw(world: &World) {
    let store = Etcd::new(vec![world.store.address()]);
    let accepted = config::read(&store).await.expect("the store answers");
    let (revision, record) = accepted.expect("there is a record");
    let mut value = record.value;
    let model = &mut value["models"]["draft-small"];
    model["stable"] = "v2".into();
    model["versions"]["v1"]["state"] = serde_json::json!(State::Withdrawn);
    model["versions"]["v2"]["state"] = serde_json::json!(State::Proven);
    let revision = config::apply(&store, value, revision, "withdraw").await.expect("accepted");
    while world.instances[0].parts().snapshot.load().revision < revision {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A caller that still holds the token of the old version is told of the move, also when an
/// answer that it never saw moved the session.
#[tokio::test(flavor = "multi_thread")]
async fn every_caller_with_an_old_token_is_told_of_the_move() {
    let world = World::start().await.expect("the world starts");
    let old = Release { model: "draft-small".into(), version: "v1".into() };
    let name = format!("{}@{}", old.model, old.version);
    let mut found = None;
    for number in 0..SESSIONS {
        let session = format!("moving-{number}");
        let response = ask_with(&world, &session, None).await;
        if header(&response, "x-answered-by").as_ref() == Some(&name) {
            let token = header(&response, "x-session-token").expect("the answer has a token");
            found = Some((session, token));
            break;
        }
    }
    let (session, token) = found.expect("a session is answered by the version");
    withdraw(&world).await;
    for caller in ["first", "second"] {
        let response = ask_with(&world, &session, Some(&token)).await;
        assert!(response.status().is_success(), "{caller}");
        assert_ne!(header(&response, "x-answered-by").as_ref(), Some(&name), "{caller}");
        let from = header(&response, "x-session-moved-from");
        assert_eq!(from.as_ref(), Some(&name), "the {caller} caller is not told");
    }
}
