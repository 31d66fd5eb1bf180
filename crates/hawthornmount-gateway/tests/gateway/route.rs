//! Route lookup by host and longest path prefix, and weighted choice of a service.

use {
    hawthornmount_core::{
        config::{Config, Kind, Route, Target},
        snapshot::Snapshot,
    },
    hawthornmount_gateway::route::{Table, pick_service},
    rstest::rstest,
    std::time::Duration,
};

fn route(host: &str, prefix: &str) -> Route {
    Route {
        host: host.into(),
        path_prefix: prefix.into(),
        kind: Kind::Idempotent,
        targets: vec![Target { service: "s".into(), weight: 1 }],
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        event_gap: None,
        attempts: 1,
        rank: 0,
        anonymous: false,
        resumable: false,
        ladder: Vec::new(),
        allowed_regions: Vec::new(),
    }
}

fn table() -> Table {
    let mut config = Config::clone(&Snapshot::empty().config);
    for (id, host, prefix) in [
        ("root", "a.example", "/"),
        ("one", "a.example", "/one/"),
        ("deep", "a.example", "/one/two/"),
        ("other", "b.example", "/one/"),
    ] {
        config.routes.insert(id.into(), route(host, prefix));
    }
    Table::new(&config)
}

struct Case {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

#[rstest]
#[case::longest(Case { host: "a.example", path: "/one/two/x", route: Some("deep") })]
#[case::shorter(Case { host: "a.example", path: "/one/twox/y", route: Some("one") })]
#[case::exact(Case { host: "a.example", path: "/one/", route: Some("one") })]
#[case::without_slash(Case { host: "a.example", path: "/one", route: Some("root") })]
#[case::port(Case { host: "b.example:8080", path: "/one/x", route: Some("other") })]
#[case::no_prefix(Case { host: "b.example", path: "/two/x", route: None })]
#[case::no_host(Case { host: "c.example", path: "/one/x", route: None })]
#[case::empty(Case { host: "", path: "", route: None })]
fn longest_prefix_of_the_host_wins(#[case] case: Case) {
    let table = table();
    let found = table.find(case.host, case.path).map(|entry| &*entry.id);
    assert_eq!(found, case.route);
}

#[test]
fn targets_share_requests_by_weight() {
    let target = |service: &str, weight| Target { service: service.into(), weight };
    let targets = [target("a", 90), target("none", 0), target("b", 10)];
    let at = |draw| pick_service(&targets, draw).map(|service| service.to_string());
    assert_eq!(at(0.0).as_deref(), Some("a"));
    assert_eq!(at(0.89).as_deref(), Some("a"));
    assert_eq!(at(0.91).as_deref(), Some("b"));
    assert_eq!(at(1.0).as_deref(), Some("b"));
    assert_eq!(pick_service(&[target("none", 0)], 0.5), None);
}
