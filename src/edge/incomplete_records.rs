//! Registrations of upstreams without their time of start, by other writers than the upstreams.

use std::collections::BTreeMap;

use super::topic::{
    Change,
    Record, //
};

/// Removes the registrations without a time of start from `changes`, on platforms whose upstreams
/// publish it: if one of the `known` records or of the changes has it. Otherwise such a registration
/// would look like another start of the upstream, which ends what is known of the present one, such
/// as that it is draining.
pub fn remove_incomplete(known: &BTreeMap<String, Record>, changes: &mut [Change]) {
    if !changes.iter().any(|c| lacks_start(c.record.as_ref())) {
        return;
    }
    let changed = changes.iter().filter_map(|c| c.record.as_ref());
    if !known.values().chain(changed).any(has_start) {
        return;
    }
    for change in changes {
        if lacks_start(change.record.as_ref()) {
            log::warn!(event = "record-incomplete", name:% = change.name; "");
            change.record = None;
        }
    }
}

fn has_start(record: &Record) -> bool {
    matches!(record, Record::Upstream(entry) if entry.born.is_some())
}

fn lacks_start(record: Option<&Record>) -> bool {
    matches!(record, Some(Record::Upstream(entry)) if entry.born.is_none())
}
