//! Version that new sessions use while the stable one is withdrawn or suspended.

use {
    hawthornmount_core::{
        config::Config,
        snapshot::{Release, Snapshot},
    },
    hawthornmount_policy::eligibility,
    rstest::rstest,
    std::sync::Arc,
};

struct Case {
    /// Versions and their states.
    versions: &'static [(&'static str, &'static str)],
    suspended: &'static [&'static str],
    allowed: Option<&'static [&'static str]>,
    expected: Option<&'static str>,
}

const ALL: &[(&str, &str)] =
    &[("v2", "proven"), ("v9", "proven"), ("v10", "proven"), ("v11", "candidate")];

#[rstest]
#[case::numbers_are_compared_by_value(Case {
    versions: ALL, suspended: &[], allowed: None, expected: Some("v10"),
})]
#[case::suspended_version_is_skipped(Case {
    versions: ALL, suspended: &["v10"], allowed: None, expected: Some("v9"),
})]
#[case::version_is_allowed_for_the_account(Case {
    versions: ALL, suspended: &[], allowed: Some(&["v2", "v11"]), expected: Some("v2"),
})]
#[case::withdrawn_version_is_skipped(Case {
    versions: &[("v1", "proven"), ("v2", "withdrawn")],
    suspended: &[],
    allowed: None,
    expected: Some("v1"),
})]
#[case::no_version_is_usable(Case {
    versions: &[("v1", "candidate"), ("v2", "withdrawn")],
    suspended: &[],
    allowed: None,
    expected: None,
})]
fn fallback_is_the_newest_usable_proven_version(#[case] case: Case) {
    let mut allowance = serde_json::json!({ "model": "m" });
    if let Some(versions) = case.allowed {
        allowance["versions"] = serde_json::json!(versions);
    }
    let versions: serde_json::Map<String, serde_json::Value> = case
        .versions
        .iter()
        .map(|(id, state)| ((*id).to_owned(), serde_json::json!({ "state": state })))
        .collect();
    let config: Config = serde_json::from_value(serde_json::json!({
        "accounts": { "a": { "key_hashes": [], "allow": [allowance] } },
        "models": { "m": { "price": 1, "stable": "v2", "versions": versions } },
    }))
    .expect("the configuration is valid");
    let release = |version: &str| Release { model: "m".into(), version: version.into() };
    let suspended = case.suspended.iter().map(|version| release(version)).collect();
    let snapshot = Snapshot { config: Arc::new(config), suspended, ..Snapshot::empty() };
    let found = eligibility::fallback(&snapshot, "a", &"m".into());
    assert_eq!(found, case.expected.map(release));
}
