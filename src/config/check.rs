//! Validation of a whole configuration set. All faults are reported at once.
//!
//! Objects refer only to kinds that come earlier in
//! [`ObjectKind::ALL`](crate::config::kind::ObjectKind::ALL), so references cannot form a
//! cycle. A link from a region to itself is rejected.

mod address;
mod limit;
mod reference;
mod report;

use crate::config::{
    check::report::Report,
    fault::{
        Fault,
        Locations, //
    },
    object::ConfigSet,
};

pub use crate::config::fault::Faults;

/// Validates a set that was not read from files; its faults have no location.
pub fn check(set: &ConfigSet) -> Result<(), Faults> {
    check_with_locations(set, &Locations::default())
}

/// Validates a set and adds the location of the object to each fault.
pub fn check_with_locations(set: &ConfigSet, locations: &Locations) -> Result<(), Faults> {
    let faults = faults(set, locations);
    if faults.is_empty() {
        return Ok(());
    }
    Err(Faults(faults))
}

/// Returns all faults of a set, sorted by location.
pub(crate) fn faults(set: &ConfigSet, locations: &Locations) -> Vec<Fault> {
    let mut report = Report::new(locations);
    limit::check(set, &mut report);
    reference::check(set, &mut report);
    address::check(set, &mut report);
    report.into_faults()
}
