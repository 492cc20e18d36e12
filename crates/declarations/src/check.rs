//! Validation of a whole declaration set: references between items, quotas, and whether a data
//! centre can hold its guarantees.

use std::collections::BTreeMap;

use model::prelude::*;

use crate::item::DeclarationKey;
use crate::set::DeclarationSet;
use model::nearest::suggest;

/// Validates `set` as a whole; `place_of` returns the source place of an item.
pub fn check_set(set: &DeclarationSet, place_of: impl Fn(&DeclarationKey) -> Place) -> Findings {
    let mut findings = Findings::default();
    for spec in set.organisations.values() {
        let place = place_of(&DeclarationKey::Organisation(spec.name.clone()));
        for message in check_organisation(set, spec) {
            findings.push(place.clone(), message);
        }
    }
    for class in set.classes.values() {
        let place = place_of(&DeclarationKey::Class(class.name.clone()));
        for message in check_class(class) {
            findings.push(place.clone(), message);
        }
    }
    for (data_centre, message) in check_capacity(set) {
        findings.push(place_of(&DeclarationKey::DataCentre(data_centre)), message);
    }
    findings
}

/// Checks one organisation against the whole set; returns the messages of its findings.
fn check_organisation(set: &DeclarationSet, spec: &OrganisationSpec) -> Vec<String> {
    let mut messages = Vec::new();
    for class in &spec.classes {
        if !set.classes.contains_key(class) {
            let hint = suggest(class.as_str(), set.classes.keys().map(ClassName::as_str));
            messages.push(format!(
                "organisation {}: class {class} is not declared{hint}",
                spec.name
            ));
        }
    }
    for (data_centre, guaranteed) in sum_guaranteed_accelerators(&spec.guarantees) {
        if guaranteed > u64::from(spec.quota.accelerators) {
            messages.push(format!(
                "organisation {}: {guaranteed} accelerators guaranteed in {data_centre}, above the quota of {}",
                spec.name, spec.quota.accelerators
            ));
        }
        if !set.data_centres.is_empty() && !set.data_centres.contains_key(data_centre) {
            let names = set.data_centres.keys().map(DataCentreName::as_str);
            let hint = suggest(data_centre.as_str(), names);
            messages.push(format!(
                "organisation {}: data centre {data_centre} is not declared{hint}",
                spec.name
            ));
        }
    }
    messages
}

/// Sums the guaranteed accelerators by data centre.
fn sum_guaranteed_accelerators(guarantees: &[Guarantee]) -> BTreeMap<&DataCentreName, u64> {
    let mut sums = BTreeMap::new();
    for guarantee in guarantees {
        let accelerators = u64::from(guarantee.level.accelerators()) * u64::from(guarantee.count);
        *sums.entry(&guarantee.data_centre).or_insert(0) += accelerators;
    }
    sums
}

/// Checks one class; returns the messages of its findings.
fn check_class(class: &ClassSpec) -> Vec<String> {
    let mut messages = Vec::new();
    let positive = [
        ("expected_run_ms", class.expected_run_ms),
        ("deadline_ms", class.deadline_ms),
        ("in_flight_max", u64::from(class.in_flight_max)),
        ("queue_max", u64::from(class.queue_max)),
    ];
    for (field, value) in positive {
        if value == 0 {
            messages.push(format!("class {}: {field} must not be 0", class.name));
        }
    }
    messages
}

/// Finds the data centres whose guarantees cannot all be met at the same time.
fn check_capacity(set: &DeclarationSet) -> Vec<(DataCentreName, String)> {
    let mut messages = Vec::new();
    for spec in set.data_centres.values() {
        let guarantees = set
            .organisations
            .values()
            .flat_map(|organisation| &organisation.guarantees)
            .filter(|guarantee| guarantee.data_centre == spec.name);
        let mut blocks = [0_u64; Level::ALL.len()];
        for guarantee in guarantees {
            blocks[guarantee.level as usize] += u64::from(guarantee.count);
        }
        if let Some((level, missing)) = find_shortfall(spec.workers, &blocks) {
            messages.push((
                spec.name.clone(),
                format!(
                    "data centre {}: the guarantees need {missing} blocks of level {level} more than {} workers hold",
                    spec.name, spec.workers
                ),
            ));
        }
    }
    messages
}

/// Finds the largest level whose blocks do not fit into `workers`, and how many are missing.
///
/// Each free block of a level splits into two blocks of the next smaller level.
fn find_shortfall(workers: u32, blocks: &[u64; Level::ALL.len()]) -> Option<(Level, u64)> {
    let accelerators = u64::from(workers) * u64::from(ACCELERATORS_PER_WORKER);
    let mut free_above = 0;
    for level in Level::ALL.into_iter().rev() {
        let size = u64::from(level.accelerators());
        // Blocks that are not part of a block of a larger level.
        let ungrouped = match level {
            Level::Rack => accelerators / size,
            _ => accelerators / size % 2,
        };
        let free = free_above * 2 + ungrouped;
        let wanted = blocks[level as usize];
        if wanted > free {
            return Some((level, wanted - free));
        }
        free_above = free - wanted;
    }
    None
}
