//! Tests of the regions in which a request may be served.

use {hawthornmount_core::id::RegionId, hawthornmount_policy::residency::Regions, rstest::rstest};

struct Case {
    lists: &'static [&'static [&'static str]],
    allowed: &'static [&'static str],
    restricted: bool,
}

/// A list that is skipped or joined to the other one would let a request leave its regions.
#[rstest]
#[case::no_list(Case { lists: &[], allowed: &["x", "y", "z"], restricted: false })]
#[case::empty_lists(Case { lists: &[&[], &[]], allowed: &["x", "y", "z"], restricted: false })]
#[case::one_list(Case { lists: &[&["y", "x"], &[]], allowed: &["x", "y"], restricted: true })]
#[case::both_bind(Case { lists: &[&["x", "y"], &["z", "y"]], allowed: &["y"], restricted: true })]
#[case::no_common_region(Case { lists: &[&["x"], &["y"]], allowed: &[], restricted: true })]
#[case::unknown_region(Case { lists: &[&["nowhere"]], allowed: &[], restricted: true })]
fn request_is_served_where_all_lists_allow(#[case] case: Case) {
    let lists: Vec<Vec<RegionId>> =
        case.lists.iter().map(|list| list.iter().map(|name| (*name).into()).collect()).collect();
    let regions = Regions::common(lists.iter().map(Vec::as_slice));
    for name in ["x", "y", "z"] {
        assert_eq!(regions.allows(Some(&name.into())), case.allowed.contains(&name), "{name}");
    }
    assert_eq!(regions.allows(None), !case.restricted, "a place whose region is unknown");
    assert_eq!(regions.restriction().is_some(), case.restricted);
}
