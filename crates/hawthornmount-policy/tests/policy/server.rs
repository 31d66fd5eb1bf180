use {
    crate::fleet::{SLOTS, backend, query, release, snapshot},
    hawthornmount_core::snapshot::{Backend, Health, Liveness, Member, Snapshot},
    hawthornmount_policy::{
        Choice, Router,
        adaptive::Adaptive,
        router::{Class, Outcome},
    },
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How many of `count` requests in a row, each ended after `took`, went to each server.
fn spread(
    router: &Adaptive,
    snapshot: &Snapshot,
    count: u32,
    now: Instant,
) -> Vec<(Arc<str>, u32)> {
    let mut spread: Vec<(Arc<str>, u32)> =
        snapshot.backends.iter().map(|one| (one.id.clone(), 0)).collect();
    for _ in 0..count {
        let choice = choose(router, snapshot, now).expect("a server is up");
        let at = spread.iter().position(|(id, _)| *id == choice.server).expect("it is known");
        spread[at].1 += 1;
        router.record_outcome(
            &choice,
            Some(&release(0)),
            Outcome::Answered(Duration::from_millis(50)),
            now,
        );
    }
    spread
}

fn choose(router: &Adaptive, snapshot: &Snapshot, now: Instant) -> Option<Choice> {
    router.choose_server(snapshot, &query(now), &release(0), &[]).ok()
}

fn members(count: usize) -> Arc<[Member]> {
    let member = |at| Member {
        id: format!("entry-{at}").into(),
        incarnation: 1,
        data_centre: "one".into(),
        address: ([127, 0, 0, 1], 9).into(),
        liveness: Liveness::Alive,
        revision: 1,
    };
    (0..count).map(member).collect()
}

fn four() -> Vec<Backend> {
    ["a", "b", "c", "d"].map(|name| backend(name, "one", "north", 1)).to_vec()
}

struct Away {
    change: fn(&mut Backend),
}

#[rstest]
#[case::leaving(Away { change: |one| one.health = Health::Leaving })]
#[case::down(Away { change: |one| one.health = Health::Down })]
#[case::not_loaded(Away { change: |one| one.loaded.clear() })]
#[case::reported_full(Away { change: |one| one.load = 4 * SLOTS })]
#[case::in_another_data_centre(Away { change: |one| one.data_centre = "two".into() })]
#[case::in_another_region(Away {
    change: |one| { one.data_centre = "far".into(); one.region = "south".into(); },
})]
fn requests_stay_away(#[case] case: Away) {
    let mut backends = four();
    (case.change)(&mut backends[1]);
    let snapshot = snapshot(1, backends);
    let router = Adaptive::with_seed(6);
    let spread = spread(&router, &snapshot, 200, Instant::now());
    assert_eq!(spread[1].1, 0, "{spread:?}");
    let others = spread.iter().filter(|(id, _)| **id != *"b");
    assert!(others.clone().all(|(_, count)| *count > 20), "{spread:?}");
}

#[test]
fn full_data_centre_overflows_to_the_region_before_another() {
    let snapshot = snapshot(
        1,
        vec![
            backend("a", "one", "north", 1),
            backend("b", "two", "north", 1),
            backend("c", "far", "south", 1),
        ],
    );
    let router = Adaptive::with_seed(6);
    let now = Instant::now();
    let mut first_at = [None; 3];
    for at in 0..3 * SLOTS {
        let choice = choose(&router, &snapshot, now).expect("there is room");
        let server = usize::from(choice.server.as_bytes()[0] - b'a');
        first_at[server].get_or_insert(at);
    }
    assert!(first_at[0] < first_at[1] && first_at[1] < first_at[2], "{first_at:?}");
    assert!(first_at[2].is_some());
}

#[test]
fn old_report_draws_no_herd() {
    let now = Instant::now();
    let mut backends = four();
    for (at, one) in backends.iter_mut().enumerate() {
        one.load = if at == 0 { 0 } else { 3 };
        one.reported = Some(now - Duration::from_secs(5));
    }
    let snapshot = snapshot(1, backends);
    let router = Adaptive::with_seed(6);
    let mut to_first = 0;
    for _ in 0..16 {
        let choice = choose(&router, &snapshot, now).expect("there is room");
        to_first += u32::from(*choice.server == *"a");
    }
    assert!(to_first <= 8, "{to_first} of 16 went to the server that was idle 5 s ago");
}

struct Bad {
    ended: Outcome,
    answers: u32,
}

#[rstest]
#[case::failing(Bad { ended: Outcome::Failed(Duration::from_millis(1)), answers: 3 })]
#[case::full(Bad { ended: Outcome::Full(Some(Duration::from_millis(400))), answers: 1 })]
#[case::slow(Bad { ended: Outcome::Answered(Duration::from_millis(800)), answers: 6 })]
fn bad_server_is_shed_and_probed_back(#[case] case: Bad) {
    let snapshot = snapshot(1, four());
    let router = Adaptive::with_seed(6);
    let now = Instant::now();
    spread(&router, &snapshot, 40, now);
    let bad = Choice {
        server: "b".into(),
        address: snapshot.backends[1].address,
        data_centre: "one".into(),
        max_tokens: 16,
    };
    for _ in 0..case.answers {
        router.record_outcome(&bad, Some(&release(0)), case.ended, now);
    }
    let shed = spread(&router, &snapshot, 200, now);
    assert!(shed[1].1 <= 4, "{shed:?}");
    let later = now + Duration::from_secs(30);
    spread(&router, &snapshot, 40, later);
    let back = spread(&router, &snapshot, 200, later);
    assert!(back[1].1 >= 25, "{back:?}");
}

#[test]
fn flapping_server_is_shed_for_longer_each_time() {
    let snapshot = snapshot(1, four());
    let router = Adaptive::with_seed(6);
    let mut now = Instant::now();
    let mut tries = Vec::new();
    for _ in 0..4 {
        let start = now;
        let mut failures = 0;
        while now < start + Duration::from_secs(10) {
            let choice = choose(&router, &snapshot, now).expect("a server is up");
            let is_bad = *choice.server == *"b";
            failures += u32::from(is_bad);
            let took = Duration::from_millis(20);
            let ended = if is_bad { Outcome::Failed(took) } else { Outcome::Answered(took) };
            router.record_outcome(&choice, Some(&release(0)), ended, now);
            now += Duration::from_millis(5);
        }
        tries.push(failures);
    }
    assert!(tries[0] <= 10, "{tries:?}");
    assert!(tries[3] <= 2, "{tries:?}");
}

#[test]
fn all_servers_failing_still_leaves_one_to_try() {
    let snapshot = snapshot(1, four());
    let router = Adaptive::with_seed(6);
    let now = Instant::now();
    for _ in 0..60 {
        let choice = choose(&router, &snapshot, now).expect("one is always tried");
        router.record_outcome(&choice, Some(&release(0)), Outcome::Failed(Duration::ZERO), now);
    }
}

#[test]
fn prefix_keeps_its_server_until_it_is_busy() {
    let snapshot = snapshot(1, four());
    let router = Adaptive::with_seed(6);
    let now = Instant::now();
    let mut long = query(now);
    long.prompt_tokens = 400;
    let ask = || router.choose_server(&snapshot, &long, &release(0), &[]).expect("a server is up");
    let monitor = ask().server;
    let kept = (0..3).filter(|_| ask().server == monitor).count();
    assert_eq!(kept, 3);
    let spread = (0..12).filter(|_| ask().server != monitor).count();
    assert!(spread >= 6, "only {spread} of 12 left the busy server");
}

#[test]
fn capacity_is_what_others_leave_and_at_least_an_equal_part() {
    let now = Instant::now();
    let mut backends = four();
    let router = Adaptive::with_seed(6);
    let mut idle = snapshot(1, backends.clone());
    idle.members = members(4);
    let free = router.concurrency_limit(&idle, &query(now), Class::Engine).expect("it is bounded");
    for one in &mut backends {
        one.load = SLOTS;
    }
    let mut busy = snapshot(1, backends);
    busy.members = members(4);
    let busy = router.concurrency_limit(&busy, &query(now), Class::Engine).expect("it is bounded");
    assert!(free >= f64::from(4 * SLOTS), "{free}");
    assert!(busy < free / 2.0 && busy >= f64::from(SLOTS), "{busy}");
}
