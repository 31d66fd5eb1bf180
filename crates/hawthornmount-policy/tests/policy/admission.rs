use {
    hawthornmount_core::reason::Refusal,
    hawthornmount_policy::admission::{Arrival, Decision, Demand, Due, Rate, Scheduler},
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

fn arrival(account: &str, weight: f64, priority: u8, now: Instant) -> Arrival {
    let deadline = now + Duration::from_secs(600);
    Arrival { account: account.into(), weight, priority, deadline, due: Due::Answer, now }
}

struct Backlog {
    /// Account, weight, priority and number of waiting requests.
    accounts: &'static [(&'static str, f64, u8, usize)],
    /// Number of requests of each account among the next 20 that start.
    started: &'static [usize],
}

#[rstest]
#[case::large_account_can_not_starve_small_one(Backlog {
    accounts: &[("large", 1.0, 0, 100), ("small", 1.0, 0, 10)], started: &[10, 10],
})]
#[case::shares_follow_weights(Backlog {
    accounts: &[("large", 3.0, 0, 100), ("small", 1.0, 0, 10)], started: &[15, 5],
})]
#[case::higher_priority_starts_first(Backlog {
    accounts: &[("low", 9.0, 0, 100), ("high", 1.0, 1, 15)], started: &[5, 15],
})]
#[case::unused_share_goes_to_the_others(Backlog {
    accounts: &[("large", 1.0, 0, 100), ("small", 1.0, 0, 2)], started: &[18, 2],
})]
fn capacity_is_shared_between_accounts(#[case] backlog: Backlog) {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(1.0);
    assert_eq!(scheduler.admit(&arrival("before", 1.0, 0, now)), Decision::Start);
    let mut owners: Vec<(u64, usize)> = Vec::new();
    for (at, (account, weight, priority, count)) in backlog.accounts.iter().enumerate() {
        for _ in 0..*count {
            match scheduler.admit(&arrival(account, *weight, *priority, now)) {
                Decision::Wait(ticket) => owners.push((ticket, at)),
                other => panic!("{account}: {other:?}"),
            }
        }
    }
    let mut started = vec![0; backlog.accounts.len()];
    let mut running: Arc<str> = "before".into();
    for _ in 0..20 {
        scheduler.finish(&running, Some(Duration::from_millis(1)));
        let dispatched = scheduler.dispatch(now);
        assert_eq!(dispatched.start.len(), 1);
        let at = owners.iter().find(|(ticket, _)| *ticket == dispatched.start[0]).unwrap().1;
        started[at] += 1;
        running = backlog.accounts[at].0.into();
    }
    let deviation =
        started.iter().zip(backlog.started).map(|(a, b): (&usize, _)| a.abs_diff(*b)).max();
    assert!(deviation <= Some(1), "started {started:?}, expected {:?}", backlog.started);
}

#[test]
fn request_whose_deadline_can_not_be_met_is_refused_on_arrival() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(1.0);
    for _ in 0..50 {
        scheduler.admit(&arrival("a", 1.0, 0, now));
    }
    let mut urgent = arrival("a", 1.0, 0, now);
    urgent.deadline = now + Duration::from_secs(1);
    let Decision::Refuse { reason, retry_after } = scheduler.admit(&urgent) else {
        panic!("the request was not refused");
    };
    assert_eq!(reason, Refusal::Deadline);
    assert!(retry_after >= Duration::from_secs(4), "{retry_after:?}");
}

#[test]
fn queues_are_bounded_per_account_and_in_total() {
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
    let over_share = reasons.iter().filter(|one| **one == Refusal::OverShare).count();
    let overloaded = reasons.iter().filter(|one| **one == Refusal::Overloaded).count();
    assert_eq!((over_share, overloaded, scheduler.waiting()), (4, 129, 512));
}

#[test]
fn waiting_request_that_can_no_longer_meet_its_deadline_expires() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(1.0);
    scheduler.admit(&arrival("a", 1.0, 0, now));
    let mut urgent = arrival("a", 1.0, 0, now);
    urgent.deadline = now + Duration::from_secs(1);
    let Decision::Wait(ticket) = scheduler.admit(&urgent) else {
        panic!("the request does not wait")
    };
    scheduler.finish(&"a".into(), None);
    let dispatched = scheduler.dispatch(now + Duration::from_millis(990));
    assert_eq!((dispatched.expired, dispatched.start), (vec![ticket], vec![]));
    assert_eq!((scheduler.running(), scheduler.waiting()), (0, 0));
}

#[test]
fn canceled_request_leaves_the_queue() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(1.0);
    scheduler.admit(&arrival("a", 1.0, 0, now));
    let Decision::Wait(ticket) = scheduler.admit(&arrival("a", 1.0, 0, now)) else { panic!() };
    assert!(scheduler.cancel(&"a".into(), ticket));
    assert!(!scheduler.cancel(&"a".into(), ticket));
    assert_eq!(scheduler.waiting(), 0);
}

struct ShareCase {
    peer_rate: f32,
    age: Duration,
    /// Bounds of the expected share.
    share: (f64, f64),
}

#[rstest]
#[case::equal_demand(ShareCase { peer_rate: 50.0, age: Duration::ZERO, share: (0.4, 0.6) })]
#[case::no_demand_at_the_peer(ShareCase { peer_rate: 0.0, age: Duration::ZERO, share: (1.0, 1.0) })]
#[case::most_demand_at_the_peer(ShareCase {
    peer_rate: 5e3, age: Duration::ZERO, share: (0.01, 0.05),
})]
#[case::not_a_number(ShareCase { peer_rate: f32::NAN, age: Duration::ZERO, share: (1.0, 1.0) })]
#[case::stale_rates(ShareCase { peer_rate: 5e3, age: Duration::from_secs(6), share: (1.0, 1.0) })]
fn local_share_follows_the_demand_at_the_peers(#[case] case: ShareCase) {
    let start = Instant::now();
    let mut demand = Demand::default();
    let rate = Rate { account: "a".into(), per_second: case.peer_rate };
    let now = start + Duration::from_secs(10);
    demand.update_peer(&"peer".into(), vec![rate], now - case.age);
    for at in 0..500 {
        demand.record_arrival(&"a".into(), start + Duration::from_millis(20) * at);
    }
    let share = demand.local_share(&"a".into(), now);
    assert!(share >= case.share.0 && share <= case.share.1, "{share}");
}
