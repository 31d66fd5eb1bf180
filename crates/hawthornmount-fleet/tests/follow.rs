//! Propagation of the configuration on paused time: each accepted revision reaches all instances in
//! time, and no instance reverts to an older one.

mod support;

use {
    hawthornmount_core::{id::Revision, snapshot::Liveness},
    hawthornmount_fleet::{
        Fleet,
        config::{self, KEY},
        role,
    },
    hawthornmount_store::Store,
    rstest::rstest,
    std::{sync::atomic::Ordering::SeqCst, time::Duration},
    support::{Cluster, DATA_CENTRES, SECRET, address, name, wait_until},
};

const JOIN_TIMEOUT: Duration = Duration::from_secs(8);
/// Time in which a revision reaches all instances if there is no fault.
const CLEAN_LIMIT: Duration = Duration::from_secs(1);
/// Time in which a revision reaches all instances despite a fault.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);
const OUTAGE: Duration = Duration::from_secs(300);

async fn start_cluster(count: usize) -> (Cluster, Revision) {
    let cluster = Cluster::new(count);
    let revision = cluster.apply_config(0).await;
    wait_until(JOIN_TIMEOUT, "all joined", || cluster.all_alive()).await;
    wait_until(JOIN_TIMEOUT, "first revision", || cluster.all_hold(revision)).await;
    (cluster, revision)
}

#[derive(Clone, Copy)]
enum Fault {
    None,
    Loss,
    StoreStopped,
    WatchSilent,
    Compacted,
}

struct Case {
    fault: Fault,
    limit: Duration,
}

#[rstest]
#[case::clean(Case { fault: Fault::None, limit: CLEAN_LIMIT })]
#[case::loss(Case { fault: Fault::Loss, limit: PROPAGATION_LIMIT })]
#[case::store_stopped_after_accept(Case { fault: Fault::StoreStopped, limit: PROPAGATION_LIMIT })]
#[case::watch_silent(Case { fault: Fault::WatchSilent, limit: PROPAGATION_LIMIT })]
#[case::compacted(Case { fault: Fault::Compacted, limit: PROPAGATION_LIMIT })]
#[tokio::test(start_paused = true)]
async fn accepted_revision_reaches_all_instances_in_time(#[case] case: Case) {
    let (cluster, first) = start_cluster(15).await;
    match case.fault {
        Fault::Loss => cluster.faults.set_loss(0.2),
        Fault::WatchSilent => cluster.store.watch_silent.store(true, SeqCst),
        Fault::None | Fault::StoreStopped | Fault::Compacted => {}
    }
    let mut revision = first;
    for _ in 0..5 {
        if matches!(case.fault, Fault::Compacted) {
            compact(&cluster).await;
        }
        revision = cluster.apply_config(revision).await;
        if matches!(case.fault, Fault::StoreStopped) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            cluster.store.down.store(true, SeqCst);
        }
        wait_until(case.limit, "in force everywhere", || cluster.all_hold(revision)).await;
        cluster.store.down.store(false, SeqCst);
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    assert!(revision >= first + 5);
    match case.fault {
        Fault::WatchSilent => assert!(cluster.drop_count("watch_silent") > 0),
        Fault::Compacted => assert!(cluster.drop_count("watch_compacted") > 0),
        Fault::None | Fault::Loss | Fault::StoreStopped => {}
    }
}

/// Interrupts the watches by an outage and compacts the revisions from which they would resume.
async fn compact(cluster: &Cluster) {
    cluster.store.down.store(true, SeqCst);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for _ in 0..10 {
        let other = hawthornmount_store::Txn::new().put("/other", "value");
        cluster.store.memory.commit(other).await.expect("committed");
    }
    cluster.store.memory.compact(cluster.store.memory.revision());
    cluster.store.down.store(false, SeqCst);
    tokio::time::sleep(Duration::from_secs(2)).await;
}

#[tokio::test(start_paused = true)]
async fn stale_read_is_ignored() {
    let (cluster, first) = start_cluster(6).await;
    let old = cluster.store.get(KEY).await.expect("answers").expect("accepted");
    let second = cluster.apply_config(first).await;
    wait_until(PROPAGATION_LIMIT, "second revision", || cluster.all_hold(second)).await;
    *cluster.store.stale.lock() = Some(old);
    for _ in 0..300 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(cluster.all_hold(second), "an instance reverted");
    }
    assert!(cluster.drop_count("stale_read") > 0);
}

#[tokio::test(start_paused = true)]
async fn undecodable_configuration_is_rejected_and_the_held_one_stays_in_force() {
    let (cluster, first) = start_cluster(6).await;
    let unknown = serde_json::json!({ "key_of_a_later_version": {} });
    let second = config::apply(&*cluster.store, unknown, first, "apply-1").await.expect("accepted");
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    assert!(cluster.all_hold(first));
    assert!(cluster.drop_count("refused") > 0);
    let third = cluster.apply_config(second).await;
    wait_until(PROPAGATION_LIMIT, "readable again", || cluster.all_hold(third)).await;
}

#[tokio::test(start_paused = true)]
async fn newest_revision_is_adopted_after_a_long_store_outage() {
    let (cluster, first) = start_cluster(9).await;
    cluster.store.down.store(true, SeqCst);
    tokio::time::sleep(OUTAGE).await;
    assert!(cluster.all_hold(first), "the last revision stays in force");
    let oldest = cluster.nodes.iter().filter_map(|node| node.mesh.tracker().confirmed()).min();
    assert!(oldest.expect("confirmed before").elapsed() >= OUTAGE - Duration::from_secs(5));
    cluster.store.down.store(false, SeqCst);
    let second = cluster.apply_config(first).await;
    wait_until(PROPAGATION_LIMIT, "second revision", || cluster.all_hold(second)).await;
    tokio::time::sleep(JOIN_TIMEOUT * 2).await;
    let ages = cluster.nodes.iter().map(|node| node.mesh.tracker().confirmed());
    for age in ages {
        let age = age.expect("confirmed").elapsed();
        assert!(age < Duration::from_secs(20), "confirmed {age:?} ago");
    }
}

struct Replacement {
    store_down: bool,
    same_name: bool,
}

#[rstest]
#[case::restart(Replacement { store_down: false, same_name: true })]
#[case::restart_without_store(Replacement { store_down: true, same_name: true })]
#[case::replaced_without_store(Replacement { store_down: true, same_name: false })]
#[tokio::test(start_paused = true)]
async fn new_instance_starts_on_the_highest_revision(#[case] case: Replacement) {
    let (mut cluster, first) = start_cluster(6).await;
    let old = cluster.store.get(KEY).await.expect("answers").expect("accepted");
    let second = cluster.apply_config(first).await;
    wait_until(PROPAGATION_LIMIT, "second revision", || cluster.all_hold(second)).await;
    // If the store is up, its reads are stale; only the peers hold the newest revision.
    *cluster.store.stale.lock() = Some(old);
    cluster.store.down.store(case.store_down, SeqCst);
    cluster.nodes[5].kill();
    let id = if case.same_name { name(5) } else { "replacement".into() };
    cluster.nodes[5] = cluster.start(&id, 2, SECRET, address(5));
    let mut accepted = cluster.nodes[5].accepted.clone();
    accepted.changed().await.expect("published");
    let start = accepted.borrow().as_ref().map(|accepted| accepted.revision);
    assert_eq!(start, Some(second), "the first published revision is the newest");
    // A stale read must not confirm the revision, and a confirmation that is taken over from peers
    // must not be newer than the peers' own.
    let confirmed = |node: &support::Node| node.mesh.tracker().confirmed();
    let newest = cluster.nodes[..5].iter().filter_map(confirmed).max();
    assert!(
        confirmed(&cluster.nodes[5]) <= newest,
        "a new instance must not renew the confirmation"
    );
}

#[tokio::test(start_paused = true)]
async fn new_instance_with_neither_store_nor_peers_has_no_configuration() {
    let cluster = Cluster::new(1);
    cluster.store.down.store(true, SeqCst);
    tokio::time::sleep(OUTAGE).await;
    assert_eq!(cluster.nodes[0].revision(), 0);
    cluster.store.down.store(false, SeqCst);
    let revision = cluster.apply_config(0).await;
    wait_until(PROPAGATION_LIMIT, "store is back", || cluster.all_hold(revision)).await;
}

#[tokio::test(start_paused = true)]
async fn partitioned_sides_converge_on_the_newest_revision() {
    let (cluster, first) = start_cluster(9).await;
    let watches = |node: &&support::Node| {
        let members = node.mesh.members();
        role::rank(&members, &node.mesh.local(), "config").is_some_and(|rank| rank < 2)
    };
    assert!(cluster.nodes.iter().filter(watches).count() <= 2 * DATA_CENTRES.len());
    // Three instances, one of each data centre, are partitioned from the others while no revision
    // is applied.
    cluster.faults.isolate(cluster.addresses(6..9));
    tokio::time::sleep(Duration::from_secs(20)).await;
    let second = cluster.apply_config(first).await;
    wait_until(PROPAGATION_LIMIT, "both sides reach the store", || cluster.all_hold(second)).await;
    cluster.faults.heal();
    tokio::time::sleep(JOIN_TIMEOUT).await;
    assert!(cluster.all_hold(second));
}

#[tokio::test(start_paused = true)]
async fn paused_instance_catches_up_and_does_not_revert_others() {
    let (cluster, first) = start_cluster(6).await;
    cluster.faults.pause(address(4));
    cluster.faults.pause(address(5));
    let mut revision = first;
    for _ in 0..3 {
        revision = cluster.apply_config(revision).await;
        tokio::time::sleep(PROPAGATION_LIMIT).await;
    }
    cluster.faults.resume(address(4));
    cluster.faults.resume(address(5));
    let newest = revision;
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(cluster.nodes[..4].iter().all(|node| node.revision() == newest));
    }
    assert!(cluster.all_hold(newest));
}

#[rstest]
#[case::short(Duration::from_secs(3))]
#[case::long(Duration::from_secs(60))]
#[tokio::test(start_paused = true)]
async fn resumed_instance_does_not_confirm_an_old_revision(#[case] pause: Duration) {
    let (cluster, first) = start_cluster(6).await;
    tokio::time::sleep(JOIN_TIMEOUT).await;
    let paused = &cluster.nodes[4];
    paused.pause_switch.pause();
    let paused_at = tokio::time::Instant::now();
    tokio::time::sleep(pause / 2).await;
    let second = cluster.apply_config(first).await;
    tokio::time::sleep(pause / 2).await;
    let confirmed = paused.mesh.tracker().confirmed().expect("confirmed before");
    assert!(confirmed <= paused_at, "nothing was confirmed meanwhile");
    paused.pause_switch.resume();
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let members = paused.mesh.members();
        let dead = members.iter().filter(|member| member.liveness == Liveness::Dead).count();
        assert_eq!(dead, 0, "a live member was marked as dead");
        let others = cluster.nodes.iter().filter(|node| node.address != paused.address);
        assert!(others.clone().all(|node| node.revision() == second));
        if paused.revision() == first {
            let age = paused.mesh.tracker().confirmed().expect("confirmed").elapsed();
            assert!(age >= pause / 2, "an old revision was confirmed {age:?} ago");
        }
    }
    assert!(cluster.all_alive() && cluster.all_hold(second));
}

#[tokio::test(start_paused = true)]
async fn store_call_rate_does_not_grow_with_the_data_centre() {
    let mut rates = Vec::new();
    for count in [9, 45] {
        let (cluster, _) = start_cluster(count).await;
        tokio::time::sleep(Duration::from_secs(10)).await;
        let before = cluster.store.calls.load(SeqCst);
        tokio::time::sleep(Duration::from_secs(60)).await;
        rates.push((cluster.store.calls.load(SeqCst) - before) as f64 / 60.0);
    }
    assert!(rates[1] <= rates[0] * 1.1, "{rates:?} calls a second");
}
