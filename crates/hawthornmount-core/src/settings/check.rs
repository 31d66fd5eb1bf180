//! Validation of the settings: names, addresses and ranges.

use {
    super::{MIN_FILE_DESCRIPTORS, MIN_MEMORY_MB, Problem, Settings},
    std::{net::SocketAddr, time::Duration},
};

/// Minimum length of a fleet key, in characters.
const MIN_KEY_CHARS: usize = 16;
/// Maximum time to wait for in-flight requests on shutdown.
const MAX_DRAIN: Duration = Duration::from_secs(600);
/// Maximum number of traffic threads.
const MAX_THREADS: usize = 1_024;
/// Names of the log levels.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Returns every problem in the settings.
pub fn check(settings: &Settings) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_names(settings, &mut problems);
    check_addresses(settings, &mut problems);
    check_ranges(settings, &mut problems);
    problems
}

fn check_names(settings: &Settings, problems: &mut Vec<Problem>) {
    let names = [
        ("instance", &settings.instance),
        ("data_centre", &settings.data_centre),
        ("region", &settings.region),
    ];
    for (path, name) in names {
        if name.trim().is_empty() {
            problems.push(Problem::new(path, "is empty", "give it a name"));
        }
    }
}

fn check_addresses(settings: &Settings, problems: &mut Vec<Problem>) {
    if settings.store.is_empty() {
        problems.push(Problem::new("store", "is empty", "give an address of the store"));
    }
    let addresses =
        [("listen", settings.listen), ("admin", settings.admin), ("fleet", settings.fleet)];
    for (index, (path, address)) in addresses.iter().enumerate() {
        if let Some((other, _)) =
            addresses[..index].iter().find(|(_, other)| conflict(*other, *address))
        {
            let what = format!("is the same address as {other}");
            problems.push(Problem::new(path, &what, "give each its own port"));
        }
    }
}

fn check_ranges(settings: &Settings, problems: &mut Vec<Problem>) {
    if settings.fleet_key.chars().count() < MIN_KEY_CHARS {
        let remedy = format!("give at least {MIN_KEY_CHARS} characters");
        problems.push(Problem::new("fleet_key", "is too short", &remedy));
    }
    if settings.old_fleet_keys.iter().any(|key| key.chars().count() < MIN_KEY_CHARS) {
        let remedy = format!("give at least {MIN_KEY_CHARS} characters each");
        problems.push(Problem::new("old_fleet_keys", "holds a key that is too short", &remedy));
    }
    if settings.traffic_threads == 0 || settings.traffic_threads > MAX_THREADS {
        let remedy = format!("give 1 to {MAX_THREADS}");
        problems.push(Problem::new("traffic_threads", "is out of range", &remedy));
    }
    if settings.drain > MAX_DRAIN {
        let remedy = format!("give at most {}", MAX_DRAIN.as_millis());
        problems.push(Problem::new("drain_ms", "is too long", &remedy));
    }
    problems.extend(check_machine(settings.memory_mb, settings.file_descriptors));
    if !LOG_LEVELS.contains(&&*settings.log) {
        let remedy = format!("use {}", LOG_LEVELS.join(", "));
        problems.push(Problem::new("log", "is not a level", &remedy));
    }
}

/// Returns the problems of the settings that state what a machine has.
pub fn check_machine(memory_mb: u32, file_descriptors: Option<u32>) -> Vec<Problem> {
    let mut problems = Vec::new();
    if memory_mb < MIN_MEMORY_MB {
        let remedy = format!("give at least {MIN_MEMORY_MB}");
        problems.push(Problem::new("memory_mb", "is too small", &remedy));
    }
    if file_descriptors.is_some_and(|number| number < MIN_FILE_DESCRIPTORS) {
        let remedy = format!("give at least {MIN_FILE_DESCRIPTORS}");
        problems.push(Problem::new("file_descriptors", "is too small", &remedy));
    }
    problems
}

/// Returns whether two listen addresses conflict. Port 0 never does, because it stands for any free
/// port.
fn conflict(a: SocketAddr, b: SocketAddr) -> bool {
    a == b && a.port() != 0
}
