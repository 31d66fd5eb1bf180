//! `config` against a store that fails.

use {
    hawthornmount_standin::store::Store,
    std::{
        net::{Ipv4Addr, SocketAddr},
        process::{Command, Output},
        time::Duration,
    },
};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config");

async fn store() -> Store {
    Store::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await.expect("the stand-in starts")
}

/// Runs `config` in a thread of its own, so that the stand-in can answer.
async fn config(arguments: &[&str]) -> Output {
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
    let store = store().await;
    let address = store.address().to_string();
    let flags = ["--store", &address];
    let differs = config(&[&["diff", FOLDER][..], &flags].concat()).await;
    assert_eq!(differs.status.code(), Some(1), "{differs:?}");
    assert!(text(&differs.stdout).contains("+ /accounts"), "{differs:?}");
    store.faults().lose_answers(1);
    let applied = config(&[&["apply", FOLDER][..], &flags].concat()).await;
    assert!(applied.status.success(), "a lost answer is settled: {applied:?}");
    let same = config(&[&["diff", FOLDER][..], &flags].concat()).await;
    assert_eq!((same.status.code(), text(&same.stdout)), (Some(0), String::new()));
    let shown = config(&[&["show"][..], &flags].concat()).await;
    let shown: serde_json::Value = serde_json::from_slice(&shown.stdout).expect("JSON");
    assert_eq!(shown["revision"].to_string(), text(&applied.stdout).trim());
    let merged = config(&["merge", FOLDER]).await;
    let merged: serde_json::Value = serde_json::from_slice(&merged.stdout).expect("JSON");
    assert_eq!(shown["value"], merged);
    let origin = config(&["merge", FOLDER, "--origin"]).await;
    let line = "20-models.jsonc:5: /models/draft-small/price: 200";
    assert!(text(&origin.stdout).lines().any(|one| one == line), "{origin:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn old_base_is_a_conflict_with_a_diff() {
    let store = store().await;
    let address = store.address().to_string();
    let first = ["apply", FOLDER, "--store", &address, "--base", "0"];
    assert!(config(&first).await.status.success());
    let other = serde_json::json!({ "limits": { "retry_percent": 5 } });
    let adapter = hawthornmount_store::etcd::Etcd::new(vec![store.address()]);
    hawthornmount_fleet::config::apply(&adapter, other, 1, "other").await.expect("accepted");
    let second = ["apply", FOLDER, "--store", &address, "--base", "1"];
    let conflict = config(&second).await;
    let errors = text(&conflict.stderr);
    assert_eq!(conflict.status.code(), Some(1), "{errors}");
    assert!(errors.contains("did not take effect: revision 2"), "{errors}");
    assert!(errors.contains("- /limits") && errors.contains("+ /accounts"), "{errors}");
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_settled_when_no_commit_is_ever_answered() {
    let store = store().await;
    let address = store.address().to_string();
    store.faults().lose_answers(u32::MAX);
    let applied = config(&["apply", FOLDER, "--store", &address]).await;
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
async fn outage_changes_nothing_and_says_so(#[case] outage: Outage) {
    let store = store().await;
    let address = store.address().to_string();
    store.faults().set_down(outage.down);
    store.faults().set_delay(outage.delay);
    let applied = config(&["apply", FOLDER, "--store", &address]).await;
    let errors = text(&applied.stderr);
    assert!(!applied.status.success() && errors.contains("nothing was changed"), "{errors}");
    assert_eq!(store.memory().revision(), 0);
}
