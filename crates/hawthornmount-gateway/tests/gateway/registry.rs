//! Registered servers.

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

fn standings(registry: &Registry) -> Vec<(String, Readiness)> {
    registry.iter().map(|server| (server.id.to_string(), server.readiness)).collect()
}

#[test]
fn leaving_holds_for_the_life_of_a_server() {
    let mut registry = Registry::default();
    registry.put(server("i-1", 1, Readiness::Draining));
    registry.put(server("i-1", 1, Readiness::Ready));
    assert_eq!(standings(&registry), [("i-1".to_owned(), Readiness::Draining)]);
    registry.put(server("i-1", 2, Readiness::Ready));
    assert_eq!(standings(&registry), [("i-1".to_owned(), Readiness::Ready)]);
}

#[test]
fn missing_server_is_gone_at_once_or_after_the_grace_of_an_outage() {
    let now = Instant::now();
    for away in [false, true] {
        let mut registry = Registry::default();
        registry.put(server("i-1", 1, Readiness::Ready));
        registry.put(server("i-2", 1, Readiness::Ready));
        registry.keep_only(&["i-2".into()], away, now);
        assert_eq!(standings(&registry).len(), if away { 2 } else { 1 });
        assert!(!registry.expire(now + Duration::from_millis(1_900)));
        assert_eq!(registry.expire(now + Duration::from_millis(2_100)), away);
        assert_eq!(standings(&registry).len(), 1);
    }
}

#[test]
fn entry_that_is_back_in_the_grace_stays() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.put(server("i-1", 1, Readiness::Ready));
    registry.keep_only(&[], true, now);
    registry.put(server("i-1", 1, Readiness::Ready));
    assert!(!registry.expire(now + Duration::from_secs(9)));
}
