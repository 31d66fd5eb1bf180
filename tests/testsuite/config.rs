//! `config` subcommand with a stand-in store that loses responses, is slow or is down.

use {
    hawthornmount_standin::store::Store,
    std::{
        net::{Ipv4Addr, SocketAddr},
        process::{Command, Output},
        time::Duration,
    },
};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config");

async fn start_store() -> Store {
    Store::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await.expect("the stand-in starts")
}

/// Runs the `config` subcommand on a blocking thread, so that the stand-in store can answer it.
async fn run_config(arguments: &[&str]) -> Output {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let run = move || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hawthornmount"));
        command.arg("config").args(arguments).output().expect("the program runs")
    };
    tokio::task::spawn_blocking(run).await.expect("the thread ends")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn folder_is_compared_applied_and_shown() {
    let store = start_store().await;
    let address = store.address().to_string();
    let flags = ["--store", &address];
    let before = run_config(&[&["diff", FOLDER][..], &flags].concat()).await;
    assert_eq!(before.status.code(), Some(1), "{before:?}");
    assert!(text(&before.stdout).contains("+ /accounts"), "{before:?}");
    store.faults().lose_responses(1);
    let applied = run_config(&[&["apply", FOLDER][..], &flags].concat()).await;
    assert!(
        applied.status.success(),
        "a commit whose response was lost is not resolved: {applied:?}"
    );
    let after = run_config(&[&["diff", FOLDER][..], &flags].concat()).await;
    assert_eq!((after.status.code(), text(&after.stdout)), (Some(0), String::new()));
    let shown = run_config(&[&["show"][..], &flags].concat()).await;
    let shown: serde_json::Value = serde_json::from_slice(&shown.stdout).expect("JSON");
    assert_eq!(shown["revision"].to_string(), text(&applied.stdout).trim());
    let merged = run_config(&["merge", FOLDER]).await;
    let merged: serde_json::Value = serde_json::from_slice(&merged.stdout).expect("JSON");
    assert_eq!(shown["value"], merged);
    let origin = run_config(&["merge", FOLDER, "--origin"]).await;
    let line = "20-models.jsonc:5: /models/draft-small/price: 200";
    assert!(text(&origin.stdout).lines().any(|printed| printed == line), "{origin:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn outdated_base_is_reported_as_a_conflict_with_a_diff() {
    let store = start_store().await;
    let address = store.address().to_string();
    let first = ["apply", FOLDER, "--store", &address, "--base", "0"];
    assert!(run_config(&first).await.status.success());
    let other = serde_json::json!({ "limits": { "retry_percent": 5 } });
    let client = hawthornmount_store::etcd::Etcd::new(vec![store.address()]);
    hawthornmount_fleet::config::apply(&client, other, 1, "other").await.expect("accepted");
    let second = ["apply", FOLDER, "--store", &address, "--base", "1"];
    let conflict = run_config(&second).await;
    let errors = text(&conflict.stderr);
    assert_eq!(conflict.status.code(), Some(1), "{errors}");
    assert!(errors.contains("did not take effect: revision 2"), "{errors}");
    assert!(errors.contains("- /limits") && errors.contains("+ /accounts"), "{errors}");
}

/// Guards against reporting a failure for a change that took effect: the store commits it and the
/// response to the commit is lost every time.
#[tokio::test(flavor = "multi_thread")]
async fn change_is_applied_once_although_every_commit_response_is_lost() {
    let store = start_store().await;
    let address = store.address().to_string();
    store.faults().lose_responses(u32::MAX);
    let applied = run_config(&["apply", FOLDER, "--store", &address]).await;
    assert!(applied.status.success(), "{applied:?}");
    assert_eq!((text(&applied.stdout).trim(), store.memory().revision()), ("1", 1));
}

struct Outage {
    down: bool,
    delay: Duration,
}

#[rstest::rstest]
#[case::down(Outage { down: true, delay: Duration::ZERO })]
#[case::slow(Outage { down: false, delay: Duration::from_secs(3) })]
#[tokio::test(flavor = "multi_thread")]
async fn apply_during_an_outage_reports_that_nothing_changed(#[case] outage: Outage) {
    let store = start_store().await;
    let address = store.address().to_string();
    store.faults().set_down(outage.down);
    store.faults().set_delay(outage.delay);
    let applied = run_config(&["apply", FOLDER, "--store", &address]).await;
    let errors = text(&applied.stderr);
    assert!(!applied.status.success() && errors.contains("nothing was changed"), "{errors}");
    assert_eq!(store.memory().revision(), 0);
}
