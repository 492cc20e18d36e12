//! Properties of organisations and classes that commands set, and their application to the
//! declared items.

use std::fmt;

use model::prelude::*;
use thiserror::Error;

use crate::value::format_duration;

/// Settings that a new item requires and that are missing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("these settings are missing: {}", missing.join(", "))]
pub struct SettingsError {
    /// Names of the settings that are missing.
    pub missing: Vec<&'static str>,
}

/// Properties of an organisation; `None` leaves a property unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrganisationSettings {
    /// Maximum number of accelerators in use.
    pub accelerators: Option<u32>,
    /// Maximum number of requests in flight.
    pub requests: Option<u32>,
    /// Classes that it may submit.
    pub classes: Option<Vec<ClassName>>,
}

impl OrganisationSettings {
    /// Names of the settings.
    pub const NAMES: [&'static str; 3] = ["accelerators", "requests", "classes"];

    /// Creates an organisation.
    ///
    /// # Errors
    ///
    /// The names of the required settings that are missing; `classes` is optional.
    pub fn create(&self, name: OrganisationName) -> Result<OrganisationSpec, SettingsError> {
        let (Some(accelerators), Some(requests_in_flight)) = (self.accelerators, self.requests)
        else {
            let given = [self.accelerators.is_some(), self.requests.is_some()];
            return Err(collect_missing(&Self::NAMES[..2], &given));
        };
        Ok(OrganisationSpec {
            name,
            guarantees: Vec::new(),
            quota: Quota {
                accelerators,
                requests_in_flight,
            },
            classes: self.classes.clone().unwrap_or_default(),
            token_digests: Vec::new(),
            suspended: false,
        })
    }

    /// Sets the given properties of `spec`.
    pub fn apply(&self, spec: &mut OrganisationSpec) {
        let quota = &mut spec.quota;
        quota.accelerators = self.accelerators.unwrap_or(quota.accelerators);
        quota.requests_in_flight = self.requests.unwrap_or(quota.requests_in_flight);
        if let Some(classes) = &self.classes {
            spec.classes.clone_from(classes);
        }
    }
}

/// Sets the number of blocks of `guarantee` in `spec`; 0 removes the guarantee.
pub fn apply_guarantee(spec: &mut OrganisationSpec, guarantee: &Guarantee) {
    let is_same =
        |own: &Guarantee| own.data_centre == guarantee.data_centre && own.level == guarantee.level;
    spec.guarantees.retain(|own| !is_same(own));
    if guarantee.count > 0 {
        spec.guarantees.push(guarantee.clone());
    }
}

/// Properties of a class; `None` leaves a property unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClassSettings {
    /// Urgency of its work.
    pub urgency: Option<Urgency>,
    /// Expected run time, in milliseconds.
    pub expected_run_ms: Option<u64>,
    /// Default deadline of a request, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Time to write a checkpoint before a stop, in milliseconds.
    pub grace_ms: Option<u64>,
    /// Whether a request is idempotent, so that it may be sent again.
    pub idempotent: Option<bool>,
    /// Maximum number of requests in flight in one data centre.
    pub in_flight_max: Option<u32>,
    /// Maximum number of requests that wait in one entry node.
    pub queue_max: Option<u32>,
}

impl ClassSettings {
    /// Names of the settings.
    pub const NAMES: [&'static str; 7] = [
        "urgency",
        "expected_run",
        "deadline",
        "grace",
        "idempotent",
        "in_flight_max",
        "queue_max",
    ];

    /// Creates a class.
    ///
    /// # Errors
    ///
    /// The names of the settings that are missing; all are required.
    pub fn create(&self, name: ClassName) -> Result<ClassSpec, SettingsError> {
        let given = [
            self.urgency.is_some(),
            self.expected_run_ms.is_some(),
            self.deadline_ms.is_some(),
            self.grace_ms.is_some(),
            self.idempotent.is_some(),
            self.in_flight_max.is_some(),
            self.queue_max.is_some(),
        ];
        if given.contains(&false) {
            return Err(collect_missing(&Self::NAMES, &given));
        }
        let mut spec = ClassSpec {
            name,
            urgency: Urgency::Normal,
            expected_run_ms: 0,
            deadline_ms: 0,
            grace_ms: 0,
            idempotent: false,
            in_flight_max: 0,
            queue_max: 0,
        };
        self.apply(&mut spec);
        Ok(spec)
    }

    /// Sets the given properties of `spec`.
    pub fn apply(&self, spec: &mut ClassSpec) {
        spec.urgency = self.urgency.unwrap_or(spec.urgency);
        spec.expected_run_ms = self.expected_run_ms.unwrap_or(spec.expected_run_ms);
        spec.deadline_ms = self.deadline_ms.unwrap_or(spec.deadline_ms);
        spec.grace_ms = self.grace_ms.unwrap_or(spec.grace_ms);
        spec.idempotent = self.idempotent.unwrap_or(spec.idempotent);
        spec.in_flight_max = self.in_flight_max.unwrap_or(spec.in_flight_max);
        spec.queue_max = self.queue_max.unwrap_or(spec.queue_max);
    }
}

/// Builds the error that lists the names whose settings are not given.
fn collect_missing(names: &[&'static str], given: &[bool]) -> SettingsError {
    let missing = names
        .iter()
        .zip(given)
        .filter(|(_, is_given)| !**is_given)
        .map(|(name, _)| *name)
        .collect();
    SettingsError { missing }
}

/// Writes the settings that have a value, separated by commas.
fn write_settings(
    f: &mut fmt::Formatter<'_>,
    settings: &[(&'static str, Option<String>)],
) -> fmt::Result {
    let mut separator = "";
    for (name, value) in settings {
        if let Some(value) = value {
            write!(f, "{separator}{name} = {value}")?;
            separator = ", ";
        }
    }
    Ok(())
}

impl fmt::Display for OrganisationSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let classes = self.classes.as_ref().map(|classes| {
            let names: Vec<&str> = classes.iter().map(ClassName::as_str).collect();
            format!("({})", names.join(", "))
        });
        let [accelerators, requests, classes_name] = Self::NAMES;
        write_settings(
            f,
            &[
                (accelerators, self.accelerators.map(|n| n.to_string())),
                (requests, self.requests.map(|n| n.to_string())),
                (classes_name, classes),
            ],
        )
    }
}

impl fmt::Display for ClassSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [
            urgency,
            expected_run,
            deadline,
            grace,
            idempotent,
            in_flight,
            queue,
        ] = Self::NAMES;
        write_settings(
            f,
            &[
                (urgency, self.urgency.map(|value| value.to_string())),
                (expected_run, self.expected_run_ms.map(format_duration)),
                (deadline, self.deadline_ms.map(format_duration)),
                (grace, self.grace_ms.map(format_duration)),
                (idempotent, self.idempotent.map(|value| value.to_string())),
                (in_flight, self.in_flight_max.map(|n| n.to_string())),
                (queue, self.queue_max.map(|n| n.to_string())),
            ],
        )
    }
}
