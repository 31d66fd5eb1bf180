//! Reads settings and reports all problems in them at once.

use {
    super::Settings,
    hawthornmount_core::settings::{Problem, check_machine, schema::Schema},
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
};

/// Shortest bound on the acceptance of revoked keys: several calls to the store have to fit in it.
const MIN_REVOCATION: Duration = Duration::from_secs(1);
/// Shortest bound on the propagation of configurations: two calls to the store have to fit in it.
const MIN_PROPAGATION: Duration = Duration::from_millis(2_000);
/// Log levels.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Examples and checks of the settings of a gateway.
pub const SCHEMA: Schema<Settings> = Schema { example, check };

/// Returns a valid value of a setting.
fn example(name: &str) -> Value {
    match name {
        "instance" => json!("attica-a-1"),
        "data_centre" => json!("attica-a"),
        "regions" => json!({ "attica-a": "attica" }),
        "callers" => json!("127.0.0.1:8080"),
        "readiness" => json!("127.0.0.1:8081"),
        "operators" => json!("127.0.0.1:9100"),
        "peers" => json!("127.0.0.1:9200"),
        "neighbours" => json!("127.0.0.1:9201"),
        "store" => json!("127.0.0.1:2379"),
        "revocation_ms" => json!(5_000),
        "propagation_ms" => json!(2_500),
        "evacuation_ms" => json!(5_000),
        "registration_interval_ms" => json!(1_200),
        "adaptation" => json!("stated"),
        "requirements" => json!([]),
        "cold" => json!({ "overshoot": 1.5, "slack": 5 }),
        "allowed_exposure" => json!(0.12),
        "exposure_slack" => json!(30),
        "retries" => json!({ "ratio": 0.9, "slack": 50, "window_ms": 10_000 }),
        "grace_ms" => json!(8_000),
        "memory_mb" => json!(260),
        "file_descriptors" => json!(4_100),
        "log" => json!("info"),
        _ => Value::Null,
    }
}

fn check(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (path, name) in [("instance", &settings.instance), ("data_centre", &settings.data_centre)] {
        if name.trim().is_empty() {
            problems.push(Problem::new(path, "is empty", "give it a name"));
        }
    }
    if !settings.regions.contains(&settings.data_centre) {
        let what = format!("does not name the region of {}", settings.data_centre);
        problems.push(Problem::new("regions", &what, "add the data centre with its region"));
    }
    check_addresses(settings, &mut problems);
    check_ranges(settings, &mut problems);
    problems
}

fn check_addresses(settings: &Settings, problems: &mut Vec<Problem>) {
    let mut own: Vec<(&str, SocketAddr)> =
        vec![("callers", settings.callers), ("readiness", settings.readiness)];
    own.extend(settings.operators.map(|address| ("operators", address)));
    own.extend(settings.peers.map(|address| ("peers", address)));
    own.extend(settings.neighbours.map(|address| ("neighbours", address)));
    for (at, (path, address)) in own.iter().enumerate() {
        let clash = own[..at].iter().find(|(_, other)| other == address && address.port() != 0);
        if let Some((other, _)) = clash {
            let what = format!("is the same address as {other}");
            problems.push(Problem::new(path, &what, "give each its own port"));
        }
    }
}

fn check_ranges(settings: &Settings, problems: &mut Vec<Problem>) {
    if settings.revocation < MIN_REVOCATION {
        let remedy = format!("give at least {}", MIN_REVOCATION.as_millis());
        problems.push(Problem::new("revocation_ms", "is too short", &remedy));
    }
    if settings.propagation < MIN_PROPAGATION {
        let remedy = format!("give at least {}", MIN_PROPAGATION.as_millis());
        problems.push(Problem::new("propagation_ms", "is too short", &remedy));
    }
    if settings.evacuation.is_some_and(|bound| bound < MIN_PROPAGATION) {
        let remedy = format!("give at least {}", MIN_PROPAGATION.as_millis());
        problems.push(Problem::new("evacuation_ms", "is too short", &remedy));
    }
    if settings.heartbeat.is_some_and(|interval| interval.is_zero()) {
        problems.push(Problem::new(
            "registration_interval_ms",
            "is 0",
            "give the interval of the entries",
        ));
    }
    if !(0.1..=100.0).contains(&settings.cold.overshoot) {
        problems.push(Problem::new("cold.overshoot", "is out of range", "give 0.1 to 100"));
    }
    if !(0.0..=10_000.0).contains(&settings.cold.slack) {
        problems.push(Problem::new("cold.slack", "is out of range", "give 0 to 10000"));
    }
    if !(0.01..=1.0).contains(&settings.allowed_exposure) {
        problems.push(Problem::new("allowed_exposure", "is out of range", "give 0.01 to 1"));
    }
    if !(0.0..=100_000.0).contains(&settings.exposure_slack) {
        problems.push(Problem::new("exposure_slack", "is out of range", "give 0 to 100000"));
    }
    let retries = &settings.retries;
    if !(0.0..=10.0).contains(&retries.ratio) {
        problems.push(Problem::new("retries.ratio", "is out of range", "give 0 to 10"));
    }
    if retries.slack.is_nan() || retries.slack < 0.0 {
        problems.push(Problem::new("retries.slack", "is below 0", "give 0 or more"));
    }
    if retries.window.is_zero() {
        problems.push(Problem::new("retries.window_ms", "is 0", "give at least 1"));
    }
    if settings.grace.is_zero() {
        problems.push(Problem::new(
            "grace_ms",
            "is 0",
            "give the time until the process is killed",
        ));
    }
    problems.extend(check_machine(settings.memory_mb, settings.file_descriptors));
    if !LEVELS.contains(&&*settings.log) {
        let remedy = format!("use {}", LEVELS.join(", "));
        problems.push(Problem::new("log", "is not a level", &remedy));
    }
}
