//! Tests of the registered servers.

use {
    hawthornmount_gateway::registry::{Readiness, Registry, Server},
    std::time::{Duration, Instant},
};

fn server(id: &str, start_ms: u64, readiness: Readiness) -> Server {
    Server {
        id: id.into(),
        start_ms,
        service: "plain".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "a".into(),
        version: "v1".into(),
        slots: 4,
        readiness,
    }
}

fn readiness_by_id(registry: &Registry) -> Vec<(String, Readiness)> {
    registry.iter().map(|server| (server.id.to_string(), server.readiness)).collect()
}

#[test]
fn draining_lasts_until_the_server_restarts() {
    let mut registry = Registry::default();
    registry.put(server("i-1", 1, Readiness::Draining), Instant::now());
    registry.put(server("i-1", 1, Readiness::Ready), Instant::now());
    assert_eq!(readiness_by_id(&registry), [("i-1".to_owned(), Readiness::Draining)]);
    registry.put(server("i-1", 2, Readiness::Ready), Instant::now());
    assert_eq!(readiness_by_id(&registry), [("i-1".to_owned(), Readiness::Ready)]);
}

#[test]
fn missing_server_is_removed_at_once_or_after_the_grace_of_an_outage() {
    let now = Instant::now();
    for was_store_unreachable in [false, true] {
        let mut registry = Registry::default();
        registry.put(server("i-1", 1, Readiness::Ready), Instant::now());
        registry.put(server("i-2", 1, Readiness::Ready), Instant::now());
        registry.retain_listed(&["i-2".into()], was_store_unreachable, now);
        assert_eq!(readiness_by_id(&registry).len(), if was_store_unreachable { 2 } else { 1 });
        assert!(!registry.expire(now + Duration::from_millis(1_900)));
        assert_eq!(registry.expire(now + Duration::from_millis(2_100)), was_store_unreachable);
        assert_eq!(readiness_by_id(&registry).len(), 1);
    }
}

#[test]
fn server_that_registers_again_within_the_grace_stays() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.put(server("i-1", 1, Readiness::Ready), Instant::now());
    registry.retain_listed(&[], true, now);
    registry.put(server("i-1", 1, Readiness::Ready), Instant::now());
    assert!(!registry.expire(now + Duration::from_secs(9)));
}
