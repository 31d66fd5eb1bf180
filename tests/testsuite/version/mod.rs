//! Withdrawals, suspensions and load orders with real instances and stand-in engines.

mod cut_off;
mod explain;
mod lossy;

use {
    hawthornmount_demo::deployment::Deployment,
    hawthornmount_fleet::config,
    hawthornmount_http::{
        Body, Method,
        client::{Client, Error, Reply},
    },
    hawthornmount_rollout::Evaluator,
    hawthornmount_standin::{
        engine::{Behaviour, Loaded},
        weights::Weights,
    },
    hawthornmount_store::etcd::Etcd,
    serde_json::{Value, json},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Longest time after an accepted change for which a withdrawn or suspended version may still get
/// requests.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);
/// Time-out of a wait for an asynchronous event, such as a load or a suspension everywhere.
const EVENT_TIMEOUT: Duration = Duration::from_secs(12);
/// Time-out of a request.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two polls or two requests.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Merges a patch into the accepted configuration and applies the result.
async fn apply_patch(deployment: &Deployment, patch: &Value) {
    let store = Etcd::new(vec![deployment.store.address()]);
    let (revision, record) =
        config::read(&store).await.expect("the store answers").expect("there is a record");
    let mut value = record.value;
    json_patch::merge(&mut value, patch);
    config::apply(&store, value, revision, "patch").await.expect("the change is accepted");
}

/// Returns the patch that withdraws the stable version of the small model.
fn withdrawal_patch() -> Value {
    json!({ "models": { "draft-small": {
        "stable": "v2",
        "versions": { "v1": { "state": "withdrawn" }, "v2": { "state": "proven" } },
    } } })
}

/// Sends a request and ignores its result.
async fn send_unchecked(client: &Client, address: SocketAddr) {
    let _ = send_completion(client, address).await;
}

/// Sends a request to the small model.
async fn send_completion(client: &Client, address: SocketAddr) -> Result<Reply, Error> {
    let body = json!({
        "model": "draft-small",
        "messages": [{ "role": "user", "content": "hello" }],
        "max_tokens": 4,
    });
    let request = http::Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header("authorization", "Bearer demo-municipal")
        .body(Body::from(body.to_string()))
        .expect("the request is valid");
    client.call(address, request, TIMEOUT).await
}

/// Continuous requests to every instance, until this is dropped.
struct BackgroundLoad(Arc<AtomicBool>);

impl BackgroundLoad {
    fn start(deployment: &Deployment) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        for address in deployment.callers() {
            let stopped = stopped.clone();
            tokio::spawn(async move {
                let client = Client::new();
                while !stopped.load(Ordering::Relaxed) {
                    send_unchecked(&client, address).await;
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            });
        }
        Self(stopped)
    }
}

impl Drop for BackgroundLoad {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Returns how many requests the engines ran with a version of the small model.
fn count_runs(deployment: &Deployment, version: &str) -> usize {
    let runs = deployment.engines.iter().flat_map(|named| named.engine.runs());
    runs.filter(|run| &*run.loaded.model == "draft-small" && &*run.loaded.version == version)
        .count()
}

/// Polls `condition` until it is true and fails after [`EVENT_TIMEOUT`].
async fn wait_until(what: &str, condition: impl FnMut() -> bool) {
    wait_until_or_describe(what, condition, String::new).await;
}

/// Polls `condition` until it is true. Fails after [`EVENT_TIMEOUT`] with the text of `describe`.
async fn wait_until_or_describe(
    what: &str,
    mut condition: impl FnMut() -> bool,
    describe: impl Fn() -> String,
) {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {what}\n{}", describe());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns how many engines have a version of the small model loaded.
fn count_loaded(deployment: &Deployment, version: &str) -> usize {
    let wanted = Loaded { model: "draft-small".into(), version: version.into() };
    deployment.engines.iter().filter(|named| named.engine.loaded().contains(&wanted)).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_version_gets_no_new_requests_and_is_unloaded() {
    let deployment = Deployment::start().await.expect("the demo starts");
    let load = BackgroundLoad::start(&deployment);
    wait_until("v1 runs", || count_runs(&deployment, "v1") > 20).await;
    apply_patch(&deployment, &withdrawal_patch()).await;
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    let (v1_before, v2_before) = (count_runs(&deployment, "v1"), count_runs(&deployment, "v2"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(count_runs(&deployment, "v1"), v1_before);
    assert!(count_runs(&deployment, "v2") > v2_before, "v2 gets no requests");
    wait_until("v1 is unloaded", || count_loaded(&deployment, "v1") == 0).await;
    drop(load);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_candidate_is_suspended_at_every_instance() {
    let deployment = Deployment::start().await.expect("the demo starts");
    for named in &deployment.engines {
        let bad = Behaviour {
            quality: 1.0,
            error_rate: 1.0,
            first_token: Duration::from_millis(5),
            per_token: Duration::ZERO,
        };
        named.engine.set_behaviour("draft-small", "v2", bad);
    }
    let load = BackgroundLoad::start(&deployment);
    let rollout = json!({
        "model": "draft-small", "to": "v2", "steps": [0.2, 1.0], "step_ms": 60_000,
    });
    apply_patch(&deployment, &json!({ "rollouts": { "new": rollout } })).await;
    wait_until("v2 is suspended everywhere", || {
        deployment
            .instances
            .iter()
            .all(|instance| instance.components().snapshot.load().suspended.len() == 1)
    })
    .await;
    wait_until("v2 is unloaded", || count_loaded(&deployment, "v2") == 0).await;
    let components = deployment.instances[0].components();
    assert_eq!(components.monitor.suspended().len(), 1);
    drop(load);
}

/// Guards against load orders that are repeated without a back-off while the weight store refuses
/// fetches: they would overload it.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_engine_is_reloaded_without_overloading_the_weight_store() {
    let deployment = Deployment::start().await.expect("the demo starts");
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let fetch_interval = Duration::from_millis(100);
    let weights = Weights::start(any_port, fetch_interval).await.expect("the weight store starts");
    weights.set_refusing(true);
    for named in &deployment.engines {
        named.engine.set_weight_store(weights.address());
    }
    deployment.engines[0].engine.restart_empty();
    wait_until("a load is refused", || weights.fetches().iter().any(|fetch| !fetch.served)).await;
    weights.set_refusing(false);
    wait_until("v1 is loaded again", || {
        count_loaded(&deployment, "v1") == deployment.engines.len()
    })
    .await;
    assert!(weights.fetches().len() < 30, "the weight store is asked too often");
}
