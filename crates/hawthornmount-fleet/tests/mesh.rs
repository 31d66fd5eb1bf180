//! Members, gossip and questions over a network that fails, on paused time.

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
    support::{SECRET, World, address, name, until},
    tokio::sync::mpsc,
};

const JOIN: Duration = Duration::from_secs(3);
/// Probe, relays, suspicion and a period of slack.
const DETECTION: Duration = Duration::from_secs(12);
const HEAL: Duration = Duration::from_secs(15);

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
async fn instances_join_stay_alive_and_hear_each_payload_once(#[case] case: NetworkCase) {
    let mut world = World::new(12);
    world.faults.set_loss(case.loss);
    world.faults.set_duplication(case.duplication);
    let delay = Duration::from_millis(case.delay_ms);
    world.faults.set_delay(delay, Duration::from_millis(case.jitter_ms));
    until(JOIN * 2, "all joined", || world.all_alive()).await;
    assert!(world.nodes.iter().all(|node| node.mesh.has_joined()), "also those that were asked");
    let mut receivers = Vec::new();
    for node in &mut world.nodes {
        let (sender, receiver) = mpsc::channel(64);
        node.mesh.subscribe(Topic::Demand, sender);
        receivers.push(receiver);
    }
    world.nodes[3].mesh.broadcast(Topic::Demand, Bytes::from_static(b"demand")).expect("fits");
    let dead = |node: &support::Node| {
        node.mesh.members().iter().any(|member| member.liveness == Liveness::Dead)
    };
    for _ in 0..300 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!world.nodes.iter().any(dead), "a live member was given up");
    }
    for (number, receiver) in receivers.iter_mut().enumerate() {
        let mut heard = 0;
        while let Ok(message) = receiver.try_recv() {
            assert_eq!((&*message.from, &*message.payload), (&*name(3), &b"demand"[..]));
            heard += 1;
        }
        assert_eq!(heard, usize::from(number != 3), "instance {number}");
    }
}

#[tokio::test(start_paused = true)]
async fn questions_are_answered_or_fail_with_a_reason() {
    let world = World::new(3);
    until(JOIN, "all joined", || world.all_alive()).await;
    world.nodes[1].mesh.respond_with(Topic::Status, Arc::new(Echo));
    let large = Bytes::from(vec![7; 1_000_000]);
    let requester = &world.nodes[2].mesh;
    let answer = requester.request(&name(1), Topic::Status, large.clone()).await;
    assert_eq!(answer.expect("the peer answers"), large);
    let none = requester.request(&name(1), Topic::Explain, Bytes::new()).await;
    assert!(matches!(none, Err(Error::NoAnswer { .. })), "{none:?}");
    let stranger = requester.request(&"stranger".into(), Topic::Status, Bytes::new()).await;
    assert!(matches!(stranger, Err(Error::NotMember { .. })), "{stranger:?}");
    world.faults.isolate(world.addresses(1..2));
    let cut = requester.request(&name(1), Topic::Status, Bytes::new()).await;
    assert!(matches!(cut, Err(Error::NoAnswer { .. })), "{cut:?}");
    let payload = Bytes::from(vec![0; MAX_PAYLOAD_BYTES + 1]);
    assert!(matches!(requester.broadcast(Topic::Load, payload), Err(Error::TooLarge { .. })));
}

#[tokio::test(start_paused = true)]
async fn silent_member_is_given_up_and_leaving_member_is_shown() {
    let world = World::new(6);
    until(JOIN, "all joined", || world.all_alive()).await;
    world.nodes[5].mesh.leave();
    until(JOIN, "leaving seen", || world.seen_as(5, Liveness::Leaving) == 6).await;
    world.nodes[4].kill();
    world.faults.pause(address(4));
    let given_up = || world.seen_as(4, Liveness::Dead) == 5;
    until(DETECTION, "silent member is dead", given_up).await;
}

#[tokio::test(start_paused = true)]
async fn paused_member_refutes_when_it_wakes_up() {
    let world = World::new(6);
    until(JOIN, "all joined", || world.all_alive()).await;
    world.faults.pause(address(2));
    let is_dead = || world.seen_as(2, Liveness::Dead) >= 5;
    until(DETECTION, "paused member is dead", is_dead).await;
    world.faults.resume(address(2));
    until(HEAL, "it lives again", || world.all_alive()).await;
    let incarnation = world.nodes[0].sees(&name(2)).expect("member").incarnation;
    assert_eq!(incarnation, 1, "a refutation is not another life");
}

#[rstest]
#[case::higher_incarnation(2)]
#[case::clock_behind(0)]
#[tokio::test(start_paused = true)]
async fn restart_at_the_same_address_is_another_life(#[case] incarnation: u64) {
    let mut world = World::new(4);
    until(JOIN, "all joined", || world.all_alive()).await;
    world.nodes[3].kill();
    let node = world.start(&name(3), incarnation, SECRET, address(3));
    world.nodes[3] = node;
    let is_new = |node: &support::Node| {
        node.sees(&name(3))
            .is_some_and(|one| one.incarnation > 1 && one.liveness == Liveness::Alive)
    };
    until(JOIN, "new life seen", || world.nodes.iter().all(is_new)).await;
}

#[tokio::test(start_paused = true)]
async fn another_instance_at_the_address_is_not_mistaken() {
    let mut world = World::new(4);
    until(JOIN, "all joined", || world.all_alive()).await;
    world.nodes[3].kill();
    let node = world.start("replacement", 2, SECRET, address(3));
    world.nodes[3] = node;
    let is_replaced = |node: &support::Node| {
        node.sees("replacement").is_some_and(|one| one.liveness == Liveness::Alive)
            && node.sees(&name(3)).is_none_or(|one| one.liveness == Liveness::Dead)
    };
    until(DETECTION, "replaced", || world.nodes.iter().all(is_replaced)).await;
    assert!(world.nodes[3].dropped("misaddressed") > 0);
}

#[tokio::test(start_paused = true)]
async fn halves_work_alone_and_join_again() {
    let world = World::new(10);
    until(JOIN * 2, "all joined", || world.all_alive()).await;
    world.faults.isolate(world.addresses(0..5));
    let is_alone = |node: &support::Node| node.alive() == 5;
    until(DETECTION * 2, "halves", || world.nodes.iter().all(is_alone)).await;
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(world.nodes.iter().all(is_alone), "a half lost one of its own");
    }
    world.faults.heal();
    until(HEAL, "joined again", || world.all_alive()).await;
}

#[tokio::test(start_paused = true)]
async fn member_cut_from_some_is_kept_by_the_word_of_others() {
    let world = World::new(6);
    until(JOIN, "all joined", || world.all_alive()).await;
    world.faults.cut(address(0), address(1));
    for _ in 0..300 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(world.all_alive(), "a member that others reach was suspected");
    }
}

struct Garbage {
    bytes: Vec<u8>,
    cause: &'static str,
}

#[rstest]
#[case::empty(Garbage { bytes: vec![], cause: "too_short" })]
#[case::noise(Garbage { bytes: vec![1; 60], cause: "hash" })]
#[case::version(Garbage { bytes: vec![9; 60], cause: "version" })]
#[case::large(Garbage { bytes: vec![1; MAX_DATAGRAM_BYTES + 1], cause: "too_large" })]
#[tokio::test(start_paused = true)]
async fn garbage_is_dropped_and_counted(#[case] case: Garbage) {
    let world = World::new(2);
    until(JOIN, "all joined", || world.all_alive()).await;
    let stranger = world.network.bind(address(50));
    stranger.send(address(0), &case.bytes).await.expect("sent");
    until(JOIN, "counted", || world.nodes[0].dropped(case.cause) == 1).await;
    assert!(world.all_alive());
}

#[tokio::test(start_paused = true)]
async fn other_key_stays_outside() {
    let world = World::new(2);
    let stranger = world.start("stranger", 1, "secret of another fleet", address(50));
    tokio::time::sleep(JOIN).await;
    assert!(world.nodes[0].dropped("hash") > 0);
    assert_eq!((world.nodes[0].alive(), stranger.alive()), (2, 1));
}

#[tokio::test(start_paused = true)]
async fn fleet_changes_its_key_while_it_runs() {
    let mut world = World::new(4);
    until(JOIN, "all joined", || world.all_alive()).await;
    for number in 0..3 {
        world.nodes[number].kill();
        // The old key is one of the others of the new one.
        let node = world.start_rotated(&name(number), 2, address(number));
        world.nodes[number] = node;
        let is_whole = || world.all_alive() && world.seen_as(number, Liveness::Alive) == 4;
        until(DETECTION, "whole again", is_whole).await;
    }
    assert!(world.nodes.iter().all(|node| node.dropped("hash") == 0));
}

#[tokio::test(start_paused = true)]
async fn flood_of_periodic_payloads_does_not_hold_up_a_suspension() {
    const FLOOD: usize = 3_000;
    let world = World::new(6);
    until(JOIN, "all joined", || world.all_alive()).await;
    let (sender, mut receiver) = mpsc::channel(4);
    world.nodes[5].mesh.subscribe(Topic::Suspension, sender);
    let spread = |topic, payload: Vec<u8>| {
        world.nodes[0].mesh.broadcast(topic, payload.into()).expect("fits");
    };
    (0..FLOOD / 2).for_each(|_| spread(Topic::Demand, vec![0; 400]));
    spread(Topic::Suspension, vec![1]);
    (0..FLOOD / 2).for_each(|_| spread(Topic::Demand, vec![0; 400]));
    let heard = tokio::time::timeout(Duration::from_secs(1), receiver.recv()).await;
    assert_eq!(&*heard.expect("in time").expect("open").payload, &[1]);
    assert!(world.nodes[0].dropped("rumour_backlog") > 0, "the flood is bounded and counted");
}
