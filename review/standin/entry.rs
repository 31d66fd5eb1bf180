//! A server leaves, and another writer writes an entry under its id in which fields are missing.

use {
    crate::{
        Verdict,
        store::Store,
        world::{self, Act, Folder, Record, Service},
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const DRAIN: Duration = Duration::from_millis(2_500);
/// Time from the removal of the entry until the foreign one is written.
const FOREIGN_AFTER: Duration = Duration::from_millis(4_000);
/// Time from the removal of the entry until the server ends.
const EXIT_AFTER: Duration = Duration::from_millis(14_000);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"slot-booking","host":"agenda.example",
"path_prefix":"/slots/","kind":"unsafe","timeout_ms":1000,"target_latency_ms":120,"priority":2,
"service":"agenda-app","attempts":1,"allow_anonymous":false}],"services":[{"name":"agenda-app",
"health_path":"/health","connection_limit":96}],"limits":{"header_bytes":32768,
"body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000},
"tenants":[{"name":"acme","access_keys":["key-of-acme"],"priority":1}]}"#;

pub fn play(record: &Record, is_disturbed: bool) -> Verdict {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let service = Arc::new(Service {
        name: "agenda-app",
        is_engine: false,
        slots: 6,
        start: Duration::from_millis(15),
        events: (0, Duration::ZERO),
        back_after: Duration::from_secs(3),
        plan: Box::new(|_| Act::Answer),
        store: store.clone(),
        record: record.clone(),
        arrivals: Mutex::default(),
        crashes: Mutex::default(),
        runs: Mutex::default(),
        is_over: AtomicBool::new(false),
    });
    service.start(1);
    let folder = Folder::new();
    let fleet = world::start_fleet(&folder, &store, 2)?;
    let callers: Vec<SocketAddr> = fleet.iter().map(|one| one.callers).collect();
    let is_ended = Arc::new(AtomicBool::new(false));
    let (counts, ended) = (Arc::new(Mutex::new((0, 0))), is_ended.clone());
    let (counted, recorded) = (counts.clone(), record.clone());
    let traffic = thread::spawn(move || {
        let mut clients = Vec::new();
        while !ended.load(Ordering::SeqCst) {
            let (counts, record) = (counted.clone(), recorded.clone());
            let gateway = callers[(world::noise() % callers.len() as u64) as usize];
            clients.push(thread::spawn(move || {
                let attempt = format!("{:016x}", world::noise());
                let text = format!(
                    "POST /slots/{attempt} HTTP/1.1\r\nHost: agenda.example\r\n\
                     X-Attempt-Id: {attempt}\r\nX-Time-Remaining: 2000\r\n\
                     X-Api-Key: key-of-acme\r\nConnection: close\r\nContent-Length: 4\r\n\r\nslot"
                );
                let answer = world::call(gateway, &text, Duration::from_secs(2));
                let mut counts = counts.lock().unwrap();
                counts.0 += 1;
                counts.1 += u32::from(answer.status == 200);
                if answer.status != 200 {
                    record.line(&format!("{attempt} at {gateway} is answered {}", answer.status));
                }
            }));
            thread::sleep(Duration::from_millis(33));
        }
        for client in clients {
            let _ = client.join();
        }
    });
    thread::sleep(Duration::from_secs(3));
    let leaving = service.runs.lock().unwrap()[1].clone();
    service.leave(&leaving);
    let left = Instant::now();
    record.line(&format!("the entry of server {} is removed; it goes on serving", leaving.id));
    thread::sleep(FOREIGN_AFTER);
    if is_disturbed {
        let (id, address, zone) = (&leaving.id, leaving.address, leaving.zone);
        let entry = format!(
            "{{\"service\":\"agenda-app\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"ready\"}}"
        );
        store.put(&format!("servers/{id}"), &entry);
        record.line(&format!("another writer writes servers/{id}: {entry}"));
    }
    thread::sleep(EXIT_AFTER - FOREIGN_AFTER);
    record.line(&format!("server {} ends", leaving.id));
    service.exit(&leaving);
    thread::sleep(Duration::from_secs(2));
    is_ended.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    service.is_over.store(true, Ordering::SeqCst);
    drop(fleet);
    let arrivals = service.arrivals.lock().unwrap();
    let mut late = 0;
    for arrival in arrivals.iter().filter(|one| one.server == leaving.id) {
        if arrival.at > left + DRAIN {
            late += 1;
            let after = (arrival.at - left).as_millis();
            record.line(&format!("{} reached it {after} ms after it had gone", arrival.attempt));
        }
    }
    let (sent, served) = *counts.lock().unwrap();
    record.line(&format!("{sent} requests sent, {served} answered 200"));
    record.line(&format!(
        "{late} requests reached the server later than {} ms after it had gone, 0 are allowed",
        DRAIN.as_millis()
    ));
    if served * 2 < sent { None } else { Some(late > 0) }
}
