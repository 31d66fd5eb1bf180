//! Memory and CPU time of this process, and the limit on its memory.

use std::{fs, path::Path, process, thread, time::Duration};

/// Number by which the memory of the machine is divided to get the limit of the process.
const MEMORY_DIVISOR: u64 = 2;
/// Time between two checks of the memory.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const NANOS_PER_S: f64 = 1e9;
const BYTES_PER_KIB: u64 = 1_024;

/// Returns the resident memory of this process.
pub fn resident_bytes() -> u64 {
    field_bytes("/proc/self/status", "VmRSS:")
}

/// Returns the CPU time of the threads of this process whose name starts with `prefix`; an empty
/// prefix matches every thread.
pub fn cpu_seconds(prefix: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return 0.0 };
    tasks.filter_map(|task| thread_cpu_seconds(&task.ok()?.path(), prefix)).sum()
}

/// Starts a thread that exits the process when it uses more than half of the machine's memory.
pub fn enforce_memory_limit() {
    let limit = field_bytes("/proc/meminfo", "MemTotal:") / MEMORY_DIVISOR;
    thread::spawn(move || {
        loop {
            if resident_bytes() > limit {
                eprintln!("hawthornmount-bench: half of the machine's memory is taken: run less");
                process::exit(1);
            }
            thread::sleep(POLL_INTERVAL);
        }
    });
}

/// Reads a field that the kernel reports in kibibytes and returns it in bytes; 0 if it is missing.
fn field_bytes(file: &str, name: &str) -> u64 {
    let text = fs::read_to_string(file).unwrap_or_default();
    let value = text.lines().find_map(|line| line.strip_prefix(name));
    let number = value.and_then(|value| value.split_whitespace().next()?.parse::<u64>().ok());
    number.unwrap_or(0) * BYTES_PER_KIB
}

/// Returns the CPU time of one thread if its name starts with `prefix`.
fn thread_cpu_seconds(task: &Path, prefix: &str) -> Option<f64> {
    let name = fs::read_to_string(task.join("comm")).ok()?;
    if !name.starts_with(prefix) {
        return None;
    }
    let times = fs::read_to_string(task.join("schedstat")).ok()?;
    let nanos: f64 = times.split_whitespace().next()?.parse().ok()?;
    Some(nanos / NANOS_PER_S)
}
