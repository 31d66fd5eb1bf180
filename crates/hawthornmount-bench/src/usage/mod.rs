//! Memory and processor time of this process, and the bound on its memory.

use std::{fs, path::Path, process, thread, time::Duration};

/// Part of the machine's memory that an experiment may take.
const MEMORY_SHARE: u64 = 2;
/// Pause between two looks at the memory.
const PAUSE: Duration = Duration::from_millis(200);
/// Nanoseconds of a second.
const NANOS: f64 = 1e9;
/// Bytes of a kibibyte.
const KIB: u64 = 1_024;

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    field("/proc/self/status", "VmRSS:")
}

/// Returns the processor time of this process's threads whose name starts with `prefix`, in
/// seconds; an empty prefix takes every thread.
pub fn cpu_seconds(prefix: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return 0.0 };
    tasks.filter_map(|task| thread_time(&task.ok()?.path(), prefix)).sum()
}

/// Starts a thread that ends the process when it takes more than half of the machine's memory.
pub fn enforce_memory_limit() {
    let limit = field("/proc/meminfo", "MemTotal:") / MEMORY_SHARE;
    thread::spawn(move || {
        loop {
            if resident_bytes() > limit {
                eprintln!("hawthornmount-bench: half of the machine's memory is taken: run less");
                process::exit(1);
            }
            thread::sleep(PAUSE);
        }
    });
}

/// Reads a field in kibibytes.
fn field(file: &str, name: &str) -> u64 {
    let text = fs::read_to_string(file).unwrap_or_default();
    let value = text.lines().find_map(|line| line.strip_prefix(name));
    let number = value.and_then(|value| value.split_whitespace().next()?.parse::<u64>().ok());
    number.unwrap_or(0) * KIB
}

/// Returns the processor time of one thread, in seconds.
fn thread_time(task: &Path, prefix: &str) -> Option<f64> {
    let name = fs::read_to_string(task.join("comm")).ok()?;
    if !name.starts_with(prefix) {
        return None;
    }
    let times = fs::read_to_string(task.join("schedstat")).ok()?;
    let nanos: f64 = times.split_whitespace().next()?.parse().ok()?;
    Some(nanos / NANOS)
}
