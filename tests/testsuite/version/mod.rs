//! Withdrawals, suspensions and orders, through real instances and engines.

mod cut_off;
mod explain;
mod lossy;

use {
    hawthornmount_demo::world::World,
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

/// Time after an accepted change in which a version may still get work.
const BOUND: Duration = Duration::from_secs(4);
/// Time in which orders, loads and suspensions have to arrive everywhere.
const SETTLED: Duration = Duration::from_secs(12);
/// Time that a request may take.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two looks or requests.
const PAUSE: Duration = Duration::from_millis(10);

/// Merges a patch into the accepted configuration.
async fn patch(world: &World, patch: &Value) {
    let store = Etcd::new(vec![world.store.address()]);
    let (revision, record) =
        config::read(&store).await.expect("the store answers").expect("there is a record");
    let mut value = record.value;
    json_patch::merge(&mut value, patch);
    config::apply(&store, value, revision, "patch").await.expect("the change is accepted");
}

/// Returns the patch that withdraws the stable version of the small model.
fn withdrawal() -> Value {
    json!({ "models": { "draft-small": {
        "stable": "v2",
        "versions": { "v1": { "state": "withdrawn" }, "v2": { "state": "proven" } },
    } } })
}

async fn ask(client: &Client, address: SocketAddr) {
    let _ = call(client, address).await;
}

async fn call(client: &Client, address: SocketAddr) -> Result<Reply, Error> {
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

/// Sends requests to every instance until it is dropped.
struct Load(Arc<AtomicBool>);

impl Load {
    fn start(world: &World) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        for address in world.callers() {
            let ended = ended.clone();
            tokio::spawn(async move {
                let client = Client::new();
                while !ended.load(Ordering::Relaxed) {
                    ask(&client, address).await;
                    tokio::time::sleep(PAUSE).await;
                }
            });
        }
        Self(ended)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn runs(world: &World, version: &str) -> usize {
    let all = world.engines.iter().flat_map(|named| named.engine.runs());
    all.filter(|run| &*run.loaded.model == "draft-small" && &*run.loaded.version == version).count()
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let bound = Instant::now() + SETTLED;
    while !holds() {
        assert!(Instant::now() < bound, "not in time: {what}");
        tokio::time::sleep(PAUSE).await;
    }
}

fn loaded(world: &World, version: &str) -> usize {
    let wanted = Loaded { model: "draft-small".into(), version: version.into() };
    world.engines.iter().filter(|named| named.engine.loaded().contains(&wanted)).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_version_gets_no_new_work_and_is_unloaded() {
    let world = World::start().await.expect("the demo starts");
    let load = Load::start(&world);
    until("v1 runs", || runs(&world, "v1") > 20).await;
    patch(&world, &withdrawal()).await;
    tokio::time::sleep(BOUND).await;
    let (before, other) = (runs(&world, "v1"), runs(&world, "v2"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(runs(&world, "v1"), before);
    assert!(runs(&world, "v2") > other, "v2 gets the work");
    until("v1 is unloaded", || loaded(&world, "v1") == 0).await;
    drop(load);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_candidate_is_suspended_at_every_instance() {
    let world = World::start().await.expect("the demo starts");
    for named in &world.engines {
        let bad = Behaviour {
            quality: 1.0,
            error_rate: 1.0,
            first_token: Duration::from_millis(5),
            per_token: Duration::ZERO,
        };
        named.engine.set_behaviour("draft-small", "v2", bad);
    }
    let load = Load::start(&world);
    let rollout = json!({
        "model": "draft-small", "to": "v2", "steps": [0.2, 1.0], "step_ms": 60_000,
    });
    patch(&world, &json!({ "rollouts": { "new": rollout } })).await;
    until("v2 is suspended everywhere", || {
        world.instances.iter().all(|one| one.parts().snapshot.load().suspended.len() == 1)
    })
    .await;
    until("v2 is unloaded", || loaded(&world, "v2") == 0).await;
    let parts = world.instances[0].parts();
    assert_eq!(parts.monitor.suspended().len(), 1);
    drop(load);
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_are_repaired_at_the_pace_of_the_weight_store() {
    let world = World::start().await.expect("the demo starts");
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let pace = Duration::from_millis(100);
    let weights = Weights::start(any_port, pace).await.expect("the weight store starts");
    weights.set_refusing(true);
    for named in &world.engines {
        named.engine.set_weights(weights.address());
    }
    world.engines[0].engine.restart_empty();
    until("a load is refused", || weights.fetches().iter().any(|fetch| !fetch.served)).await;
    weights.set_refusing(false);
    until("v1 is loaded again", || loaded(&world, "v1") == world.engines.len()).await;
    assert!(weights.fetches().len() < 30, "the weight store is asked too often");
}
