//! Membership, gossip and requests over a faulty network, on paused time.

mod support;

use {
    async_trait::async_trait,
    bytes::Bytes,
    hawthornmount_core::snapshot::Liveness,
    hawthornmount_fleet::{
        Error, Fleet, Message, Responder, Topic,
        transport::Transport,
        wire::{MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES},
    },
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    support::{Cluster, SECRET, address, name, wait_until},
    tokio::sync::mpsc,
};

const JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for a probe, its relays and the suspicion timeout, with one probe interval of slack.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(12);
const HEAL_TIMEOUT: Duration = Duration::from_secs(15);

struct Echo;

#[async_trait]
impl Responder for Echo {
    async fn respond(&self, message: Message) -> Bytes {
        message.payload
    }
}

struct NetworkCase {
    loss: f64,
    duplication: f64,
    delay_ms: u64,
    jitter_ms: u64,
}

#[rstest]
#[case::clean(NetworkCase { loss: 0.0, duplication: 0.0, delay_ms: 0, jitter_ms: 0 })]
#[case::lossy(NetworkCase { loss: 0.2, duplication: 0.0, delay_ms: 1, jitter_ms: 0 })]
#[case::reordered(NetworkCase { loss: 0.0, duplication: 0.5, delay_ms: 5, jitter_ms: 60 })]
#[tokio::test(start_paused = true)]
async fn instances_join_stay_alive_and_receive_each_payload_once(#[case] case: NetworkCase) {
    let mut cluster = Cluster::new(12);
    cluster.faults.set_loss(case.loss);
    cluster.faults.set_duplication(case.duplication);
    let delay = Duration::from_millis(case.delay_ms);
    cluster.faults.set_delay(delay, Duration::from_millis(case.jitter_ms));
    wait_until(JOIN_TIMEOUT * 2, "all joined", || cluster.all_alive()).await;
    assert!(cluster.nodes.iter().all(|node| node.mesh.has_joined()), "seeds have joined too");
    let mut receivers = Vec::new();
    for node in &mut cluster.nodes {
        let (sender, receiver) = mpsc::channel(64);
        node.mesh.subscribe(Topic::Demand, sender);
        receivers.push(receiver);
    }
    cluster.nodes[3].mesh.broadcast(Topic::Demand, Bytes::from_static(b"demand")).expect("fits");
    let dead = |node: &support::Node| {
        node.mesh.members().iter().any(|member| member.liveness == Liveness::Dead)
    };
    for _ in 0..300 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!cluster.nodes.iter().any(dead), "a live member was marked as dead");
    }
    for (number, receiver) in receivers.iter_mut().enumerate() {
        let mut received = 0;
        while let Ok(message) = receiver.try_recv() {
            assert_eq!((&*message.from, &*message.payload), (&*name(3), &b"demand"[..]));
            received += 1;
        }
        assert_eq!(received, usize::from(number != 3), "instance {number}");
    }
}

#[tokio::test(start_paused = true)]
async fn requests_are_answered_or_fail_with_a_reason() {
    let cluster = Cluster::new(3);
    wait_until(JOIN_TIMEOUT, "all joined", || cluster.all_alive()).await;
    cluster.nodes[1].mesh.respond_with(Topic::Status, Arc::new(Echo));
    let large = Bytes::from(vec![7; 1_000_000]);
    let requester = &cluster.nodes[2].mesh;
    let response = requester.request(&name(1), Topic::Status, large.clone()).await;
    assert_eq!(response.expect("the peer answers"), large);
    let none = requester.request(&name(1), Topic::Explain, Bytes::new()).await;
    assert!(matches!(none, Err(Error::NoResponse { .. })), "{none:?}");
    let stranger = requester.request(&"stranger".into(), Topic::Status, Bytes::new()).await;
    assert!(matches!(stranger, Err(Error::NotMember { .. })), "{stranger:?}");
    cluster.faults.isolate(cluster.addresses(1..2));
    let cut = requester.request(&name(1), Topic::Status, Bytes::new()).await;
    assert!(matches!(cut, Err(Error::NoResponse { .. })), "{cut:?}");
    let payload = Bytes::from(vec![0; MAX_PAYLOAD_BYTES + 1]);
    assert!(matches!(requester.broadcast(Topic::Load, payload), Err(Error::TooLarge { .. })));
}

#[tokio::test(start_paused = true)]
async fn unresponsive_member_is_marked_dead_and_leaving_member_is_marked_leaving() {
    let cluster = Cluster::new(6);
    wait_until(JOIN_TIMEOUT, "all joined", || cluster.all_alive()).await;
    cluster.nodes[5].mesh.leave();
    wait_until(JOIN_TIMEOUT, "leaving seen", || cluster.seen_as(5, Liveness::Leaving) == 6).await;
    cluster.nodes[4].kill();
    cluster.faults.pause(address(4));
    let is_marked_dead = || cluster.seen_as(4, Liveness::Dead) == 5;
    wait_until(DETECTION_TIMEOUT, "unresponsive member is dead", is_marked_dead).await;
}

#[tokio::test(start_paused = true)]
async fn paused_member_refutes_when_resumed() {
    let cluster = Cluster::new(6);
    wait_until(JOIN_TIMEOUT, "all joined", || cluster.all_alive()).await;
    cluster.faults.pause(address(2));
    let is_dead = || cluster.seen_as(2, Liveness::Dead) >= 5;
    wait_until(DETECTION_TIMEOUT, "paused member is dead", is_dead).await;
    cluster.faults.resume(address(2));
    wait_until(HEAL_TIMEOUT, "resumed member is alive", || cluster.all_alive()).await;
    let incarnation = cluster.nodes[0].sees(&name(2)).expect("member").incarnation;
    assert_eq!(incarnation, 1, "a refutation keeps the incarnation");
}

#[rstest]
#[case::higher_incarnation(2)]
#[case::clock_behind(0)]
#[tokio::test(start_paused = true)]
async fn restart_at_the_same_address_gets_a_new_incarnation(#[case] incarnation: u64) {
    let mut cluster = Cluster::new(4);
    wait_until(JOIN_TIMEOUT, "all joined", || cluster.all_alive()).await;
    cluster.nodes[3].kill();
    let node = cluster.start(&name(3), incarnation, SECRET, address(3));
    cluster.nodes[3] = node;
    let is_new = |node: &support::Node| {
        node.sees(&name(3))
            .is_some_and(|one| one.incarnation > 1 && one.liveness == Liveness::Alive)
    };
    wait_until(JOIN_TIMEOUT, "new incarnation seen", || cluster.nodes.iter().all(is_new)).await;
}

#[tokio::test(start_paused = true)]
async fn replacement_at_the_same_address_is_not_taken_for_its_predecessor() {
    let mut cluster = Cluster::new(4);
    wait_until(JOIN_TIMEOUT, "all joined", || cluster.all_alive()).await;
    cluster.nodes[3].kill();
    let node = cluster.start("replacement", 2, SECRET, address(3));
    cluster.nodes[3] = node;
    let is_replaced = |node: &support::Node| {
        node.sees("replacement").is_some_and(|one| one.liveness == Liveness::Alive)
            && node.sees(&name(3)).is_none_or(|one| one.liveness == Liveness::Dead)
    };
    wait_until(DETECTION_TIMEOUT, "replaced", || cluster.nodes.iter().all(is_replaced)).await;
    assert!(cluster.nodes[3].drop_count("misaddressed") > 0);
}

#[tokio::test(start_paused = true)]
async fn partitioned_halves_work_separately_and_merge_after_healing() {
    let cluster = Cluster::new(10);
    wait_until(JOIN_TIMEOUT * 2, "all joined", || cluster.all_alive()).await;
    cluster.faults.isolate(cluster.addresses(0..5));
    let sees_own_half = |node: &support::Node| node.alive_count() == 5;
    wait_until(DETECTION_TIMEOUT * 2, "halves", || cluster.nodes.iter().all(sees_own_half)).await;
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(cluster.nodes.iter().all(sees_own_half), "a half lost one of its members");
    }
    cluster.faults.heal();
    wait_until(HEAL_TIMEOUT, "joined again", || cluster.all_alive()).await;
}

#[tokio::test(start_paused = true)]
async fn member_unreachable_from_one_peer_stays_alive_through_relays() {
    let cluster = Cluster::new(6);
    wait_until(JOIN_TIMEOUT, "all joined", || cluster.all_alive()).await;
    cluster.faults.cut(address(0), address(1));
    for _ in 0..300 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(cluster.all_alive(), "a member that others can reach was suspected");
    }
}

struct InvalidDatagram {
    bytes: Vec<u8>,
    cause: &'static str,
}

#[rstest]
#[case::empty(InvalidDatagram { bytes: vec![], cause: "too_short" })]
#[case::noise(InvalidDatagram { bytes: vec![1; 60], cause: "hash" })]
#[case::version(InvalidDatagram { bytes: vec![9; 60], cause: "version" })]
#[case::large(InvalidDatagram { bytes: vec![1; MAX_DATAGRAM_BYTES + 1], cause: "too_large" })]
#[tokio::test(start_paused = true)]
async fn invalid_datagram_is_dropped_and_counted(#[case] case: InvalidDatagram) {
    let cluster = Cluster::new(2);
    wait_until(JOIN_TIMEOUT, "all joined", || cluster.all_alive()).await;
    let stranger = cluster.network.bind(address(50));
    stranger.send(address(0), &case.bytes).await.expect("sent");
    wait_until(JOIN_TIMEOUT, "counted", || cluster.nodes[0].drop_count(case.cause) == 1).await;
    assert!(cluster.all_alive());
}

#[tokio::test(start_paused = true)]
async fn instance_with_another_secret_does_not_join() {
    let cluster = Cluster::new(2);
    let stranger = cluster.start("stranger", 1, "secret of another fleet", address(50));
    tokio::time::sleep(JOIN_TIMEOUT).await;
    assert!(cluster.nodes[0].drop_count("hash") > 0);
    assert_eq!((cluster.nodes[0].alive_count(), stranger.alive_count()), (2, 1));
}

#[tokio::test(start_paused = true)]
async fn secret_is_rotated_without_losing_members() {
    let mut cluster = Cluster::new(4);
    wait_until(JOIN_TIMEOUT, "all joined", || cluster.all_alive()).await;
    for number in 0..3 {
        cluster.nodes[number].kill();
        // The restarted instance seals with the next secret and still accepts the old one.
        let node = cluster.start_rotated(&name(number), 2, address(number));
        cluster.nodes[number] = node;
        let has_rejoined = || cluster.all_alive() && cluster.seen_as(number, Liveness::Alive) == 4;
        wait_until(DETECTION_TIMEOUT, "rejoined", has_rejoined).await;
    }
    assert!(cluster.nodes.iter().all(|node| node.drop_count("hash") == 0));
}

#[tokio::test(start_paused = true)]
async fn flood_of_periodic_payloads_does_not_delay_a_suspension() {
    const FLOOD: usize = 3_000;
    let cluster = Cluster::new(6);
    wait_until(JOIN_TIMEOUT, "all joined", || cluster.all_alive()).await;
    let (sender, mut receiver) = mpsc::channel(4);
    cluster.nodes[5].mesh.subscribe(Topic::Suspension, sender);
    let spread = |topic, payload: Vec<u8>| {
        cluster.nodes[0].mesh.broadcast(topic, payload.into()).expect("fits");
    };
    (0..FLOOD / 2).for_each(|_| spread(Topic::Demand, vec![0; 400]));
    spread(Topic::Suspension, vec![1]);
    (0..FLOOD / 2).for_each(|_| spread(Topic::Demand, vec![0; 400]));
    let received = tokio::time::timeout(Duration::from_secs(1), receiver.recv()).await;
    assert_eq!(&*received.expect("in time").expect("open").payload, &[1]);
    assert!(cluster.nodes[0].drop_count("rumour_backlog") > 0, "the flood is bounded and counted");
}
