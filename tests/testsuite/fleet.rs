//! The instances of the demo as a fleet.

use {
    hawthornmount_core::id,
    hawthornmount_demo::world::World,
    hawthornmount_fleet::config,
    hawthornmount_store::etcd::Etcd,
    std::{
        process::{Command, Output},
        time::{Duration, Instant},
    },
};

const JOIN: Duration = Duration::from_secs(10);
const INSTANCES: usize = 4;

fn status(world: &World, arguments: &[&str]) -> Output {
    let address = world.instances[0].operator_address().to_string();
    Command::new(env!("CARGO_BIN_EXE_hawthornmount"))
        .args(["status", "--admin", &address])
        .args(arguments)
        .output()
        .expect("the program runs")
}

async fn joined(world: &World) {
    let deadline = Instant::now() + JOIN;
    let is_whole =
        |one: &hawthornmount_entry::Instance| one.parts().fleet.members().len() == INSTANCES;
    while !world.instances.iter().all(is_whole) {
        assert!(Instant::now() < deadline, "the instances have not joined");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_in_force_at_every_instance_and_status_tells() {
    let world = World::start().await.expect("the demo starts");
    joined(&world).await;
    let store = Etcd::new(vec![world.store.address()]);
    let (base, record) = config::read(&store).await.expect("answers").expect("accepted");
    let next = (base + 1).to_string();
    let early = status(&world, &["--wait", &next, "--timeout", "0"]);
    assert!(!early.status.success(), "{early:?}");
    let mut value = record.value;
    value["limits"] = serde_json::json!({ "retry_percent": 11 });
    let revision =
        config::apply(&store, value, base, &id::generate("apply")).await.expect("accepted");
    let wait = status(&world, &["--wait", &revision.to_string(), "--timeout", "4"]);
    assert!(wait.status.success(), "{wait:?}");
    for instance in &world.instances {
        assert!(instance.parts().snapshot.load().revision >= revision);
    }
    let shown = status(&world, &["--fleet"]);
    let rows: Vec<serde_json::Value> = serde_json::from_slice(&shown.stdout).expect("JSON");
    let held = rows.iter().filter(|row| row["revision"] == revision && row["age_ms"].is_u64());
    assert_eq!(held.count(), INSTANCES, "{rows:?}");
}
