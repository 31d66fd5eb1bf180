//! Belief about the links to the servers, and the choice of a way around them.

use {
    hawthornmount_core::id::ServiceId,
    hawthornmount_fleet::wire::Reject,
    hawthornmount_gateway::path::{
        links::{Check, Links, Reach},
        neighbour::{MAX_DECLINES, Neighbour, Neighbours, Query},
        pass::{self, Invalid, PASS, Pass},
    },
    http::{HeaderMap, HeaderValue, Method, Uri},
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    rstest::rstest,
    std::{
        cell::RefCell,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// What happens to the links at a time.
#[derive(Clone, Copy)]
enum Event {
    Contact,
    Failure,
    /// A check of four servers.
    Check {
        reached: usize,
    },
}

struct Case {
    /// Events with their times, in milliseconds.
    events: &'static [(u64, Event)],
    is_waiting: bool,
    /// When it is asked whether a check is due, in milliseconds.
    at: u64,
    needs_check: bool,
}

const FAILED_CHECK: Event = Event::Check { reached: 0 };
const GOOD_CHECK: Event = Event::Check { reached: 4 };

#[rstest]
#[case::idle(Case { events: &[], is_waiting: false, at: 60_000, needs_check: false })]
#[case::failure(Case { events: &[(10, Event::Failure)], is_waiting: false, at: 10, needs_check: true })]
#[case::failure_of_one_server(Case { events: &[(10, Event::Failure), (11, Event::Contact)], is_waiting: false, at: 12, needs_check: false })]
#[case::failure_right_after_a_check(Case { events: &[(10, GOOD_CHECK), (20, Event::Failure)], is_waiting: false, at: 20, needs_check: false })]
#[case::failure_some_time_after_a_check(Case { events: &[(10, GOOD_CHECK), (20, Event::Failure)], is_waiting: false, at: 300, needs_check: true })]
#[case::silence(Case { events: &[(10, Event::Contact)], is_waiting: true, at: 710, needs_check: true })]
#[case::silence_without_requests(Case { events: &[(10, Event::Contact)], is_waiting: false, at: 710, needs_check: false })]
#[case::silence_that_was_checked(Case { events: &[(10, GOOD_CHECK)], is_waiting: true, at: 1_500, needs_check: false })]
#[case::cut_off(Case { events: &[(10, FAILED_CHECK)], is_waiting: false, at: 200, needs_check: false })]
#[case::return_from_a_cut(Case { events: &[(10, FAILED_CHECK)], is_waiting: false, at: 510, needs_check: true })]
fn links_are_checked_when_their_state_is_in_doubt(#[case] case: Case) {
    let origin = Instant::now();
    let mut links = Links::new(origin);
    for (at, event) in case.events {
        let now = origin + Duration::from_millis(*at);
        match event {
            Event::Contact => links.record_contact(now),
            Event::Failure => links.record_failure(now),
            Event::Check { reached } => {
                links.begin_check(now);
                links.record_check(Check { tried: 4, reached: *reached }, now);
            }
        }
    }
    let now = origin + Duration::from_millis(case.at);
    assert_eq!(links.needs_check(case.is_waiting, now), case.needs_check);
}

#[rstest]
#[case::none_reached(Check { tried: 4, reached: 0 }, Reach::CutOff)]
#[case::one_reached(Check { tried: 4, reached: 1 }, Reach::Servers)]
#[case::no_server_known(Check { tried: 0, reached: 0 }, Reach::Servers)]
fn check_decides_whether_servers_are_reached(#[case] check: Check, #[case] reach: Reach) {
    let now = Instant::now();
    let mut links = Links::new(now);
    links.begin_check(now);
    let change = links.record_check(check, now);
    assert_eq!(links.reach(), reach);
    assert_eq!(change, (reach == Reach::CutOff).then_some(Reach::CutOff));
}

fn query<'a>(data_centre: &'a str, service: &'a ServiceId, is_declined: bool) -> Query<'a> {
    Query { service, data_centre, is_declined }
}

/// A service whose servers are reached by `reached` of the connections of each check, in turn.
#[rstest]
#[case::all_are_back(&[0, 4], Reach::Servers)]
#[case::half_are_back(&[0, 2], Reach::Servers)]
#[case::one_was_found(&[0, 1], Reach::CutOff)]
#[case::one_is_found_now_and_then(&[0, 1, 0, 1], Reach::CutOff)]
#[case::one_is_found_again(&[0, 1, 1], Reach::Servers)]
fn belief_does_not_change_with_single_servers(#[case] reached: &[usize], #[case] reach: Reach) {
    let origin = Instant::now();
    let mut links = Links::new(origin);
    for (number, reached) in reached.iter().enumerate() {
        let now = origin + Duration::from_millis(500 * number as u64);
        links.begin_check(now);
        links.record_check(Check { tried: 4, reached: *reached }, now);
    }
    assert_eq!(links.reach(), reach);
}

fn neighbour(number: usize, data_centres: usize) -> Arc<Neighbour> {
    Arc::new(Neighbour {
        id: format!("instance-{number}").into(),
        destination: format!("neighbour/instance-{number}").into(),
        data_centre: format!("dc-{}", number % data_centres).into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        secret: "secret".into(),
    })
}

struct Fleet {
    instances: usize,
    data_centres: usize,
    /// Instances of the first data centre that reach no server.
    cut_off: usize,
}

/// Load: 50 requests at each instance without a path, within a second.
#[rstest]
#[case::one_of_a_small_fleet(Fleet { instances: 6, data_centres: 3, cut_off: 1 })]
#[case::data_centre_of_a_small_fleet(Fleet { instances: 6, data_centres: 3, cut_off: 2 })]
#[case::one_of_300(Fleet { instances: 300, data_centres: 6, cut_off: 1 })]
#[case::most_of_a_data_centre_of_300(Fleet { instances: 300, data_centres: 6, cut_off: 40 })]
#[case::data_centre_of_300(Fleet { instances: 300, data_centres: 6, cut_off: 50 })]
fn requests_without_a_path_spread_over_instances_that_reach_servers(#[case] fleet: Fleet) {
    const REQUESTS: usize = 50;
    let Fleet { instances, data_centres, cut_off } = fleet;
    let rows: Vec<_> = (0..instances).map(|number| neighbour(number, data_centres)).collect();
    let is_cut_off = |one: &Neighbour| {
        let first = (0..instances).filter(|number| number % data_centres == 0).take(cut_off);
        first.map(|number| &rows[number]).any(|row| row.id == one.id)
    };
    let rng = RefCell::new(SmallRng::seed_from_u64(instances as u64));
    let now = Instant::now();
    let service: ServiceId = "service".into();
    let (mut taken, mut declined) = (vec![0_usize; instances], 0);
    for own in rows.iter().filter(|row| is_cut_off(row)) {
        let mut neighbours = Neighbours::default();
        let others = rows.iter().filter(|row| row.id != own.id).cloned().collect();
        neighbours.set(others);
        let mut in_flight = vec![0_u32; instances];
        for request in 0..REQUESTS {
            let now = now + Duration::from_millis(20 * request as u64);
            let mut attempts = 0;
            loop {
                let at = |one: &Neighbour| rows.iter().position(|row| row.id == one.id);
                let load = |one: &Neighbour| at(one).map(|at| in_flight[at]);
                let random = || rng.borrow_mut().random();
                let query = query(&own.data_centre, &service, attempts > 0);
                let chosen = neighbours.choose(query, load, random, now);
                let chosen = chosen.expect("an instance reaches servers");
                attempts += 1;
                assert!(attempts <= 3, "declined three times");
                if is_cut_off(&chosen) {
                    declined += 1;
                    neighbours.record(&chosen, &service, false, now);
                    continue;
                }
                neighbours.record(&chosen, &service, true, now);
                let at = at(&chosen).expect("known");
                in_flight[at] += 1;
                taken[at] += 1;
                break;
            }
        }
    }
    let requests = cut_off * REQUESTS;
    assert_eq!(taken.iter().sum::<usize>(), requests);
    assert!(declined <= 4 * cut_off, "{declined} of {requests} passed in vain");
    let takers = taken.iter().filter(|count| **count > 0).count();
    let most = taken.iter().max().expect("instances");
    let mean = requests as f64 / takers as f64;
    assert!(*most as f64 <= 2.5 * mean.max(4.0), "{most} at one instance, {mean} in the mean");
}

struct Scattered {
    instances: usize,
    data_centres: usize,
    /// Share of the instances of each data centre that reach no server.
    cut_off: f64,
}

/// Load: eight requests a second at each of the instances without a path, which are some of each data
/// centre, for 6 s. Of the first tries at these instances, at least two thirds of those at the others are to be
/// served, from 3 s after the cut on.
#[rstest]
fn first_tries_are_served_while_parts_of_all_data_centres_reach_no_server(
    #[values((3, 3), (75, 6), (300, 6))] (instances, data_centres): (usize, usize),
    #[values(1.0 / 3.0, 0.5, 0.75)] cut_off: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    const REQUEST_INTERVAL: Duration = Duration::from_millis(1_000 / PER_SECOND as u64);
    const PER_SECOND: usize = 8;
    const SECONDS: usize = 6;
    const ALLOWED_SECONDS: usize = 3;
    let fleet = Scattered { instances, data_centres, cut_off };
    let rows: Vec<_> =
        (0..fleet.instances).map(|number| neighbour(number, fleet.data_centres)).collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut order: Vec<usize> = (0..fleet.instances).collect();
    order.shuffle(&mut rng);
    // At least one instance reaches servers, and one does not.
    let count = (fleet.instances as f64 * fleet.cut_off).round() as usize;
    let cut: Vec<usize> = order[..count.clamp(1, fleet.instances - 1)].to_vec();
    let rng = RefCell::new(rng);
    let at = |one: &Neighbour| -> usize {
        let (_, number) = one.id.rsplit_once('-').expect("numbered");
        number.parse().expect("numbered")
    };
    let origin = Instant::now();
    let service: ServiceId = "service".into();
    let mut served = [0_usize; SECONDS];
    let is_cut = |number: usize| cut.contains(&number);
    for own in &cut {
        let mut neighbours = Neighbours::default();
        neighbours.set(rows.iter().filter(|row| row.id != rows[*own].id).cloned().collect());
        for request in 0..SECONDS * PER_SECOND {
            let now = origin + REQUEST_INTERVAL * request as u32;
            let mut tried: Vec<usize> = Vec::new();
            while tried.len() < MAX_DECLINES as usize {
                let load = |one: &Neighbour| (!tried.contains(&at(one))).then_some(0);
                let random = || rng.borrow_mut().random();
                let data_centre = &rows[*own].data_centre;
                let query = query(data_centre, &service, !tried.is_empty());
                let chosen = neighbours.choose(query, load, random, now);
                let Some(chosen) = chosen else { break };
                if !is_cut(at(&chosen)) {
                    neighbours.record(&chosen, &service, true, now);
                    served[request / PER_SECOND] += 1;
                    break;
                }
                neighbours.record(&chosen, &service, false, now);
                tried.push(at(&chosen));
            }
        }
    }
    let least = (cut.len() * PER_SECOND) as f64 * 2.0 / 3.0;
    for (second, served) in served.into_iter().enumerate().skip(ALLOWED_SECONDS) {
        assert!(served as f64 >= least, "{served} served in second {second}, {least:.0} wanted");
    }
}

fn sealed(secret: &str) -> HeaderValue {
    let pass = Pass {
        from: "one".into(),
        to: "two".into(),
        request: "r1".into(),
        head: pass::digest(&Method::POST, &Uri::from_static("/a?b=1")),
    };
    pass.seal(secret)
}

#[rstest]
#[case::none(None, "two", "r1", "/a?b=1", Some(Invalid::Missing))]
#[case::valid(Some(sealed("secret")), "two", "r1", "/a?b=1", None)]
#[case::forged(Some(sealed("other")), "two", "r1", "/a?b=1", Some(Invalid::Frame(Reject::Hash)))]
#[case::text(Some(HeaderValue::from_static("xyz")), "two", "r1", "/a?b=1", Some(Invalid::Text))]
#[case::for_another_instance(Some(sealed("secret")), "three", "r1", "/a?b=1", Some(Invalid::Other))]
#[case::of_another_request(Some(sealed("secret")), "two", "r2", "/a?b=1", Some(Invalid::Other))]
#[case::of_another_path(Some(sealed("secret")), "two", "r1", "/a?b=2", Some(Invalid::Other))]
fn only_marked_requests_are_accepted(
    #[case] mark: Option<HeaderValue>,
    #[case] to: &str,
    #[case] request: &str,
    #[case] target: &'static str,
    #[case] invalid: Option<Invalid>,
) {
    let mut headers = HeaderMap::new();
    headers.extend(mark.map(|mark| (PASS, mark)));
    let digest = pass::digest(&Method::POST, &Uri::from_static(target));
    let taken = Pass::take(&mut headers, "secret", to, request, digest);
    assert_eq!(taken.err(), invalid);
    assert!(headers.is_empty(), "the mark is not forwarded");
}
