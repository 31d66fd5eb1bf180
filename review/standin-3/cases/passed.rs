//! Rule CONFIG: a machine regresses. The machines of one zone are partitioned from all servers while a route
//! moves from service to service. They pass requests on to machines of other zones, which know other
//! configurations.

use {
    super::{Record, attempt_id},
    crate::{
        fleet::{Machine, ZONES},
        http,
        server::{self, Behaviour, Run, Runs},
        store::Store,
    },
    std::{
        path::Path,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Services to which the route moves, one with each version of the configuration.
const SERVICES: usize = 5;
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// `rollback_slack_ms` of the deployments.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// Time between two configurations, and between two requests of a client.
const CHANGE_GAP: Duration = Duration::from_millis(1_300);
/// Machines of each zone, and clients of each machine that has any.
const MACHINES: usize = 2;
const CLIENTS: usize = 3;
const REQUEST_GAP: Duration = Duration::from_millis(25);

struct Sent {
    at: Instant,
    machine: String,
    id: String,
    answered: String,
}

fn config(version: usize) -> String {
    let service = |number: usize| {
        format!(
            r#"{{"name":"service-{number}","health_path":"/health","connection_limit":110,"protocol":"h1","transport_security":false}}"#
        )
    };
    let services: Vec<String> = (1..=SERVICES).map(service).collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"ficu95.example","path_prefix":"/cufi504/","kind":"safe","timeout_ms":3000,"target_latency_ms":200,"priority":2,"service":"service-{version}","attempts":3,"allow_anonymous":false}}],"services":[{}],"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","access_keys":["{KEY}"],"priority":1}}]}}"#,
        services.join(",")
    )
}

pub fn run(temporary: &Path, has_trouble: bool, record: &mut Record) -> bool {
    let store = Store::new();
    let runs: Runs = Arc::default();
    let behave: Behaviour = Arc::new(|request, stream| {
        use std::io::Write;
        stream.write_all(&server::sealed(request, "200 OK", "done")).is_ok()
    });
    let mut servers = Vec::new();
    let mut entries = Vec::new();
    for number in 1..=SERVICES {
        for zone in ZONES {
            let (service, id) = (format!("service-{number}"), format!("i-{number}-{zone}"));
            let address = server::start(&service, &id, runs.clone(), behave.clone());
            servers.push(address);
            entries.push((id, service, address, zone));
        }
    }
    let beat = move |store: &Store, sequence: u64| {
        for (id, service, address, zone) in &entries {
            let entry = format!(
                r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":{sequence}}}"#
            );
            store.put(&format!("servers/{id}"), &entry);
        }
    };
    store.put("op/config", &config(1));
    beat(&store, 1);
    let is_over = Arc::new(AtomicBool::new(false));
    let beats = {
        let (store, is_over) = (store.clone(), is_over.clone());
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                beat(&store, sequence);
            }
        })
    };
    let mut machines: Vec<Machine> = Vec::new();
    for zone in ZONES {
        for number in 1..=MACHINES {
            let name = format!("frontend-{zone}-{number}");
            machines.push(Machine::start(temporary, &name, zone, &store, &servers));
        }
        // As after a restart in turn, the zones read the store at different times.
        thread::sleep(Duration::from_millis(400));
    }
    machines.iter().for_each(Machine::wait_ready);
    thread::sleep(Duration::from_secs(4));

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    // One machine of the zone that is cut off, and one of each other zone.
    let called = machines.iter().step_by(MACHINES);
    let called: Vec<&Machine> = called.flat_map(|machine| [machine; CLIENTS]).collect();
    let clients: Vec<_> = called
        .into_iter()
        .map(|machine| {
            let (sent, is_over) = (sent.clone(), is_over.clone());
            let (name, address) = (machine.name.clone(), machine.callers);
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let (id, at) = (attempt_id(), Instant::now());
                    let head = format!(
                        "GET /cufi504/fi50/2f HTTP/1.1\r\nHost: ficu95.example\r\n\
                         X-Attempt-Id: {id}\r\nX-Time-Remaining: 3000\r\nX-Api-Key: {KEY}\r\n\
                         Connection: close\r\n\r\n"
                    );
                    let answer = http::call(address, &head, b"", Duration::from_secs(4));
                    let answered = match answer {
                        Ok(answer) => answer.status().to_string(),
                        Err(cause) => cause,
                    };
                    let machine = name.clone();
                    sent.lock().unwrap().push(Sent { at, machine, id, answered });
                    thread::sleep(REQUEST_GAP);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        for machine in &machines[..MACHINES] {
            record
                .line(Instant::now(), &format!("{} is partitioned from all servers", machine.name));
            machine.links.iter().for_each(server::Link::cut);
        }
    }
    thread::sleep(Duration::from_millis(1_500));
    for version in 2..=SERVICES {
        let at = store.put("op/config", &config(version));
        record.line(
            at,
            &format!("version {version} is acknowledged: the route goes to service-{version}"),
        );
        thread::sleep(CHANGE_GAP);
    }
    if has_trouble {
        record.line(Instant::now(), "the partition ends");
        for machine in &machines[..MACHINES] {
            machine.links.iter().for_each(server::Link::heal);
        }
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client ends");
    }
    beats.join().expect("the servers' beats end");
    judge(&sent.lock().unwrap(), &runs.lock().unwrap(), record)
}

/// Returns whether a request that was sent later than the slack after a server saw the effect of a version,
/// in a request to the same machine, was run as only an older one allows.
fn judge(sent: &[Sent], runs: &[Run], record: &mut Record) -> bool {
    let version = |run: &Run| run.service["service-".len()..].parse::<usize>().expect("a number");
    let handled: Vec<(&Sent, Option<&Run>)> =
        sent.iter().map(|one| (one, runs.iter().find(|run| run.id == one.id))).collect();
    let mut lines = Vec::new();
    let mut broken = Vec::new();
    for (one, run) in &handled {
        lines.push((
            one.at,
            format!("sent {} to {}, answered {}", one.id, one.machine, one.answered),
        ));
        let Some(run) = run else { continue };
        lines.push((run.at, format!("run  {} by {}", run.id, run.server)));
        let newer = handled.iter().filter_map(|(other, seen)| Some((other, (*seen)?))).filter(
            |(other, seen)| {
                other.machine == one.machine
                    && version(seen) > version(run)
                    && seen.at + ROLLBACK_SLACK < one.at
            },
        );
        if let Some((other, first)) = newer.min_by_key(|(_, seen)| seen.at) {
            let after = one.at.duration_since(first.at).as_secs_f64() * 1_000.0;
            broken.push((
                one.at,
                format!(
                    "BROKEN {} sent to {} {after:.0} ms after {} ran by {}; it is run by {}",
                    one.id, one.machine, other.id, first.service, run.service
                ),
            ));
        }
    }
    record.lines(lines);
    let counts = (sent.len(), runs.len(), broken.len());
    record.lines(broken);
    let (sent, runs, broken) = counts;
    let text =
        format!("{sent} requests, {runs} runs, {broken} handled as only an older version allows");
    record.line(Instant::now(), &text);
    println!("{text}");
    broken > 0
}
