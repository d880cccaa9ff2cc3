//! Decides which availability zones' targets a request may use. No I/O.

use compact_str::CompactString;

/// The region of each availability zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneRegions(Vec<(CompactString, CompactString)>);

impl ZoneRegions {
    /// Creates the map from pairs of a zone and its region, in any order.
    pub fn new(mut pairs: Vec<(CompactString, CompactString)>) -> ZoneRegions {
        pairs.sort();
        ZoneRegions(pairs)
    }

    /// The region of a zone, if it is known.
    pub fn region(&self, zone: &str) -> Option<&CompactString> {
        let i = self.0.binary_search_by(|(z, _)| z.as_str().cmp(zone)).ok()?;
        Some(&self.0[i].1)
    }

    /// Whether any zone is in one of `regions`.
    pub fn has_any(&self, regions: &[CompactString]) -> bool {
        self.0.iter().any(|(_, region)| regions.contains(region))
    }
}

/// Why a zone's targets may not get a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExclusionReason {
    /// The operator has emptied (drained) the zone.
    Emptied,
    /// The zone is outside the regions to which the request is restricted.
    OutsideAllowedRegions,
}

/// The zones that one request may use.
#[derive(Clone, Copy, Debug)]
pub struct ZoneFilter<'a> {
    /// Zones that the operator has emptied, sorted.
    pub emptied: &'a [CompactString],
    /// Regions to which the route and the organisation are restricted. An empty list does not
    /// restrict.
    pub homes: [&'a [CompactString]; 2],
    /// The region of each zone.
    pub regions: &'a ZoneRegions,
}

static NO_REGIONS: ZoneRegions = ZoneRegions(Vec::new());

impl ZoneFilter<'static> {
    /// A filter that allows all zones.
    pub const ALL_ZONES: ZoneFilter<'static> =
        ZoneFilter { emptied: &[], homes: [&[], &[]], regions: &NO_REGIONS };
}

impl ZoneFilter<'_> {
    /// Why a zone's targets may not get the request; `None` if they may. A restricted request may
    /// not use a zone whose region is unknown.
    pub fn exclusion_reason(&self, zone: &str) -> Option<ExclusionReason> {
        let region = self.regions.region(zone);
        let allows =
            |homes: &[CompactString]| homes.is_empty() || region.is_some_and(|r| homes.contains(r));
        if !self.homes.iter().all(|h| allows(h)) {
            return Some(ExclusionReason::OutsideAllowedRegions);
        }
        let emptied = self.emptied.binary_search_by(|z| z.as_str().cmp(zone)).is_ok();
        emptied.then_some(ExclusionReason::Emptied)
    }
}
