//! Tests of the settings of a gateway.

use {
    hawthornmount_core::settings::{Error, Problem},
    hawthornmount_gateway::settings::Settings,
    rstest::rstest,
};

const EXAMPLE: &str = include_str!("../../../../examples/gateway.jsonc");

fn problems(text: &str) -> Vec<Problem> {
    match Settings::parse(text) {
        Err(Error::Invalid { problems }) => problems,
        other => panic!("{other:?}"),
    }
}

#[test]
fn example_is_valid() {
    Settings::parse(EXAMPLE).expect("the example is valid");
}

#[test]
fn all_problems_are_reported_at_once_with_remedies() {
    let text = EXAMPLE
        .replace("\"attica-a-1\"", "\"\"")
        .replace("5000", "5")
        .replace("\"grace_ms\"", "\"grace\"");
    let found: Vec<String> =
        problems(&text).iter().map(|problem| problem.path.to_string()).collect();
    assert_eq!(found, ["grace", "grace_ms", "instance", "revocation_ms"]);
    assert!(problems(&text).iter().all(|problem| !problem.remedy.is_empty()));
}

struct Case {
    from: &'static str,
    to: &'static str,
    path: &'static str,
}

#[rstest]
#[case::type_of_value(Case { from: "\"ratio\": 0.9", to: "\"ratio\": \"much\"", path: "retries.ratio" })]
#[case::range(Case { from: "\"ratio\": 0.9", to: "\"ratio\": 90", path: "retries.ratio" })]
#[case::address(Case { from: "127.0.0.1:8081", to: "nowhere", path: "readiness" })]
#[case::same_port(Case { from: "127.0.0.1:8081", to: "127.0.0.1:8080", path: "readiness" })]
#[case::region(Case { from: "\"attica-a\": \"attica\"", to: "\"b\": \"attica\"", path: "regions" })]
#[case::level(Case { from: "\"info\"", to: "\"loud\"", path: "log" })]
fn invalid_value_is_reported_with_its_path(#[case] case: Case) {
    let text = EXAMPLE.replacen(case.from, case.to, 1);
    assert_ne!(text, EXAMPLE, "the example contains {}", case.from);
    assert_eq!(&*problems(&text)[0].path, case.path);
}
