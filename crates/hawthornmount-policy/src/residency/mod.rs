//! Data residency: the regions in which a request may be served and its body may be kept.
//!
//! A route and an account can each restrict the regions; where both do, both apply. Every step that
//! chooses a server, or another instance to which the body is passed, asks [`Regions::allows`].

use hawthornmount_core::id::RegionId;

/// Regions in which a request may be served.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Regions(Option<Vec<RegionId>>);

impl Regions {
    /// Returns the regions that all of `lists` contain. An empty list restricts nothing; lists without
    /// a common region leave none.
    pub fn common<'a>(lists: impl IntoIterator<Item = &'a [RegionId]>) -> Self {
        let mut restrictions = lists.into_iter().filter(|list| !list.is_empty());
        let Some(first) = restrictions.next() else { return Self(None) };
        let mut regions = first.to_vec();
        for list in restrictions {
            regions.retain(|region| list.contains(region));
        }
        regions.sort_unstable();
        regions.dedup();
        Self(Some(regions))
    }

    /// Returns whether the request may be served in a region. A place whose region is unknown (`None`)
    /// is only allowed if the request may be served anywhere.
    pub fn allows(&self, region: Option<&RegionId>) -> bool {
        let Some(allowed) = &self.0 else { return true };
        region.is_some_and(|region| allowed.binary_search(region).is_ok())
    }

    /// Returns the allowed regions, or `None` if the request may be served anywhere.
    pub fn restriction(&self) -> Option<&[RegionId]> {
        self.0.as_deref()
    }
}

impl std::fmt::Display for Regions {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.0 {
            None => formatter.write_str("any"),
            Some(regions) if regions.is_empty() => formatter.write_str("none"),
            Some(regions) => formatter.write_str(&regions.join(",")),
        }
    }
}
