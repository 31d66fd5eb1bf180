//! What a machine has, and the part of it that clients may take.

use {
    super::Capacity,
    nix::sys::resource::{Resource, getrlimit},
};

/// Descriptors if the operating system does not tell how many the process may open.
const UNKNOWN_DESCRIPTORS: usize = 1_024;
/// Descriptors that are kept for files.
const FILES: usize = 200;
/// Smallest number of connections of a listener.
const MIN_CONNECTIONS: usize = 8;

/// Memory and descriptors that a process may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Memory, in bytes.
    memory: usize,
    /// Descriptors for sockets.
    sockets: usize,
}

impl Machine {
    /// Creates a machine with memory in megabytes and with `descriptors`, or with those that the operating
    /// system allows the process if they are fewer.
    pub fn new(memory_mb: u32, descriptors: Option<u32>) -> Self {
        let allowed = match getrlimit(Resource::RLIMIT_NOFILE) {
            Ok((soft, _)) => usize::try_from(soft).unwrap_or(usize::MAX),
            Err(error) => {
                log::warn!("can't read the limit on open files; cause={error}");
                UNKNOWN_DESCRIPTORS
            }
        };
        let stated = descriptors.map_or(usize::MAX, |descriptors| descriptors as usize);
        Self::with_descriptors(memory_mb, stated.min(allowed))
    }

    /// Creates a machine with memory in megabytes and descriptors.
    pub fn with_descriptors(memory_mb: u32, descriptors: usize) -> Self {
        let sockets = descriptors - FILES.min(descriptors / 4);
        Self { memory: memory_mb as usize * 1_000_000, sockets }
    }

    /// Returns the capacity for clients: a half of the memory. The other half is for the process
    /// itself, its state and the connections to servers.
    pub fn capacity(&self) -> Capacity {
        Capacity::new(self.memory / 2)
    }

    /// Returns the number of connections that a percentage of the descriptors allows, or of the memory
    /// for clients if that is fewer.
    pub fn connections(&self, percent: usize) -> usize {
        let by_memory = self.memory / 4 / super::CONNECTION_BYTES;
        (self.sockets.saturating_mul(percent) / 100).min(by_memory).max(MIN_CONNECTIONS)
    }
}
