//! Tests of the evacuated data centres.

use {
    hawthornmount_gateway::evacuation::Evacuations,
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

fn names(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| (*name).into()).collect()
}

/// A complete list of the store some time after an evacuation of `a` and `b` began.
struct Case {
    /// Time since the store was restored from a copy, if it was.
    restored_s: Option<u64>,
    listed: &'static [&'static str],
    ended: &'static [&'static str],
}

/// An evacuation that ends too early sends requests to servers that the operator empties; one that
/// never ends leaves servers unused.
#[rstest]
#[case::listed(Case { restored_s: None, listed: &["a", "b"], ended: &[] })]
#[case::one_taken_back(Case { restored_s: None, listed: &["b"], ended: &["a"] })]
#[case::both_taken_back(Case { restored_s: None, listed: &[], ended: &["a", "b"] })]
#[case::copy_lacks_them(Case { restored_s: Some(1), listed: &[], ended: &[] })]
#[case::not_written_again(Case { restored_s: Some(11), listed: &["a"], ended: &["b"] })]
fn evacuation_lasts_as_long_as_its_key(#[case] case: Case) {
    let begin = Instant::now();
    let mut evacuations = Evacuations::default();
    assert!(evacuations.begin(&"b".into()));
    assert!(evacuations.begin(&"a".into()));
    assert!(!evacuations.begin(&"a".into()), "it is known");
    if case.restored_s.is_some() {
        evacuations.begin_era(begin);
    }
    let now = begin + Duration::from_secs(case.restored_s.unwrap_or(0));
    let ended = evacuations.missing(&names(case.listed), now);
    assert_eq!(ended, names(case.ended));
    for data_centre in &ended {
        assert!(evacuations.end(data_centre));
        assert!(!evacuations.contains(data_centre));
    }
    assert_eq!(evacuations.data_centres().len(), 2 - ended.len());
}
