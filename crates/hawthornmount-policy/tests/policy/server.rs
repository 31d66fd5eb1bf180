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

/// Sends `count` requests in sequence, each answered after 50 ms, and returns the number of
/// requests to each server.
fn send_requests(
    router: &Adaptive,
    snapshot: &Snapshot,
    count: u32,
    now: Instant,
) -> Vec<(Arc<str>, u32)> {
    let mut counts: Vec<(Arc<str>, u32)> =
        snapshot.backends.iter().map(|one| (one.id.clone(), 0)).collect();
    for _ in 0..count {
        let choice = choose(router, snapshot, now).expect("a server is up");
        let at = counts
            .iter()
            .position(|(id, _)| *id == choice.server)
            .expect("the server is in the snapshot");
        counts[at].1 += 1;
        router.record_outcome(
            &choice,
            Some(&release(0)),
            Outcome::Answered(Duration::from_millis(50)),
            now,
        );
    }
    counts
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

fn four_servers() -> Vec<Backend> {
    ["a", "b", "c", "d"].map(|name| backend(name, "one", "north", 1)).to_vec()
}

struct UnsuitableServer {
    change: fn(&mut Backend),
}

#[rstest]
#[case::leaving(UnsuitableServer { change: |one| one.health = Health::Leaving })]
#[case::down(UnsuitableServer { change: |one| one.health = Health::Down })]
#[case::not_loaded(UnsuitableServer { change: |one| one.loaded.clear() })]
#[case::reported_full(UnsuitableServer { change: |one| one.load = 4 * SLOTS })]
#[case::in_another_data_centre(UnsuitableServer { change: |one| one.data_centre = "two".into() })]
#[case::in_another_region(UnsuitableServer {
    change: |one| { one.data_centre = "far".into(); one.region = "south".into(); },
})]
fn requests_avoid_a_server_that_is(#[case] case: UnsuitableServer) {
    let mut backends = four_servers();
    (case.change)(&mut backends[1]);
    let snapshot = snapshot(1, backends);
    let router = Adaptive::with_seed(6);
    let counts = send_requests(&router, &snapshot, 200, Instant::now());
    assert_eq!(counts[1].1, 0, "{counts:?}");
    let others = counts.iter().filter(|(id, _)| **id != *"b");
    assert!(others.clone().all(|(_, count)| *count > 20), "{counts:?}");
}

#[test]
fn requests_overflow_from_a_full_data_centre_to_its_region_first() {
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
    let mut first_request = [None; 3];
    for at in 0..3 * SLOTS {
        let choice = choose(&router, &snapshot, now).expect("there is room");
        let server = usize::from(choice.server.as_bytes()[0] - b'a');
        first_request[server].get_or_insert(at);
    }
    assert!(
        first_request[0] < first_request[1] && first_request[1] < first_request[2],
        "{first_request:?}"
    );
    assert!(first_request[2].is_some());
}

#[test]
fn stale_report_causes_no_herding() {
    let now = Instant::now();
    let mut backends = four_servers();
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

struct BadServer {
    outcome: Outcome,
    /// Number of attempts that end with `outcome`.
    attempts: u32,
}

#[rstest]
#[case::failing(BadServer { outcome: Outcome::Failed(Duration::from_millis(1)), attempts: 3 })]
#[case::full(BadServer { outcome: Outcome::Full(Some(Duration::from_millis(400))), attempts: 1 })]
#[case::slow(BadServer { outcome: Outcome::Answered(Duration::from_millis(800)), attempts: 6 })]
fn bad_server_is_avoided_until_probes_succeed(#[case] case: BadServer) {
    let snapshot = snapshot(1, four_servers());
    let router = Adaptive::with_seed(6);
    let now = Instant::now();
    send_requests(&router, &snapshot, 40, now);
    let bad = Choice {
        server: "b".into(),
        address: snapshot.backends[1].address,
        data_centre: "one".into(),
        max_tokens: 16,
    };
    for _ in 0..case.attempts {
        router.record_outcome(&bad, Some(&release(0)), case.outcome, now);
    }
    let avoided = send_requests(&router, &snapshot, 200, now);
    assert!(avoided[1].1 <= 4, "{avoided:?}");
    let later = now + Duration::from_secs(30);
    send_requests(&router, &snapshot, 40, later);
    let recovered = send_requests(&router, &snapshot, 200, later);
    assert!(recovered[1].1 >= 25, "{recovered:?}");
}

#[test]
fn failing_server_is_ejected_for_longer_each_time() {
    let snapshot = snapshot(1, four_servers());
    let router = Adaptive::with_seed(6);
    let mut now = Instant::now();
    let mut failures_per_period = Vec::new();
    for _ in 0..4 {
        let start = now;
        let mut failures = 0;
        while now < start + Duration::from_secs(10) {
            let choice = choose(&router, &snapshot, now).expect("a server is up");
            let is_bad = *choice.server == *"b";
            failures += u32::from(is_bad);
            let took = Duration::from_millis(20);
            let outcome = if is_bad { Outcome::Failed(took) } else { Outcome::Answered(took) };
            router.record_outcome(&choice, Some(&release(0)), outcome, now);
            now += Duration::from_millis(5);
        }
        failures_per_period.push(failures);
    }
    assert!(failures_per_period[0] <= 10, "{failures_per_period:?}");
    assert!(failures_per_period[3] <= 2, "{failures_per_period:?}");
}

#[test]
fn a_server_is_chosen_even_if_all_of_them_fail() {
    let snapshot = snapshot(1, four_servers());
    let router = Adaptive::with_seed(6);
    let now = Instant::now();
    for _ in 0..60 {
        let choice = choose(&router, &snapshot, now).expect("a server is always chosen");
        router.record_outcome(&choice, Some(&release(0)), Outcome::Failed(Duration::ZERO), now);
    }
}

#[test]
fn requests_with_one_prefix_share_a_server_until_it_is_busy() {
    let snapshot = snapshot(1, four_servers());
    let router = Adaptive::with_seed(6);
    let now = Instant::now();
    let mut long_query = query(now);
    long_query.prompt_tokens = 400;
    let choose =
        || router.choose_server(&snapshot, &long_query, &release(0), &[]).expect("a server is up");
    let preferred = choose().server;
    let kept = (0..3).filter(|_| choose().server == preferred).count();
    assert_eq!(kept, 3);
    let elsewhere = (0..12).filter(|_| choose().server != preferred).count();
    assert!(elsewhere >= 6, "only {elsewhere} of 12 went to another server");
}

#[test]
fn concurrency_limit_is_what_other_instances_leave_and_at_least_an_equal_share() {
    let now = Instant::now();
    let mut backends = four_servers();
    let router = Adaptive::with_seed(6);
    let mut idle = snapshot(1, backends.clone());
    idle.members = members(4);
    let limit_if_idle =
        router.concurrency_limit(&idle, &query(now), Class::Engine).expect("there is a limit");
    for one in &mut backends {
        one.load = SLOTS;
    }
    let mut busy = snapshot(1, backends);
    busy.members = members(4);
    let limit_if_busy =
        router.concurrency_limit(&busy, &query(now), Class::Engine).expect("there is a limit");
    assert!(limit_if_idle >= f64::from(4 * SLOTS), "{limit_if_idle}");
    assert!(
        limit_if_busy < limit_if_idle / 2.0 && limit_if_busy >= f64::from(SLOTS),
        "{limit_if_busy}"
    );
}
