use {
    hawthornmount_core::reason::Refusal,
    hawthornmount_policy::admission::{Arrival, Decision, Demand, Rate, Scheduler},
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

fn arrival(account: &str, weight: f64, priority: u8, now: Instant) -> Arrival {
    let deadline = now + Duration::from_secs(600);
    Arrival { account: account.into(), weight, priority, deadline, now }
}

struct Flood {
    /// Account, weight, priority and requests that wait.
    accounts: &'static [(&'static str, f64, u8, usize)],
    /// Requests of each that the next 20 places go to.
    first: &'static [usize],
}

#[rstest]
#[case::large_can_not_starve_small(Flood {
    accounts: &[("large", 1.0, 0, 100), ("small", 1.0, 0, 10)], first: &[10, 10],
})]
#[case::by_weight(Flood {
    accounts: &[("large", 3.0, 0, 100), ("small", 1.0, 0, 10)], first: &[15, 5],
})]
#[case::by_priority(Flood {
    accounts: &[("later", 9.0, 0, 100), ("first", 1.0, 1, 15)], first: &[5, 15],
})]
#[case::idle_share_is_used(Flood {
    accounts: &[("large", 1.0, 0, 100), ("small", 1.0, 0, 2)], first: &[18, 2],
})]
fn places_are_shared(#[case] flood: Flood) {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(1.0);
    assert_eq!(scheduler.admit(&arrival("before", 1.0, 0, now)), Decision::Start);
    let mut owners: Vec<(u64, usize)> = Vec::new();
    for (at, (account, weight, priority, count)) in flood.accounts.iter().enumerate() {
        for _ in 0..*count {
            match scheduler.admit(&arrival(account, *weight, *priority, now)) {
                Decision::Wait(ticket) => owners.push((ticket, at)),
                other => panic!("{account}: {other:?}"),
            }
        }
    }
    let mut first = vec![0; flood.accounts.len()];
    let mut running: Arc<str> = "before".into();
    for _ in 0..20 {
        scheduler.finish(&running, Some(Duration::from_millis(1)));
        let dispatched = scheduler.dispatch(now);
        assert_eq!(dispatched.start.len(), 1);
        let at = owners.iter().find(|(ticket, _)| *ticket == dispatched.start[0]).unwrap().1;
        first[at] += 1;
        running = flood.accounts[at].0.into();
    }
    let off = first.iter().zip(flood.first).map(|(a, b): (&usize, _)| a.abs_diff(*b)).max();
    assert!(off <= Some(1), "{first:?} in place of {:?}", flood.first);
}

#[test]
fn deadline_that_the_queue_can_not_meet_is_refused_at_once() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(1.0);
    for _ in 0..50 {
        scheduler.admit(&arrival("a", 1.0, 0, now));
    }
    let mut hurried = arrival("a", 1.0, 0, now);
    hurried.deadline = now + Duration::from_secs(1);
    let Decision::Refuse { reason, retry_after } = scheduler.admit(&hurried) else {
        panic!("it waits");
    };
    assert_eq!(reason, Refusal::Deadline);
    assert!(retry_after >= Duration::from_secs(4), "{retry_after:?}");
}

#[test]
fn queues_are_bounded_for_each_account_and_for_all() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(1_000.0);
    for _ in 0..1_000 {
        scheduler.admit(&arrival("running", 1.0, 0, now));
    }
    let mut reasons = Vec::new();
    for account in ["a", "b", "c", "d", "e"] {
        for _ in 0..129 {
            if let Decision::Refuse { reason, .. } = scheduler.admit(&arrival(account, 1.0, 0, now))
            {
                reasons.push(reason);
            }
        }
    }
    let over = reasons.iter().filter(|one| **one == Refusal::OverShare).count();
    let full = reasons.iter().filter(|one| **one == Refusal::Overloaded).count();
    assert_eq!((over, full, scheduler.waiting()), (4, 129, 512));
}

#[test]
fn waiting_request_whose_time_ran_out_is_told_so() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(1.0);
    scheduler.admit(&arrival("a", 1.0, 0, now));
    let mut hurried = arrival("a", 1.0, 0, now);
    hurried.deadline = now + Duration::from_secs(1);
    let Decision::Wait(ticket) = scheduler.admit(&hurried) else { panic!("it does not wait") };
    scheduler.finish(&"a".into(), None);
    let dispatched = scheduler.dispatch(now + Duration::from_millis(990));
    assert_eq!((dispatched.expired, dispatched.start), (vec![ticket], vec![]));
    assert_eq!((scheduler.running(), scheduler.waiting()), (0, 0));
}

#[test]
fn given_up_places_are_given_back() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(1.0);
    scheduler.admit(&arrival("a", 1.0, 0, now));
    let Decision::Wait(ticket) = scheduler.admit(&arrival("a", 1.0, 0, now)) else { panic!() };
    assert!(scheduler.cancel(&"a".into(), ticket));
    assert!(!scheduler.cancel(&"a".into(), ticket));
    assert_eq!(scheduler.waiting(), 0);
}

struct Shared {
    peer: f32,
    age: Duration,
    share: (f64, f64),
}

#[rstest]
#[case::equal(Shared { peer: 50.0, age: Duration::ZERO, share: (0.4, 0.6) })]
#[case::none_elsewhere(Shared { peer: 0.0, age: Duration::ZERO, share: (1.0, 1.0) })]
#[case::most_elsewhere(Shared { peer: 5e3, age: Duration::ZERO, share: (0.01, 0.05) })]
#[case::not_a_number(Shared { peer: f32::NAN, age: Duration::ZERO, share: (1.0, 1.0) })]
#[case::stale(Shared { peer: 5e3, age: Duration::from_secs(6), share: (1.0, 1.0) })]
fn share_follows_the_peers_demand(#[case] case: Shared) {
    let start = Instant::now();
    let mut demand = Demand::default();
    let rate = Rate { account: "a".into(), per_second: case.peer };
    let now = start + Duration::from_secs(10);
    demand.update_peer(&"peer".into(), vec![rate], now - case.age);
    for at in 0..500 {
        demand.record_arrival(&"a".into(), start + Duration::from_millis(20) * at);
    }
    let share = demand.local_share(&"a".into(), now);
    assert!(share >= case.share.0 && share <= case.share.1, "{share}");
}
