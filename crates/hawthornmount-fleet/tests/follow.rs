//! An accepted configuration is in force everywhere and never reverts, on paused time.

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
    support::{DATA_CENTRES, SECRET, World, address, name, until},
};

const JOIN: Duration = Duration::from_secs(8);
const CLEAN_BOUND: Duration = Duration::from_secs(1);
const BOUND: Duration = Duration::from_secs(4);
const MINUTES: Duration = Duration::from_secs(300);

async fn joined(count: usize) -> (World, Revision) {
    let world = World::new(count);
    let revision = world.accept(0).await;
    until(JOIN, "all joined", || world.all_alive()).await;
    until(JOIN, "first revision", || world.all_hold(revision)).await;
    (world, revision)
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
    bound: Duration,
}

#[rstest]
#[case::clean(Case { fault: Fault::None, bound: CLEAN_BOUND })]
#[case::loss(Case { fault: Fault::Loss, bound: BOUND })]
#[case::store_stopped_after_accept(Case { fault: Fault::StoreStopped, bound: BOUND })]
#[case::watch_silent(Case { fault: Fault::WatchSilent, bound: BOUND })]
#[case::compacted(Case { fault: Fault::Compacted, bound: BOUND })]
#[tokio::test(start_paused = true)]
async fn accepted_revision_is_in_force_everywhere_in_time(#[case] case: Case) {
    let (world, first) = joined(15).await;
    match case.fault {
        Fault::Loss => world.faults.set_loss(0.2),
        Fault::WatchSilent => world.store.watch_silent.store(true, SeqCst),
        Fault::None | Fault::StoreStopped | Fault::Compacted => {}
    }
    let mut revision = first;
    for _ in 0..5 {
        if matches!(case.fault, Fault::Compacted) {
            compact(&world).await;
        }
        revision = world.accept(revision).await;
        if matches!(case.fault, Fault::StoreStopped) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            world.store.down.store(true, SeqCst);
        }
        until(case.bound, "in force everywhere", || world.all_hold(revision)).await;
        world.store.down.store(false, SeqCst);
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    assert!(revision >= first + 5);
    match case.fault {
        Fault::WatchSilent => assert!(world.dropped("watch_silent") > 0),
        Fault::Compacted => assert!(world.dropped("watch_compacted") > 0),
        Fault::None | Fault::Loss | Fault::StoreStopped => {}
    }
}

/// Breaks the watches by an outage and forgets what they would go on from.
async fn compact(world: &World) {
    world.store.down.store(true, SeqCst);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for _ in 0..10 {
        let other = hawthornmount_store::Txn::new().put("/other", "value");
        world.store.memory.commit(other).await.expect("committed");
    }
    world.store.memory.compact(world.store.memory.revision());
    world.store.down.store(false, SeqCst);
    tokio::time::sleep(Duration::from_secs(2)).await;
}

#[tokio::test(start_paused = true)]
async fn stale_read_changes_nothing() {
    let (world, first) = joined(6).await;
    let old = world.store.get(KEY).await.expect("answers").expect("accepted");
    let second = world.accept(first).await;
    until(BOUND, "second revision", || world.all_hold(second)).await;
    *world.store.stale.lock() = Some(old);
    for _ in 0..300 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(world.all_hold(second), "an instance went back");
    }
    assert!(world.dropped("stale_read") > 0);
}

#[tokio::test(start_paused = true)]
async fn configuration_of_another_form_is_refused_and_the_held_one_stays() {
    let (world, first) = joined(6).await;
    let unknown = serde_json::json!({ "key_of_a_later_version": {} });
    let second = config::apply(&*world.store, unknown, first, "apply-1").await.expect("accepted");
    tokio::time::sleep(BOUND).await;
    assert!(world.all_hold(first));
    assert!(world.dropped("refused") > 0);
    let third = world.accept(second).await;
    until(BOUND, "readable again", || world.all_hold(third)).await;
}

#[tokio::test(start_paused = true)]
async fn outage_of_minutes_ends_with_the_newest_revision() {
    let (world, first) = joined(9).await;
    world.store.down.store(true, SeqCst);
    tokio::time::sleep(MINUTES).await;
    assert!(world.all_hold(first), "the last revision stays in force");
    let oldest = world.nodes.iter().filter_map(|node| node.mesh.tracker().confirmed()).min();
    assert!(oldest.expect("confirmed before").elapsed() >= MINUTES - Duration::from_secs(5));
    world.store.down.store(false, SeqCst);
    let second = world.accept(first).await;
    until(BOUND, "second revision", || world.all_hold(second)).await;
    tokio::time::sleep(JOIN * 2).await;
    let ages = world.nodes.iter().map(|node| node.mesh.tracker().confirmed());
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
    let (mut world, first) = joined(6).await;
    let old = world.store.get(KEY).await.expect("answers").expect("accepted");
    let second = world.accept(first).await;
    until(BOUND, "second revision", || world.all_hold(second)).await;
    // Where the store answers, its read is stale: the peers know better.
    *world.store.stale.lock() = Some(old);
    world.store.down.store(case.store_down, SeqCst);
    world.nodes[5].kill();
    let id = if case.same_name { name(5) } else { "replacement".into() };
    world.nodes[5] = world.start(&id, 2, SECRET, address(5));
    let mut accepted = world.nodes[5].accepted.clone();
    accepted.changed().await.expect("published");
    let start = accepted.borrow().as_ref().map(|accepted| accepted.revision);
    assert_eq!(start, Some(second), "it first shows the newest revision");
    // A stale read confirms nothing, and the peers' word is no younger than their own.
    let confirmed = |node: &support::Node| node.mesh.tracker().confirmed();
    let newest = world.nodes[..5].iter().filter_map(confirmed).max();
    assert!(confirmed(&world.nodes[5]) <= newest, "a replacement makes nothing fresh");
}

#[tokio::test(start_paused = true)]
async fn new_instance_with_neither_store_nor_peers_has_no_configuration() {
    let world = World::new(1);
    world.store.down.store(true, SeqCst);
    tokio::time::sleep(MINUTES).await;
    assert_eq!(world.nodes[0].revision(), 0);
    world.store.down.store(false, SeqCst);
    let revision = world.accept(0).await;
    until(BOUND, "store is back", || world.all_hold(revision)).await;
}

#[tokio::test(start_paused = true)]
async fn halves_keep_what_they_have_and_meet_on_the_newest() {
    let (world, first) = joined(9).await;
    let watches = |node: &&support::Node| {
        let members = node.mesh.members();
        role::rank(&members, &node.mesh.local(), "config").is_some_and(|rank| rank < 2)
    };
    assert!(world.nodes.iter().filter(watches).count() <= 2 * DATA_CENTRES.len());
    // Three instances, one of each data centre, are cut off while the store stands still.
    world.faults.isolate(world.addresses(6..9));
    tokio::time::sleep(Duration::from_secs(20)).await;
    let second = world.accept(first).await;
    until(BOUND, "both halves reach the store", || world.all_hold(second)).await;
    world.faults.heal();
    tokio::time::sleep(JOIN).await;
    assert!(world.all_hold(second));
}

#[tokio::test(start_paused = true)]
async fn paused_instance_catches_up_and_does_not_pull_others_back() {
    let (world, first) = joined(6).await;
    world.faults.pause(address(4));
    world.faults.pause(address(5));
    let mut revision = first;
    for _ in 0..3 {
        revision = world.accept(revision).await;
        tokio::time::sleep(BOUND).await;
    }
    world.faults.resume(address(4));
    world.faults.resume(address(5));
    let newest = revision;
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(world.nodes[..4].iter().all(|node| node.revision() == newest));
    }
    assert!(world.all_hold(newest));
}

#[rstest]
#[case::short(Duration::from_secs(3))]
#[case::long(Duration::from_secs(60))]
#[tokio::test(start_paused = true)]
async fn instance_whose_clock_stood_still_wakes_up_honest(#[case] pause: Duration) {
    let (world, first) = joined(6).await;
    tokio::time::sleep(JOIN).await;
    let sleeper = &world.nodes[4];
    sleeper.gate.pause();
    let slept_from = tokio::time::Instant::now();
    tokio::time::sleep(pause / 2).await;
    let second = world.accept(first).await;
    tokio::time::sleep(pause / 2).await;
    let confirmed = sleeper.mesh.tracker().confirmed().expect("confirmed before");
    assert!(confirmed <= slept_from, "nothing was confirmed meanwhile");
    sleeper.gate.resume();
    for _ in 0..200 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let members = sleeper.mesh.members();
        let dead = members.iter().filter(|member| member.liveness == Liveness::Dead).count();
        assert_eq!(dead, 0, "it gave up a member that lives");
        let others = world.nodes.iter().filter(|node| node.address != sleeper.address);
        assert!(others.clone().all(|node| node.revision() == second));
        if sleeper.revision() == first {
            let age = sleeper.mesh.tracker().confirmed().expect("confirmed").elapsed();
            assert!(age >= pause / 2, "an old revision was confirmed {age:?} ago");
        }
    }
    assert!(world.all_alive() && world.all_hold(second));
}

#[tokio::test(start_paused = true)]
async fn calls_to_the_store_do_not_grow_with_the_data_centre() {
    let mut rates = Vec::new();
    for count in [9, 45] {
        let (world, _) = joined(count).await;
        tokio::time::sleep(Duration::from_secs(10)).await;
        let before = world.store.calls.load(SeqCst);
        tokio::time::sleep(Duration::from_secs(60)).await;
        rates.push((world.store.calls.load(SeqCst) - before) as f64 / 60.0);
    }
    assert!(rates[1] <= rates[0] * 1.1, "{rates:?} calls a second");
}
