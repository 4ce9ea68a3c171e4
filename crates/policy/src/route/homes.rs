//! Regions whose targets may serve a request.

use crate::OrganisationContract;
use crate::RegionId;
use crate::route::RouteContract;

/// Regions whose targets may serve a request: those of its route and those of its organisation, where
/// they name any.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HomeRegions {
    /// Sorted; `None` for all regions.
    regions: Option<Vec<RegionId>>,
}

impl HomeRegions {
    /// Returns the regions for a request of `route` on behalf of `organisation`. Where both name
    /// regions, both bind.
    pub fn of(route: &RouteContract, organisation: Option<&OrganisationContract>) -> HomeRegions {
        let own = organisation.map_or(&[][..], |contract| &contract.regions);
        let mut regions: Vec<RegionId> = match (&route.regions[..], own) {
            ([], []) => return HomeRegions::default(),
            (named, []) | ([], named) => named.to_vec(),
            (route, own) => route.iter().filter(|region| own.contains(region)).cloned().collect(),
        };
        regions.sort_unstable();
        HomeRegions { regions: Some(regions) }
    }

    /// Returns whether a target in `region` may serve the request. One whose region is not known may
    /// not if regions are named.
    pub fn admits(&self, region: Option<&RegionId>) -> bool {
        match (&self.regions, region) {
            (None, _) => true,
            (Some(regions), Some(region)) => regions.contains(region),
            (Some(_), None) => false,
        }
    }
}
