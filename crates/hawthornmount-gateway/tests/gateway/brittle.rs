//! Brittle servers under overload, with fleets of many sizes: simulated instances and servers.

use {
    hawthornmount_gateway::{
        limit::{
            Limits,
            room::{Report, Seen, Slots},
        },
        load::{Load, Stats},
        registry::{Readiness, Server},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rstest::rstest,
    std::time::{Duration, Instant},
};

const STEP: Duration = Duration::from_millis(10);
const RUN_TIME: Duration = Duration::from_millis(200);
const WARM_UP: Duration = Duration::from_secs(3);
const LOADED_TIME: Duration = Duration::from_secs(8);
const DOWN_TIME: Duration = Duration::from_secs(3);
/// Requests that a server can reject in a second.
const REJECTIONS: usize = 5;
/// Load as a multiple of what the servers can serve.
const LOAD: f64 = 2.0;

struct Case {
    instances: usize,
    servers: usize,
    slots: u32,
    /// Whether half of the load comes to a tenth of the instances.
    is_uneven: bool,
}

struct Node {
    limits: Limits,
    stats: Vec<Stats>,
    /// Requests of its callers, and those of them that were served.
    asked: usize,
    served: usize,
}

#[derive(Default)]
struct Machine {
    running: u32,
    rejected: Vec<Instant>,
    down_until: Option<Instant>,
}

/// A request in flight: at which instance and server, and when it ends.
struct Run {
    node: usize,
    server: usize,
    until: Instant,
}

fn server(number: usize, slots: u32) -> Server {
    Server {
        id: format!("i-{number}").into(),
        start_ms: 1,
        service: "plain".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "a".into(),
        version: "v1".into(),
        slots,
        readiness: Readiness::Ready,
        cold_remaining: Duration::ZERO,
    }
}

/// Load: twice what the servers can serve, for 8 s.
#[rstest]
#[case::three(Case { instances: 3, servers: 3, slots: 6, is_uneven: false })]
#[case::six(Case { instances: 6, servers: 18, slots: 48, is_uneven: true })]
#[case::more_instances_than_slots(Case { instances: 75, servers: 12, slots: 6, is_uneven: false })]
#[case::three_hundred(Case { instances: 300, servers: 18, slots: 48, is_uneven: false })]
#[case::three_hundred_uneven(Case { instances: 300, servers: 18, slots: 48, is_uneven: true })]
fn brittle_servers_stand_while_fleets_of_any_size_overload_them(#[case] case: Case) {
    let Case { instances, servers, slots, is_uneven } = case;
    let mut rng = SmallRng::seed_from_u64(instances as u64);
    let origin = Instant::now();
    let names: Vec<_> = (0..instances).map(|number| format!("instance-{number}").into()).collect();
    let start = |name: &std::sync::Arc<str>| {
        let mut limits = Limits::new(name.clone());
        limits.set_members(names.clone(), origin);
        limits.record_brittle(&"plain".into(), origin);
        Node { limits, stats: vec![Stats::default(); servers], asked: 0, served: 0 }
    };
    let mut nodes: Vec<Node> = names.iter().map(start).collect();
    let known: Vec<Server> = (0..servers).map(|number| server(number, slots)).collect();
    let position = |holder| names.iter().position(|name| *name == holder).expect("a member");
    let holders_of = |one: &Server| nodes[0].limits.holders(one, origin).into_iter().map(position);
    let holders: Vec<Vec<usize>> = known.iter().map(|one| holders_of(one).collect()).collect();
    let mut machines: Vec<Machine> = (0..servers).map(|_| Machine::default()).collect();
    let capacity = (servers as f64 * f64::from(slots)) / RUN_TIME.as_secs_f64();
    let per_step = LOAD * capacity * STEP.as_secs_f64();
    let (mut runs, mut falls, mut served, mut now): (Vec<Run>, _, _, _) = (vec![], 0, 0, origin);
    while now < origin + WARM_UP + LOADED_TIME {
        now += STEP;
        for run in runs.extract_if(.., |run| run.until <= now) {
            let (node, machine) = (&mut nodes[run.node], &mut machines[run.server]);
            let stats = &mut node.stats[run.server];
            stats.in_flight -= 1;
            if machine.down_until.is_some() {
                continue;
            }
            machine.running -= 1;
            stats.record_report(
                Load { running: machine.running, waiting: 0, slots, slowdown_percent: None },
                now,
            );
            node.limits.record_brittle(&"plain".into(), now);
            served += usize::from(now > origin + WARM_UP);
        }
        for machine in &mut machines {
            if machine.down_until.is_some_and(|until| now >= until) {
                *machine = Machine::default();
            }
        }
        let arrivals = (per_step + rng.random::<f64>()).floor() as usize;
        for _ in 0..arrivals {
            let few = (instances / 10).max(1);
            let is_few = is_uneven && rng.random_bool(0.5);
            let at = rng.random_range(0..if is_few { few } else { instances });
            let origin_at = at;
            nodes[at].asked += 1;
            let (of, draw) = (rng.random_range(0..servers), rng.random::<f64>());
            let mut find = |node: &mut Node| {
                let open = |one: &usize| {
                    let seen = node.stats[*one].seen(now);
                    node.limits.has_room(&known[*one], &seen, now)
                        && machines[*one].down_until.is_none()
                };
                let open: Vec<usize> = (0..servers).filter(open).collect();
                (!open.is_empty()).then(|| open[rng.random_range(0..open.len())])
            };
            let own = find(&mut nodes[at]);
            // An instance without room passes the request to one that holds a share, once.
            let at = if own.is_some() {
                at
            } else {
                let holders = &holders[of];
                holders[(draw * holders.len() as f64) as usize]
            };
            let Some(chosen) = own.or_else(|| find(&mut nodes[at])) else { continue };
            let node = &mut nodes[at];
            let machine = &mut machines[chosen];
            if machine.running < slots {
                machine.running += 1;
                node.stats[chosen].in_flight += 1;
                runs.push(Run { node: at, server: chosen, until: now + RUN_TIME });
                nodes[origin_at].served += 1;
                continue;
            }
            node.limits.record_rejection(&known[chosen], node.stats[chosen].in_flight, now);
            machine.rejected.retain(|at| now < *at + Duration::from_secs(1));
            machine.rejected.push(now);
            if machine.rejected.len() > REJECTIONS {
                falls += usize::from(now > origin + WARM_UP);
                machine.down_until = Some(now + DOWN_TIME);
                machine.running = 0;
            }
        }
    }
    assert!(falls <= 2 + servers / 10, "{falls} of {servers} servers fell over");
    let goodput = f64::from(served as u32) / LOADED_TIME.as_secs_f64() / capacity;
    assert!(goodput >= 0.6, "{goodput:.2} of what the servers can serve is served");
    let shares = nodes.iter().filter(|node| node.asked >= 20);
    let least = shares.map(|node| node.served as f64 / node.asked as f64).min_by(f64::total_cmp);
    assert!(least > Some(0.05), "callers of an instance are served {least:?} of their requests");
}

#[rstest]
fn shares_of_all_instances_fit_into_the_slots(
    #[values(1, 3, 9, 75, 300)] instances: usize,
    #[values(1, 6, 48)] slots: u32,
) {
    let share = |rank| Slots { count: slots, instances, rank }.share();
    assert_eq!((0..instances).map(share).sum::<u32>(), slots);
}

struct Room {
    in_flight: u32,
    /// What the server reported: requests, those that wait, and this instance's.
    report: Option<(u32, u32, u32)>,
    has_room: bool,
}

/// Six slots, three instances: each has a share of two.
#[rstest]
#[case::within_the_share(Room { in_flight: 1, report: None, has_room: true })]
#[case::share_is_used(Room { in_flight: 2, report: None, has_room: false })]
#[case::free_by_the_report(Room { in_flight: 2, report: Some((2, 0, 2)), has_room: true })]
#[case::full_by_the_report(Room { in_flight: 2, report: Some((6, 0, 2)), has_room: false })]
#[case::requests_wait(Room { in_flight: 2, report: Some((2, 1, 2)), has_room: false })]
#[case::own_part_of_what_was_free_is_used(Room { in_flight: 4, report: Some((2, 0, 2)), has_room: false })]
fn room_follows_from_the_share_and_the_last_report(#[case] room: Room) {
    let slots = Slots { count: 6, instances: 3, rank: 0 };
    let report = room.report.map(|(requests, waiting, in_flight)| Report {
        requests,
        waiting,
        in_flight,
        draw: 0.5,
    });
    let seen = Seen { in_flight: room.in_flight, report };
    assert_eq!(slots.has_room(&seen, false), room.has_room);
}
