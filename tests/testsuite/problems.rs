//! Refusals are problem documents with a stable reason, and are counted by reason.

use {
    hawthornmount_core::problem::{Document, Execution},
    hawthornmount_demo::deployment::Deployment,
    hawthornmount_http::{Body, client::Client},
    std::time::Duration,
};

/// Time-out of a request.
const TIMEOUT: Duration = Duration::from_secs(5);

struct Case {
    method: &'static str,
    path: &'static str,
    key: &'static str,
    body: String,
    status: u16,
    reason: &'static str,
}

const MESSAGES: &str = r#""messages":[{"role":"user","content":"hello"}]"#;
const COMPLETIONS: &str = "/v1/chat/completions";

fn cases() -> Vec<Case> {
    let case = |method, path, key, body: &str, status, reason| Case {
        method,
        path,
        key,
        body: body.to_owned(),
        status,
        reason,
    };
    let large = format!("{{{MESSAGES},\"pad\":\"{}\"}}", "x".repeat(2 << 20));
    let unknown_model = format!("{{{MESSAGES},\"model\":\"no-such-model\"}}");
    let valid = format!("{{{MESSAGES}}}");
    let municipal = "demo-municipal";
    vec![
        case("POST", COMPLETIONS, municipal, "{ broken", 400, "malformed"),
        case("POST", COMPLETIONS, municipal, "{}", 400, "malformed"),
        case("POST", COMPLETIONS, municipal, &unknown_model, 403, "not_allowed"),
        case("POST", COMPLETIONS, "wrong", &valid, 401, "bad_key"),
        case("POST", COMPLETIONS, municipal, &large, 413, "body_too_large"),
        case("GET", "/v1/nothing", municipal, "", 404, "not_found"),
        case("GET", "/services/no-such-service/x", municipal, "", 403, "not_allowed"),
        case("POST", "/services/grant-portal/submissions", "demo-rural", "{}", 400, "key_required"),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_problem_documents_and_counters() {
    let deployment = Deployment::start().await.expect("the demo starts");
    let instance = &deployment.instances[0];
    for case in cases() {
        let refusals = &instance.components().metrics.refusals;
        let before = refusals.with_label_values(&[case.reason]).get();
        let request = http::Request::builder()
            .method(case.method)
            .uri(case.path)
            .header("authorization", format!("Bearer {}", case.key))
            .body(Body::from(case.body))
            .expect("the request is valid");
        let response = Client::new().call(instance.caller_address(), request, TIMEOUT).await;
        let response = response.expect("the instance answers");
        assert_eq!(response.status.as_u16(), case.status, "{} {}", case.method, case.path);
        let document: Document =
            serde_json::from_slice(&response.body).expect("the body is a problem document");
        assert_eq!(&*document.reason, case.reason);
        assert_eq!(document.ran, Execution::NotRun);
        assert_eq!(refusals.with_label_values(&[case.reason]).get(), before + 1);
    }
}
