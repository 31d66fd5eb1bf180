//! Sessions while the store is unreachable, and after the withdrawal of their version.

use {
    hawthornmount_core::{config::State, snapshot::Release},
    hawthornmount_demo::{
        deployment::Deployment,
        load::{ACCOUNTS, Call, Caller, Kind, Outcome},
    },
    hawthornmount_fleet::config,
    hawthornmount_http::{Body, Method, Response, client::Client},
    hawthornmount_store::etcd::Etcd,
    std::{sync::Arc, time::Duration},
};

const SESSIONS: usize = 24;
/// Time for the instances to share new sessions.
const SHARE_DELAY: Duration = Duration::from_secs(1);

/// Sends a request of a session. Returns the version that answered it and whether the response
/// reports a move of the session, or `None` if the request was refused or failed.
async fn send_in_session(
    deployment: &Deployment,
    instance: usize,
    session: usize,
) -> Option<(Arc<str>, bool)> {
    let session = Some(format!("session-{session}").into());
    let request = Call { account: ACCOUNTS[0], kind: Kind::Json, session, max_tokens: 8 };
    match Caller::new().send(deployment.callers()[instance], request).await.outcome {
        Outcome::Answered(answered) => Some((answered.release, answered.moved)),
        Outcome::Refused(_) | Outcome::Failed => None,
    }
}

/// Guards against a session that changes its version while the store is down: another instance of
/// the data centre that does not know the session might choose a version anew. It may refuse the
/// request, but not answer with another version.
#[tokio::test(flavor = "multi_thread")]
async fn sessions_keep_their_version_while_the_store_is_down() {
    let deployment = Deployment::start().await.expect("the demo starts");
    let mut initial = Vec::new();
    for session in 0..SESSIONS {
        initial.push(send_in_session(&deployment, 0, session).await);
    }
    tokio::time::sleep(SHARE_DELAY).await;
    deployment.store.faults().set_down(true);
    let mut moved = Vec::new();
    for (session, before) in initial.into_iter().enumerate() {
        let Some((before, _)) = before else { continue };
        let Some((after, _)) = send_in_session(&deployment, 1, session).await else { continue };
        if after != before {
            moved.push(format!("session-{session} from {before} to {after}"));
        }
    }
    assert!(moved.is_empty(), "{moved:?}");
}

/// Sends a request of a session to the first instance, with `token` if there is one.
async fn send_with_token(deployment: &Deployment, session: &str, token: Option<&str>) -> Response {
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
    Client::new().send(deployment.callers()[0], request).await.expect("the instance answers")
}

fn header(response: &Response, name: &str) -> Option<String> {
    Some(response.headers().get(name)?.to_str().ok()?.to_owned())
}

/// Withdraws the stable version of the small model and waits until the first instance applies that.
async fn withdraw(deployment: &Deployment) {
    let store = Etcd::new(vec![deployment.store.address()]);
    let accepted = config::read(&store).await.expect("the store answers");
    let (revision, record) = accepted.expect("there is a record");
    let mut value = record.value;
    let model = &mut value["models"]["draft-small"];
    model["stable"] = "v2".into();
    model["versions"]["v1"]["state"] = serde_json::json!(State::Withdrawn);
    model["versions"]["v2"]["state"] = serde_json::json!(State::Proven);
    let revision = config::apply(&store, value, revision, "withdraw").await.expect("accepted");
    while deployment.instances[0].components().snapshot.load().revision < revision {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a caller that is not told that its session moved to another version: the move
/// may have happened in a response that the caller never received, so every response to an old
/// token reports it.
#[tokio::test(flavor = "multi_thread")]
async fn every_response_to_an_old_token_reports_the_move() {
    let deployment = Deployment::start().await.expect("the demo starts");
    let old = Release { model: "draft-small".into(), version: "v1".into() };
    let name = format!("{}@{}", old.model, old.version);
    let mut found = None;
    for number in 0..SESSIONS {
        let session = format!("moving-{number}");
        let response = send_with_token(&deployment, &session, None).await;
        if header(&response, "x-answered-by").as_ref() == Some(&name) {
            let token = header(&response, "x-session-token").expect("the answer has a token");
            found = Some((session, token));
            break;
        }
    }
    let (session, token) = found.expect("a session is answered by the version");
    withdraw(&deployment).await;
    for request in ["first", "second"] {
        let response = send_with_token(&deployment, &session, Some(&token)).await;
        assert!(response.status().is_success(), "{request}");
        assert_ne!(header(&response, "x-answered-by").as_ref(), Some(&name), "{request}");
        let from = header(&response, "x-session-moved-from");
        assert_eq!(from.as_ref(), Some(&name), "the {request} response does not report the move");
    }
}
