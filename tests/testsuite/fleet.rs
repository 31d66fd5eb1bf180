//! Propagation of a configuration change through a fleet, and `status`.

use {
    hawthornmount_core::id,
    hawthornmount_demo::deployment::Deployment,
    hawthornmount_fleet::config,
    hawthornmount_store::etcd::Etcd,
    std::{
        process::{Command, Output},
        time::{Duration, Instant},
    },
};

/// Time-out of the wait until all instances know each other.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);
const INSTANCES: usize = 4;

fn status(deployment: &Deployment, arguments: &[&str]) -> Output {
    let address = deployment.instances[0].operator_address().to_string();
    Command::new(env!("CARGO_BIN_EXE_hawthornmount"))
        .args(["status", "--admin", &address])
        .args(arguments)
        .output()
        .expect("the program runs")
}

async fn wait_until_joined(deployment: &Deployment) {
    let deadline = Instant::now() + JOIN_TIMEOUT;
    let knows_all = |instance: &hawthornmount_entry::Instance| {
        instance.components().fleet.members().len() == INSTANCES
    };
    while !deployment.instances.iter().all(knows_all) {
        assert!(Instant::now() < deadline, "the instances have not joined");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn status_reports_when_a_change_is_in_force_at_every_instance() {
    let deployment = Deployment::start().await.expect("the demo starts");
    wait_until_joined(&deployment).await;
    let store = Etcd::new(vec![deployment.store.address()]);
    let (base, record) =
        config::read(&store).await.expect("the store answers").expect("a revision is accepted");
    let next = (base + 1).to_string();
    let before = status(&deployment, &["--wait", &next, "--timeout", "0"]);
    assert!(!before.status.success(), "{before:?}");
    let mut value = record.value;
    value["limits"] = serde_json::json!({ "retry_percent": 11 });
    let revision =
        config::apply(&store, value, base, &id::generate("apply")).await.expect("accepted");
    let wait = status(&deployment, &["--wait", &revision.to_string(), "--timeout", "4"]);
    assert!(wait.status.success(), "{wait:?}");
    for instance in &deployment.instances {
        assert!(instance.components().snapshot.load().revision >= revision);
    }
    let output = status(&deployment, &["--fleet"]);
    let rows: Vec<serde_json::Value> = serde_json::from_slice(&output.stdout).expect("JSON");
    let current = rows.iter().filter(|row| row["revision"] == revision && row["age_ms"].is_u64());
    assert_eq!(current.count(), INSTANCES, "{rows:?}");
}
