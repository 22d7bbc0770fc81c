//! The check of a set as a whole. It reports all faults at once.
//!
//! A kind refers only to kinds before it in
//! [`Kind::ALL`](crate::config::kind::Kind::ALL), so references cannot form a
//! cycle; a link from a region to itself is refused.

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
    object::Set,
};

pub use crate::config::fault::Faults;

/// Checks a set that did not come from files.
pub fn check(set: &Set) -> Result<(), Faults> {
    check_at(set, &Locations::default())
}

/// Checks a set; the faults name the places of their objects.
pub fn check_at(set: &Set, locations: &Locations) -> Result<(), Faults> {
    let faults = faults(set, locations);
    if faults.is_empty() {
        return Ok(());
    }
    Err(Faults(faults))
}

/// Returns all faults of a set.
pub(crate) fn faults(set: &Set, locations: &Locations) -> Vec<Fault> {
    let mut report = Report::new(locations);
    limit::check(set, &mut report);
    reference::check(set, &mut report);
    address::check(set, &mut report);
    report.into_faults()
}
