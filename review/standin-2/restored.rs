//! Case: a key is taken away, and later the store comes back from a copy that is some seconds old
//! while one machine is restarted.
//!
//! Arguments: the folder of the case, and a temporary folder.

mod kit;

use {
    kit::*,
    std::{
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const KEPT_KEY: &str = "n2ctnfzs989anu6wsjnb";
const TAKEN_KEY: &str = "q7dpwk3x05hfzt8m1cye";
/// `revocation_ms` of the site.
const REVOCATION: f64 = 5.0;
/// Time for which the store is away, in milliseconds.
const AWAY: u64 = 700;
/// Time after which the operator writes again what it wrote, in milliseconds.
const RESTATEMENT: u64 = 1_000;

fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"ficu95.example\",\
         \"path_prefix\":\"/cufi504/\",\"kind\":\"safe\",\"timeout_ms\":1000,\
         \"target_latency_ms\":120,\"priority\":2,\"service\":\"agenda\",\"attempts\":2,\
         \"allow_anonymous\":false}}],\"services\":[{{\"name\":\"agenda\",\
         \"health_path\":\"/health\",\"connection_limit\":96}}],\"limits\":{{\"header_bytes\":16384,\
         \"body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":10000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"access_keys\":[{}]}}]}}",
        keys.join(",")
    )
}

/// A request that a client sent.
struct Sent {
    id: String,
    key: &'static str,
    at: f64,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let record = Record::create(&format!("{}/record.txt", arguments[1]));
    let folder = &arguments[2];
    let calm = is_calm();
    let store = Store::start();
    let runs: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let mut servers = Vec::new();
    for (id, zone) in [("i-1", "poa-a"), ("i-2", "poa-a")] {
        let (runs, record, id_text) = (runs.clone(), record.clone(), id.to_owned());
        let work: Work = Arc::new(move |request, wire| {
            let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
            record.line(&format!("server {id_text} runs {attempt}"));
            runs.lock().unwrap().push((attempt, record.now()));
            sleep_ms(15);
            let head = format!("{}Content-Length: 2\r\n\r\n", success(request, &id_text));
            wire.send(&head, b"ok")
        });
        let settings = ServerSettings { id, service: "agenda", zone, slots: 6 };
        servers.push(Server::start(&store, &settings, work));
    }
    store.put("op/config", &configuration(1, &[KEPT_KEY, TAKEN_KEY]));
    let site = Site { folder, store: store.address, memory_mb: 110 };
    let mut gateways = vec![Gateway::start(&site, "poa-a"), Gateway::start(&site, "poa-a")];
    for gateway in &gateways {
        if !gateway.await_ready(Duration::from_secs(10)) {
            eprintln!("a gateway is not ready");
            std::process::exit(2);
        }
    }
    record.line("both machines are ready; configuration 1 holds both keys");

    // Clients: both keys at both machines, ten times a second.
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let end = Instant::now() + Duration::from_secs(13);
    let mut clients = Vec::new();
    for (at, gateway) in gateways.iter().enumerate() {
        for key in [KEPT_KEY, TAKEN_KEY] {
            let (address, name) = (gateway.callers, gateway.name.clone());
            let (sent, answers, record) = (sent.clone(), answers.clone(), record.clone());
            clients.push(thread::spawn(move || {
                let mut number = 0_u64;
                while Instant::now() < end {
                    number += 1;
                    let group = at as u64 * 2 + u64::from(key == TAKEN_KEY) + 1;
                    let id = format!("{group:04x}{number:012x}");
                    let request = format!(
                        "GET /cufi504/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
                         X-Time-Remaining: 2000\r\nX-Api-Key: {key}\r\nConnection: close\r\n\r\n"
                    );
                    let which = if key == TAKEN_KEY { "taken" } else { "kept" };
                    record.line(&format!("client sends {id} with the {which} key to {name}"));
                    sent.lock().unwrap().push(Sent { id: id.clone(), key, at: record.now() });
                    let answer = call(address, &request, b"", Duration::from_secs(2));
                    record.line(&format!("client gets {} for {id}", answer.status));
                    answers.lock().unwrap().push((id, answer.status));
                    sleep_ms(100);
                }
            }));
        }
    }

    sleep_ms(1_000);
    let copy = store.copy();
    record.line("the copy of the store is made");
    sleep_ms(300);
    store.put("op/config", &configuration(2, &[KEPT_KEY]));
    let taken_at = record.now();
    record.line("the store acknowledges configuration 2, which takes one key away");
    sleep_ms(4_800);
    // TROUBLE=drill and TROUBLE=kill leave out one of the two, to show that it takes both.
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    let (has_drill, has_kill) = (!calm && trouble != "kill", !calm && trouble != "drill");
    if has_drill {
        store.set_away(true);
        record.line("the store is away");
    }
    if has_kill {
        gateways[1].kill();
        record.line(&format!("{} is killed", gateways[1].name));
    }
    sleep_ms(AWAY);
    if has_drill {
        store.restore(copy);
        store.set_away(false);
        record.line("the store is back from its copy");
    }
    if has_kill {
        gateways[1].spawn();
        record.line(&format!("{} starts again", gateways[1].name));
    }
    if has_drill {
        sleep_ms(RESTATEMENT);
        store.put("op/config", &configuration(2, &[KEPT_KEY]));
        record.line("the operator has written configuration 2 again");
    }
    for client in clients {
        let _ = client.join();
    }

    // The rule: no request with the key runs that was sent later than `revocation_ms` after the
    // acknowledgement of the configuration that took it away.
    let (runs, answers) = (runs.lock().unwrap(), answers.lock().unwrap());
    let has_run = |id: &str| runs.iter().any(|(run, _)| run == id);
    let sent = sent.lock().unwrap();
    let taken = |one: &&Sent| one.key == TAKEN_KEY;
    let early = sent.iter().filter(taken).filter(|one| one.at < taken_at && has_run(&one.id)).count();
    let kept = sent.iter().filter(|one| one.key == KEPT_KEY && has_run(&one.id)).count();
    let late: Vec<&Sent> = sent
        .iter()
        .filter(taken)
        .filter(|one| one.at > taken_at + REVOCATION && has_run(&one.id))
        .collect();
    record.line(&format!(
        "result: requests with the kept key that ran: {kept}; with the taken key before it was taken: \
         {early}; sent later than 5 s after it was taken: {}; answers: {}",
        late.len(),
        answers.len()
    ));
    for one in &late {
        record.line(&format!(
            "broken: {} was sent {:.3} s after its key was taken away, and ran",
            one.id,
            one.at - taken_at
        ));
    }
    drop(gateways);
    let code = if early == 0 || kept == 0 { 2 } else { i32::from(!late.is_empty()) };
    println!("late={} early={early} kept={kept} exit={code}", late.len());
    std::process::exit(code);
}
