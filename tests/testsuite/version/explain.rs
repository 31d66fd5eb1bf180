//! Explanations of requests and the status, requested from any instance.

use {
    super::{TIMEOUT, send_completion, wait_until},
    hawthornmount_demo::deployment::Deployment,
    hawthornmount_entry::admin::{Explanation, Status},
    hawthornmount_http::client::Client,
    hawthornmount_standin::engine::Behaviour,
    serde_json::Value,
    std::time::Duration,
};

/// Removes the small error rate that the demo gives the engines.
fn disable_engine_errors(deployment: &Deployment) {
    let behaviour = Behaviour {
        quality: 1.0,
        error_rate: 0.0,
        first_token: Duration::from_millis(10),
        per_token: Duration::from_millis(1),
    };
    for named in &deployment.engines {
        for release in named.engine.loaded() {
            named.engine.set_behaviour(&release.model, &release.version, behaviour.clone());
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn any_instance_explains_a_request_and_shows_the_status() {
    let deployment = Deployment::start().await.expect("the demo starts");
    disable_engine_errors(&deployment);
    wait_until("the instances know each other", || {
        deployment
            .instances
            .iter()
            .all(|instance| instance.components().snapshot.load().members.len() == 4)
    })
    .await;
    let client = Client::new();
    let response =
        send_completion(&client, deployment.callers()[0]).await.expect("the instance answers");
    let body: Value = serde_json::from_slice(&response.body).expect("the response is JSON");
    let attempt = body["id"].as_str().expect("the response has an id");
    let (id, _) = attempt.rsplit_once('.').expect("the id names the attempt");
    let operators = deployment.instances.last().expect("there are instances").operator_address();
    let explanation: Explanation = client
        .get(operators, &format!("/explain/{id}"), TIMEOUT)
        .await
        .expect("another instance explains");
    assert_eq!(explanation.instance, deployment.instances[0].components().settings.instance);
    assert_eq!(&*explanation.trace.account, "municipal");
    assert_eq!(explanation.trace.attempts.len(), 1);
    assert!(explanation.trace.billed > 0);
    let missing = client.get::<Explanation>(operators, "/explain/req-unknown", TIMEOUT).await;
    assert!(missing.is_err());
    wait_until("the lease has a holder", || {
        deployment.instances[0].components().driver_status.lock().holder.is_some()
    })
    .await;
    let status: Status =
        client.get(operators, "/status", TIMEOUT).await.expect("the instance answers");
    assert_eq!(status.members.len(), 4);
    assert_eq!(status.servers.len(), 5);
    assert_eq!(status.store_error, None);
    assert!(status.revision > 0);
}
