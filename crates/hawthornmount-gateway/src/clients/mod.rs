//! What the clients of an instance may take: memory, and connections for each kind of listener. A crowd
//! on one listener takes no place of another one, and none of the connections to servers.

use {
    crate::settings::Settings,
    hawthornmount_http::capacity::{Capacity, Group, machine::Machine},
};

/// Percentage of the descriptors for connections from callers. Each of their requests takes another
/// one for its server.
const CALLERS_PERCENT: usize = 28;
/// Percentage for connections on which other instances pass requests on.
const NEIGHBOURS_PERCENT: usize = 8;
/// Percentage for connections of instances that follow this one.
const PEERS_PERCENT: usize = 8;
/// Percentage for readiness checks, and for the readers of metrics.
const OPERATORS_PERCENT: usize = 2;
/// Percentage for idle connections to servers.
const IDLE_SERVERS_PERCENT: usize = 8;

/// Capacity for clients, and its groups.
#[derive(Clone, Debug)]
pub struct Clients {
    capacity: Capacity,
    machine: Machine,
    /// Connections from callers.
    pub callers: Group,
    /// Connections on which other instances pass requests on.
    pub neighbours: Group,
    /// Connections of instances that follow this one.
    pub peers: Group,
    /// Connections for readiness checks.
    pub readiness: Group,
    /// Connections of operators.
    pub operators: Group,
}

impl Clients {
    /// Creates the capacity that the settings allow.
    pub fn new(settings: &Settings) -> Self {
        let machine = Machine::new(settings.memory_mb, settings.file_descriptors);
        let capacity = machine.capacity();
        log::info!(
            "limits on clients; memory_bytes={} caller_connections={} \
             neighbour_connections={} peer_connections={}",
            capacity.memory(),
            machine.connections(CALLERS_PERCENT),
            machine.connections(NEIGHBOURS_PERCENT),
            machine.connections(PEERS_PERCENT)
        );
        let group = |percent| capacity.group(machine.connections(percent));
        Self {
            callers: group(CALLERS_PERCENT),
            neighbours: group(NEIGHBOURS_PERCENT),
            peers: group(PEERS_PERCENT),
            readiness: group(OPERATORS_PERCENT),
            operators: group(OPERATORS_PERCENT),
            capacity,
            machine,
        }
    }

    /// Returns the capacity of all groups.
    pub const fn capacity(&self) -> &Capacity {
        &self.capacity
    }

    /// Returns the largest number of idle connections to servers.
    pub fn idle_servers(&self) -> usize {
        self.machine.connections(IDLE_SERVERS_PERCENT)
    }
}
