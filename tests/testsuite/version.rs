//! Withdrawals, suspensions and orders, through real instances and engines.

use {
    hawthornmount_core::{
        config::State as Use,
        snapshot::{Health, Release},
    },
    hawthornmount_demo::world::{DATA_CENTRES, World},
    hawthornmount_entry::{
        Instance,
        admin::{Explanation, Status},
        instance::Builder,
    },
    hawthornmount_fleet::{
        config,
        transport::{
            fault::{Fault, Faults},
            net::Net,
        },
    },
    hawthornmount_http::{
        Body, Method,
        client::{Client, Error, Whole},
    },
    hawthornmount_rollout::{
        Judge,
        suspension::{Cause, Key, Suspension},
    },
    hawthornmount_standin::{
        engine::{Behaviour, Loaded},
        list::{Kind, Listed, State},
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

async fn ask(client: &Client, address: SocketAddr) {
    let _ = call(client, address).await;
}

async fn call(client: &Client, address: SocketAddr) -> Result<Whole, Error> {
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
    patch(
        &world,
        &json!({ "models": { "draft-small": {
            "stable": "v2",
            "versions": { "v1": { "state": "withdrawn" }, "v2": { "state": "proven" } },
        } } }),
    )
    .await;
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
        world.instances.iter().all(|one| one.parts().cell.load().suspended.len() == 1)
    })
    .await;
    until("v2 is unloaded", || loaded(&world, "v2") == 0).await;
    let parts = world.instances[0].parts();
    assert_eq!(parts.keeper.suspended().len(), 1);
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

/// Instances of the fleet that loses frames.
const LOSSY_INSTANCES: usize = 9;
/// Part of the frames that are lost.
const LOSS: f64 = 0.2;
/// Part of the frames that come twice.
const DUPLICATION: f64 = 0.1;

/// Replaces the world's instances by nine that lose frames.
async fn replace_by_lossy(world: &mut World) {
    world.instances.clear();
    let faults = Faults::new(3);
    faults.set_loss(LOSS);
    faults.set_duplication(DUPLICATION);
    faults.set_delay(Duration::from_millis(2), Duration::from_millis(20));
    let mut listed = Vec::new();
    for number in 0..LOSSY_INSTANCES {
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        let parts = Builder::new(world.settings(data_centre, 10 + number)).build();
        let net = Net::bind(parts.settings.fleet).expect("a port is free");
        parts.mesh.attach(Arc::new(Fault::new(Arc::new(net), faults.clone())));
        listed.push(Listed {
            id: parts.settings.instance.clone(),
            kind: Kind::Entry,
            address: parts.mesh.address(),
            data_centre: data_centre.into(),
            state: State::Live,
        });
        world.instances.push(Instance::start_with(parts).expect("the instance starts"));
    }
    world.list.set(listed);
    let servers = world.engines.len() + 1;
    until("the lossy fleet is whole", || {
        world.instances.iter().all(|one| {
            let snapshot = one.parts().cell.load();
            let up = snapshot.backends.iter().filter(|one| one.health == Health::Up).count();
            snapshot.members.len() == LOSSY_INSTANCES && up == servers
        })
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_reaches_every_instance_although_frames_are_lost() {
    let mut world = World::start().await.expect("the demo starts");
    replace_by_lossy(&mut world).await;
    let load = Load::start(&world);
    until("v1 runs", || runs(&world, "v1") > 20).await;
    let withdraw = json!({ "models": { "draft-small": {
        "stable": "v2",
        "versions": { "v1": { "state": "withdrawn" }, "v2": { "state": "proven" } },
    } } });
    patch(&world, &withdraw).await;
    let accepted = Instant::now();
    let refuses = |one: &Instance| {
        let snapshot = one.parts().cell.load();
        let versions = &snapshot.config.models.get("draft-small").expect("exists").versions;
        versions.get("v1").expect("exists").state == Use::Withdrawn
    };
    until("every instance knows", || world.instances.iter().all(refuses)).await;
    assert!(accepted.elapsed() < BOUND, "known everywhere after {:?}", accepted.elapsed());
    tokio::time::sleep(BOUND.saturating_sub(accepted.elapsed())).await;
    let before = runs(&world, "v1");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(runs(&world, "v1"), before);
    drop(load);
}

#[tokio::test(flavor = "multi_thread")]
async fn suspension_reaches_every_instance_while_the_store_is_down() {
    let mut world = World::start().await.expect("the demo starts");
    replace_by_lossy(&mut world).await;
    world.store.faults().set_down(true);
    let release = Release { model: "draft-small".into(), version: "v1".into() };
    let first = world.instances[0].parts();
    first.keeper.merge_suspensions(vec![Suspension {
        key: Key { model: release.model.clone(), version: release.version.clone(), generation: 0 },
        cause: Cause { revision: u64::MAX, text: "bad".into(), by: "test".into(), at_ms: 0 },
    }]);
    let all = vec![first.keeper.suspensions()[0].clone()];
    hawthornmount_rollout::share::tell_suspensions(&*first.fleet, &all);
    let told = Instant::now();
    until("v1 is suspended everywhere", || {
        world.instances.iter().all(|one| one.parts().cell.load().is_suspended(&release))
    })
    .await;
    assert!(told.elapsed() < BOUND, "suspended everywhere after {:?}", told.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn any_instance_explains_a_request_and_shows_the_status() {
    let world = World::start().await.expect("the demo starts");
    until("the instances know each other", || {
        world.instances.iter().all(|one| one.parts().cell.load().members.len() == 4)
    })
    .await;
    let client = Client::new();
    let answer = call(&client, world.callers()[0]).await.expect("the instance answers");
    let body: Value = serde_json::from_slice(&answer.body).expect("the answer is JSON");
    let attempt = body["id"].as_str().expect("the answer has an id");
    let (id, _) = attempt.rsplit_once('.').expect("the id names the attempt");
    let last = world.instances.last().expect("there are instances").operators();
    let explanation: Explanation = client
        .get(last, &format!("/explain/{id}"), TIMEOUT)
        .await
        .expect("another instance explains");
    assert_eq!(explanation.instance, world.instances[0].parts().settings.instance);
    assert_eq!(&*explanation.trace.account, "municipal");
    assert_eq!(explanation.trace.attempts.len(), 1);
    assert!(explanation.trace.billed > 0);
    let missing = client.get::<Explanation>(last, "/explain/req-unknown", TIMEOUT).await;
    assert!(missing.is_err());
    until("there is a holder", || world.instances[0].parts().role.lock().holder.is_some()).await;
    let status: Status = client.get(last, "/status", TIMEOUT).await.expect("a status comes");
    assert_eq!(status.members.len(), 4);
    assert_eq!(status.servers.len(), 5);
    assert_eq!(status.store_error, None);
    assert!(status.revision > 0);
}
