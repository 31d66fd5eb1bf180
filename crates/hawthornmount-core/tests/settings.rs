//! Settings are validated as a whole: every problem is listed with its path and remedy.

use {
    hawthornmount_core::settings::{Error, Settings},
    rstest::rstest,
};

const VALID: &str = r#"{
    // a comment
    "instance": "a-1", "data_centre": "a", "region": "r",
    "listen": "127.0.0.1:1", "admin": "127.0.0.1:2", "fleet": "127.0.0.1:3",
    "store": ["127.0.0.1:4"], "fleet_key": "0123456789abcdef",
}"#;

struct Case {
    /// Part of the valid settings that is replaced.
    from: &'static str,
    to: &'static str,
    /// First characters of each expected problem.
    problems: &'static [&'static str],
}

#[test]
fn reads_valid_settings() {
    let settings = Settings::parse(VALID).expect("the settings are valid");
    assert_eq!(&*settings.instance, "a-1");
    assert_eq!(settings.traffic_threads, 2);
    assert_eq!(settings.drain.as_secs(), 30);
}

#[rstest]
#[case::missing(Case { from: "\"region\": \"r\",", to: "", problems: &["region: missing"] })]
#[case::unknown(Case {
    from: "\"region\"",
    to: "\"regin\": 1, \"region\"",
    problems: &["regin: unknown setting"],
})]
#[case::type_of_element(Case {
    from: "\"127.0.0.1:4\"",
    to: "4",
    problems: &["store[0]: invalid type"],
})]
#[case::address(Case { from: "127.0.0.1:2", to: "here", problems: &["admin: invalid socket"] })]
#[case::same_address(Case {
    from: "127.0.0.1:2",
    to: "127.0.0.1:1",
    problems: &["admin: is the same address as listen"],
})]
#[case::short_key(Case {
    from: "0123456789abcdef",
    to: "short",
    problems: &["fleet_key: is too short"],
})]
#[case::short_old_key(Case {
    from: "\"fleet_key\":",
    to: "\"old_fleet_keys\": [\"\"], \"fleet_key\":",
    problems: &["old_fleet_keys: holds a key that is too short"],
})]
#[case::several(Case {
    from: "\"store\": [\"127.0.0.1:4\"], \"fleet_key\": \"0123456789abcdef\",",
    to: "\"store\": [], \"log\": \"loud\", \"drain_ms\": \"long\", \"threads\": 1",
    problems: &[
        "threads: unknown setting",
        "drain_ms: ",
        "fleet_key: missing",
        "store: is empty",
        "log: is not a level",
    ],
})]
fn lists_every_problem(#[case] case: Case) {
    assert!(VALID.contains(case.from));
    let error = Settings::parse(&VALID.replace(case.from, case.to)).expect_err("is refused");
    let Error::Invalid { problems } = error else { panic!("{error}") };
    let listed: Vec<String> = problems.iter().map(ToString::to_string).collect();
    assert_eq!(listed.len(), case.problems.len(), "{listed:?}");
    for expected in case.problems {
        let is_listed = listed.iter().any(|problem| problem.starts_with(expected));
        assert!(is_listed, "{expected} not in {listed:?}");
    }
}

#[test]
fn refuses_broken_syntax() {
    let error = Settings::parse("{ \"instance\": ").expect_err("is refused");
    assert!(matches!(error, Error::Syntax { .. }), "{error}");
}
