//! Reads settings and lists everything that is wrong in them at once.

use {
    super::{Settings, problem},
    hawthornmount_core::settings::Problem,
    serde_json::{Map, Value, json},
    std::{net::SocketAddr, time::Duration},
};

/// Problems after which the reading gives up.
const MAX_PROBLEMS: usize = 64;
/// Shortest bound on keys that were taken away: several questions to the store have to fit in.
const MIN_REVOCATION: Duration = Duration::from_secs(1);
/// Shortest bound on new configurations: two questions to the store have to fit in.
const MIN_PROPAGATION: Duration = Duration::from_millis(2_000);
/// Levels of the log.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Returns the settings, or every problem of them.
pub fn read(mut value: Value) -> Result<Settings, Vec<Problem>> {
    let mut problems = Vec::new();
    while problems.len() < MAX_PROBLEMS {
        let error = match serde_path_to_error::deserialize::<_, Settings>(&value) {
            Ok(settings) => {
                problems.extend(check(&settings));
                return if problems.is_empty() { Ok(settings) } else { Err(problems) };
            }
            Err(error) => error,
        };
        let path = error.path().to_string();
        let message = error.inner().to_string();
        let Value::Object(fields) = &mut value else {
            problems.push(problem(".", &message, "write an object of settings"));
            return Err(problems);
        };
        problems.push(repair(fields, &path, &message));
    }
    Err(problems)
}

/// Describes a problem and replaces the value by an example, so that the rest can be read.
fn repair(fields: &mut Map<String, Value>, path: &str, message: &str) -> Problem {
    if message.starts_with("unknown field") && !path.contains('.') {
        let name = quoted(message);
        fields.remove(name);
        let known = message.split_once("expected one of").map_or("", |(_, known)| known.trim());
        return problem(name, "unknown setting", &format!("use one of {known}"));
    }
    if message.starts_with("missing field") && path == "." {
        let name = quoted(message);
        let example = example(name);
        let remedy = format!("set it, for example to {example}");
        fields.insert(name.to_owned(), example);
        return problem(name, "missing", &remedy);
    }
    let name = path.split(['.', '[']).next().unwrap_or(path);
    let example = example(name);
    let remedy = format!("write it as in {example}");
    fields.insert(name.to_owned(), example);
    problem(path, message, &remedy)
}

/// Returns the first name between backticks.
fn quoted(message: &str) -> &str {
    message.split('`').nth(1).unwrap_or_default()
}

/// Returns a valid value of a setting.
fn example(name: &str) -> Value {
    match name {
        "instance" => json!("attica-a-1"),
        "data_centre" => json!("attica-a"),
        "regions" => json!({ "attica-a": "attica" }),
        "callers" => json!("127.0.0.1:8080"),
        "readiness" => json!("127.0.0.1:8081"),
        "operators" => json!("127.0.0.1:9100"),
        "store" => json!("127.0.0.1:2379"),
        "revocation_ms" => json!(5_000),
        "propagation_ms" => json!(2_500),
        "retries" => json!({ "ratio": 0.9, "slack": 50, "window_ms": 10_000 }),
        "grace_ms" => json!(8_000),
        "log" => json!("info"),
        _ => Value::Null,
    }
}

fn check(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (path, name) in [("instance", &settings.instance), ("data_centre", &settings.data_centre)] {
        if name.trim().is_empty() {
            problems.push(problem(path, "is empty", "give it a name"));
        }
    }
    if !settings.regions.contains(&settings.data_centre) {
        let what = format!("does not name the region of {}", settings.data_centre);
        problems.push(problem("regions", &what, "add the data centre with its region"));
    }
    check_addresses(settings, &mut problems);
    check_ranges(settings, &mut problems);
    problems
}

fn check_addresses(settings: &Settings, problems: &mut Vec<Problem>) {
    let mut own: Vec<(&str, SocketAddr)> =
        vec![("callers", settings.callers), ("readiness", settings.readiness)];
    own.extend(settings.operators.map(|address| ("operators", address)));
    for (at, (path, address)) in own.iter().enumerate() {
        let clash = own[..at].iter().find(|(_, other)| other == address && address.port() != 0);
        if let Some((other, _)) = clash {
            let what = format!("is the same address as {other}");
            problems.push(problem(path, &what, "give each its own port"));
        }
    }
}

fn check_ranges(settings: &Settings, problems: &mut Vec<Problem>) {
    if settings.revocation < MIN_REVOCATION {
        let remedy = format!("give at least {}", MIN_REVOCATION.as_millis());
        problems.push(problem("revocation_ms", "is too short", &remedy));
    }
    if settings.propagation < MIN_PROPAGATION {
        let remedy = format!("give at least {}", MIN_PROPAGATION.as_millis());
        problems.push(problem("propagation_ms", "is too short", &remedy));
    }
    let retries = &settings.retries;
    if !(0.0..=10.0).contains(&retries.ratio) {
        problems.push(problem("retries.ratio", "is out of range", "give 0 to 10"));
    }
    if retries.slack.is_nan() || retries.slack < 0.0 {
        problems.push(problem("retries.slack", "is below 0", "give 0 or more"));
    }
    if retries.window.is_zero() {
        problems.push(problem("retries.window_ms", "is 0", "give at least 1"));
    }
    if settings.grace.is_zero() {
        problems.push(problem("grace_ms", "is 0", "give the time until the process is killed"));
    }
    if !LEVELS.contains(&&*settings.log) {
        let remedy = format!("use {}", LEVELS.join(", "));
        problems.push(problem("log", "is not a level", &remedy));
    }
}
