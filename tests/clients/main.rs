//! Clients that don't behave, against processes of the system on loopback: the process has to live
//! within the memory and the descriptors of a small machine, and to answer ordinary callers.
//!
//! The cases share a lock: one process and its crowd run at a time. What the tests check does not
//! depend on the speed of the machine.

#[path = "../../platform/tests/clients/caller.rs"]
mod caller;
mod crowd;
mod entry;
#[path = "../../platform/tests/suite/fake/mod.rs"]
#[allow(dead_code, reason = "the suite of the platform uses the rest")]
mod fake;
mod gateway;
#[path = "../../platform/tests/suite/harness.rs"]
#[allow(dead_code, reason = "the suite of the platform uses the rest")]
mod harness;
mod process;

use tokio::sync::{Mutex, MutexGuard};

/// Memory of the smallest machine, in bytes: what the process holds and what waits in its sockets.
const MACHINE_MEMORY_BYTES: usize = 88 * 1_000_000;

/// Limit on the descriptors of the process: a quarter of that of the smallest machine.
const DESCRIPTORS: usize = 1_100;
/// Descriptors that the process has to keep free beside any crowd.
const SPARE_DESCRIPTORS: usize = 100;

/// Lets the cases run one after the other.
async fn exclusive() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::const_new(());
    RUNNING.lock().await
}
