//! Resolves the syntax tree of a command: parses its names and the values of its settings.

use model::nearest::suggest;
use model::prelude::*;

use super::{Command, CommandRequest};
use crate::raw::{RawCommand, RawLiteral, RawSetting, RawVerb, Word};
use crate::resolve::Resolver;
use crate::settings::{ClassSettings, OrganisationSettings};

/// Values of the setting `urgency`.
const URGENCIES: [&str; 3] = ["urgent", "normal", "background"];

/// Names of the levels of a guarantee.
const LEVELS: [&str; 7] = [
    "accelerator",
    "pair",
    "four",
    "worker",
    "two_workers",
    "four_workers",
    "rack",
];

/// Resolves a command; `None` if it cannot be built because of findings.
pub(crate) fn resolve_command(
    resolver: &mut Resolver<'_>,
    raw: &RawCommand,
) -> Option<CommandRequest> {
    let target = &raw.target;
    let settings = &raw.settings;
    let command = match raw.verb {
        RawVerb::CreateOrganisation => {
            let organisation = resolver.parse_word(target);
            let settings = read_organisation_settings(resolver, settings);
            report_missing(resolver, target, organisation.clone(), |name| {
                settings.create(name).err()
            });
            Command::CreateOrganisation {
                organisation: organisation?,
                settings,
            }
        }
        RawVerb::AlterOrganisation => {
            let organisation = resolver.parse_word(target);
            let settings = read_organisation_settings(resolver, settings);
            Command::AlterOrganisation {
                organisation: organisation?,
                settings,
            }
        }
        RawVerb::DeleteOrganisation => Command::DeleteOrganisation {
            organisation: resolver.parse_word(target)?,
        },
        RawVerb::SuspendOrganisation => Command::SuspendOrganisation {
            organisation: resolver.parse_word(target)?,
        },
        RawVerb::ResumeOrganisation => Command::ResumeOrganisation {
            organisation: resolver.parse_word(target)?,
        },
        RawVerb::CreateClass => {
            let class = resolver.parse_word(target);
            let settings = read_class_settings(resolver, settings);
            report_missing(resolver, target, class.clone(), |name| {
                settings.create(name).err()
            });
            Command::CreateClass {
                class: class?,
                settings,
            }
        }
        RawVerb::AlterClass => {
            let class = resolver.parse_word(target);
            let settings = read_class_settings(resolver, settings);
            Command::AlterClass {
                class: class?,
                settings,
            }
        }
        RawVerb::DeleteClass => Command::DeleteClass {
            class: resolver.parse_word(target)?,
        },
        RawVerb::SetGuarantee => {
            let organisation = resolver.parse_word(target);
            let guarantee = read_guarantee(resolver, settings);
            Command::SetGuarantee {
                organisation: organisation?,
                guarantee: guarantee?,
            }
        }
        RawVerb::DrainWorker => Command::DrainWorker {
            worker: resolver.parse_word(target)?,
        },
        RawVerb::ReturnWorker => Command::ReturnWorker {
            worker: resolver.parse_word(target)?,
        },
        RawVerb::CancelJob => Command::CancelJob {
            job: resolver.parse_word(target)?,
        },
    };
    Some(CommandRequest {
        command,
        is_plan: raw.is_plan,
    })
}

/// Reports the settings that a new item requires and that are missing.
fn report_missing<N, E: std::fmt::Display>(
    resolver: &mut Resolver<'_>,
    target: &Word,
    name: Option<N>,
    check: impl FnOnce(N) -> Option<E>,
) {
    if let Some(error) = name.and_then(check) {
        resolver.report(target.offset, error.to_string());
    }
}

fn read_guarantee(resolver: &mut Resolver<'_>, settings: &[RawSetting]) -> Option<Guarantee> {
    let [data_centre, count, level] = settings else {
        return None;
    };
    let data_centre = resolver.parse_word(&data_centre.name);
    let count = resolver.parse_number(&count.name);
    let level = resolver.parse_choice(&level.name, &LEVELS);
    Some(Guarantee {
        data_centre: data_centre?,
        level: level?,
        count: count?,
    })
}

/// Returns the only value of `setting`; reports a setting with more or fewer values.
fn read_single<'s>(resolver: &mut Resolver<'_>, setting: &'s RawSetting) -> Option<&'s Word> {
    if let [RawLiteral { text, .. }] = setting.values.as_slice() {
        return Some(text);
    }
    let message = format!("{} takes one value", setting.name.value);
    resolver.report(setting.name.offset, message);
    None
}

/// Reports settings that are unknown or repeated.
fn check_setting_names(
    resolver: &mut Resolver<'_>,
    settings: &[RawSetting],
    known: &[&'static str],
) {
    for (index, setting) in settings.iter().enumerate() {
        let name = &setting.name;
        if !known.contains(&name.value.as_str()) {
            let hint = suggest(&name.value, known.iter().copied());
            let listed = known.join(", ");
            let message = format!("expected {listed}; found {:?}{hint}", name.value);
            resolver.report(name.offset, message);
        }
        let is_repeated = settings[..index]
            .iter()
            .any(|earlier| earlier.name.value == name.value);
        if is_repeated {
            resolver.report(name.offset, format!("{} is set twice", name.value));
        }
    }
}

fn read_organisation_settings(
    resolver: &mut Resolver<'_>,
    raw: &[RawSetting],
) -> OrganisationSettings {
    check_setting_names(resolver, raw, &OrganisationSettings::NAMES);
    let mut settings = OrganisationSettings::default();
    for setting in raw {
        match setting.name.value.as_str() {
            "accelerators" => settings.accelerators = read_number(resolver, setting),
            "requests" => settings.requests = read_number(resolver, setting),
            "classes" => {
                let names = setting
                    .values
                    .iter()
                    .filter_map(|literal| resolver.parse_word(&literal.text))
                    .collect();
                settings.classes = Some(names);
            }
            _ => {}
        }
    }
    settings
}

fn read_class_settings(resolver: &mut Resolver<'_>, raw: &[RawSetting]) -> ClassSettings {
    check_setting_names(resolver, raw, &ClassSettings::NAMES);
    let mut settings = ClassSettings::default();
    for setting in raw {
        match setting.name.value.as_str() {
            "urgency" => {
                settings.urgency = read_single(resolver, setting)
                    .and_then(|word| resolver.parse_choice(word, &URGENCIES));
            }
            "expected_run" => settings.expected_run_ms = read_duration(resolver, setting),
            "deadline" => settings.deadline_ms = read_duration(resolver, setting),
            "grace" => settings.grace_ms = read_duration(resolver, setting),
            "idempotent" => {
                settings.idempotent = read_single(resolver, setting)
                    .and_then(|word| resolver.parse_choice(word, &["true", "false"]));
            }
            "in_flight_max" => settings.in_flight_max = read_number(resolver, setting),
            "queue_max" => settings.queue_max = read_number(resolver, setting),
            _ => {}
        }
    }
    settings
}

fn read_number(resolver: &mut Resolver<'_>, setting: &RawSetting) -> Option<u32> {
    let word = read_single(resolver, setting)?;
    resolver.parse_number(word)
}

fn read_duration(resolver: &mut Resolver<'_>, setting: &RawSetting) -> Option<u64> {
    let word = read_single(resolver, setting)?;
    resolver.parse_duration(word)
}
