//! Reads declaration files: JSON with comments, with any number of items in each file.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use model::document::{Document, Fields, Node};
use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::check::check_set;
use crate::item::{DeclarationKey, ItemValue};
use crate::set::{DataCentreSpec, DeclarationSet, Limits};

/// A declaration file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SourceFile {
    /// Name that findings print.
    pub name: String,
    /// Text of the file.
    pub text: String,
}

/// A value with the source places of its items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Source place of each item.
    pub places: BTreeMap<DeclarationKey, Place>,
}

/// Values of the field `urgency`.
const URGENCIES: [&str; 3] = ["urgent", "normal", "background"];

/// Values of the field `level`.
const LEVELS: [&str; 7] = [
    "accelerator",
    "pair",
    "four",
    "worker",
    "two_workers",
    "four_workers",
    "rack",
];

/// Reads and validates `files` as one declaration set.
///
/// # Errors
///
/// All findings of all files; of a file with syntax errors, only the first one. The set as a whole
/// is validated only when no file has a syntax error.
pub fn parse_files(files: &[SourceFile]) -> Result<Located<DeclarationSet>, Findings> {
    let mut merged = MergedFiles::default();
    for file in files {
        merged.add_file(file);
    }
    if !merged.has_syntax_error {
        let findings = check_set(&merged.with_placeholders(), |key| {
            find_place(&merged.places, key)
        });
        merged.findings.extend(findings);
    }
    sort_by_place(merged.findings).into_result(Located {
        value: merged.set,
        places: merged.places,
    })
}

/// Returns the findings sorted by place.
fn sort_by_place(findings: Findings) -> Findings {
    let mut sorted: Vec<&Finding> = findings.iter().collect();
    sorted.sort_by(|a, b| a.place.cmp(&b.place));
    let mut ordered = Findings::default();
    for finding in sorted {
        ordered.push(finding.place.clone(), finding.message.clone());
    }
    ordered
}

/// Returns the place of an item, or a generic one when it has none.
fn find_place(places: &BTreeMap<DeclarationKey, Place>, key: &DeclarationKey) -> Place {
    places
        .get(key)
        .cloned()
        .unwrap_or_else(|| Place::of_offset("declarations", "", 0))
}

/// Items and findings of the files read so far.
#[derive(Debug, Default)]
struct MergedFiles {
    set: DeclarationSet,
    places: BTreeMap<DeclarationKey, Place>,
    findings: Findings,
    /// Names of all declared classes, including those with findings.
    class_names: Vec<ClassName>,
    /// Names of all declared data centres, including those with findings.
    data_centre_names: Vec<DataCentreName>,
    /// Whether a file has a syntax error, so that its items are unknown.
    has_syntax_error: bool,
}

impl MergedFiles {
    /// Adds the items of one file.
    fn add_file(&mut self, file: &SourceFile) {
        match Document::parse(&file.name, &file.text) {
            Ok(document) => self.add_items(document.root()),
            Err(findings) => {
                self.has_syntax_error = true;
                self.findings.extend(findings);
            }
        }
    }

    /// Returns the set with a placeholder for each class and data centre whose declaration has
    /// findings, so that references to it are not reported as well.
    fn with_placeholders(&self) -> DeclarationSet {
        let mut set = self.set.clone();
        for name in &self.class_names {
            let name = name.clone();
            set.classes
                .entry(name.clone())
                .or_insert_with(|| placeholder_class(name));
        }
        for name in &self.data_centre_names {
            let name = name.clone();
            let spec = DataCentreSpec {
                name: name.clone(),
                workers: u32::MAX,
            };
            set.data_centres.entry(name).or_insert(spec);
        }
        set
    }

    /// Adds the items of the top-level object of a file.
    fn add_items(&mut self, root: Node<'_>) {
        let mut findings = Findings::default();
        let Some(mut fields) = root.fields(&mut findings) else {
            self.findings.extend(findings);
            return;
        };
        let mut items = Vec::new();
        let organisations = fields.optional("organisations");
        items.extend(read_items(organisations, &mut findings, read_organisation));
        let classes = fields.optional("classes");
        self.class_names.extend(scan_names(classes));
        items.extend(read_items(classes, &mut findings, read_class));
        let data_centres = fields.optional("data_centres");
        self.data_centre_names.extend(scan_names(data_centres));
        items.extend(read_items(data_centres, &mut findings, read_data_centre));
        if let Some(node) = fields.optional("operator_token_digests") {
            let digests = read_digests(Some(node), &mut findings);
            items.push((node.place(), ItemValue::OperatorTokens(digests)));
        }
        if let Some(node) = fields.optional("limits") {
            items.extend(read_item(node, &mut findings, read_limits));
        }
        fields.finish(&mut findings);
        self.findings.extend(findings);
        for (place, item) in items {
            self.add_item(place, item);
        }
    }

    /// Adds one item; a second item with the same key is a finding that names both places.
    fn add_item(&mut self, place: Place, item: ItemValue) {
        let key = item.key();
        if let Some(first) = self.places.get(&key) {
            let message = format!("{key} is declared twice; the first time at {first}");
            self.findings.push(place, message);
            return;
        }
        self.places.insert(key, place);
        self.set.put(item);
    }
}

/// Creates a class that passes all checks.
const fn placeholder_class(name: ClassName) -> ClassSpec {
    ClassSpec {
        name,
        urgency: Urgency::Normal,
        expected_run_ms: 1,
        deadline_ms: 1,
        grace_ms: 0,
        idempotent: false,
        in_flight_max: 1,
        queue_max: 1,
    }
}

/// Returns the valid names of the objects in a list.
fn scan_names<T: FromStr>(list: Option<Node<'_>>) -> Vec<T> {
    let mut ignored = Findings::default();
    let elements = list.map(|node| node.elements(&mut ignored));
    let names = elements.into_iter().flatten().filter_map(|element| {
        let mut ignored = Findings::default();
        let name = element.fields(&mut ignored)?.optional("name")?;
        name.string(&mut ignored)?.parse().ok()
    });
    names.collect()
}

/// Reads each element of a list by `read`; omits elements with findings.
fn read_list<T>(
    list: Option<Node<'_>>,
    findings: &mut Findings,
    mut read: impl FnMut(Node<'_>, &mut Findings) -> Option<T>,
) -> Vec<T> {
    let Some(list) = list else {
        return Vec::new();
    };
    let elements = list.elements(findings);
    elements.filter_map(|node| read(node, findings)).collect()
}

/// Reads each item of a list with its place.
fn read_items(
    list: Option<Node<'_>>,
    findings: &mut Findings,
    read: impl Fn(&mut Fields<'_>, &mut Findings) -> Option<ItemValue>,
) -> Vec<(Place, ItemValue)> {
    read_list(list, findings, |node, findings| {
        read_item(node, findings, &read)
    })
}

/// Reads one item with its place; each field that `read` does not request is a finding.
fn read_item(
    node: Node<'_>,
    findings: &mut Findings,
    read: impl Fn(&mut Fields<'_>, &mut Findings) -> Option<ItemValue>,
) -> Option<(Place, ItemValue)> {
    let mut fields = node.fields(findings)?;
    let item = read(&mut fields, findings);
    fields.finish(findings);
    Some((node.place(), item?))
}

/// Reads an organisation.
fn read_organisation(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<ItemValue> {
    let name = read_checked(fields, "name", findings);
    let guarantees = read_list(fields.optional("guarantees"), findings, read_guarantee);
    let quota = fields.required("quota", findings);
    let quota = quota.and_then(|node| read_quota(node, findings));
    let classes = read_list(fields.optional("classes"), findings, |node, findings| {
        node.checked(findings)
    });
    let token_digests = read_digests(fields.optional("token_digests"), findings);
    let suspended = match fields.optional("suspended") {
        Some(node) => node.boolean(findings),
        None => Some(false),
    };
    Some(ItemValue::Organisation(OrganisationSpec {
        name: name?,
        guarantees,
        quota: quota?,
        classes,
        token_digests,
        suspended: suspended?,
    }))
}

/// Reads a guarantee.
fn read_guarantee(node: Node<'_>, findings: &mut Findings) -> Option<Guarantee> {
    let mut fields = node.fields(findings)?;
    let data_centre = read_checked(&mut fields, "data_centre", findings);
    let level = read_choice(&mut fields, "level", &LEVELS, findings);
    let count = read_u32(&mut fields, "count", findings);
    fields.finish(findings);
    Some(Guarantee {
        data_centre: data_centre?,
        level: level?,
        count: count?,
    })
}

/// Reads a quota.
fn read_quota(node: Node<'_>, findings: &mut Findings) -> Option<Quota> {
    let mut fields = node.fields(findings)?;
    let accelerators = read_u32(&mut fields, "accelerators", findings);
    let requests_in_flight = read_u32(&mut fields, "requests_in_flight", findings);
    fields.finish(findings);
    Some(Quota {
        accelerators: accelerators?,
        requests_in_flight: requests_in_flight?,
    })
}

/// Reads a class.
fn read_class(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<ItemValue> {
    let name = read_checked(fields, "name", findings);
    let urgency = read_choice(fields, "urgency", &URGENCIES, findings);
    let expected_run_ms = read_u64(fields, "expected_run_ms", findings);
    let deadline_ms = read_u64(fields, "deadline_ms", findings);
    let grace_ms = read_u64(fields, "grace_ms", findings);
    let idempotent = fields.required("idempotent", findings);
    let idempotent = idempotent.and_then(|node| node.boolean(findings));
    let in_flight_max = read_u32(fields, "in_flight_max", findings);
    let queue_max = read_u32(fields, "queue_max", findings);
    Some(ItemValue::Class(ClassSpec {
        name: name?,
        urgency: urgency?,
        expected_run_ms: expected_run_ms?,
        deadline_ms: deadline_ms?,
        grace_ms: grace_ms?,
        idempotent: idempotent?,
        in_flight_max: in_flight_max?,
        queue_max: queue_max?,
    }))
}

/// Reads the size of a data centre.
fn read_data_centre(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<ItemValue> {
    let name = read_checked(fields, "name", findings);
    let workers = read_u32(fields, "workers", findings);
    Some(ItemValue::DataCentre(DataCentreSpec {
        name: name?,
        workers: workers?,
    }))
}

/// Reads the limits; absent fields keep their defaults.
fn read_limits(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<ItemValue> {
    let mut limits = Limits::default();
    let targets = [
        ("body_bytes_max", &mut limits.body_bytes_max),
        ("requests_per_node_max", &mut limits.requests_per_node_max),
        (
            "region_link_bytes_per_s",
            &mut limits.region_link_bytes_per_s,
        ),
    ];
    let mut is_read = true;
    for (name, target) in targets {
        let Some(node) = fields.optional(name) else {
            continue;
        };
        match parse_u32(node, findings) {
            Some(number) => *target = number,
            None => is_read = false,
        }
    }
    is_read.then_some(ItemValue::Limits(limits))
}

/// Reads a list of token digests.
fn read_digests(list: Option<Node<'_>>, findings: &mut Findings) -> Vec<TokenDigest> {
    read_list(list, findings, |node, findings| {
        let raw = node.string(findings)?;
        match TokenDigest::try_from(raw.to_owned()) {
            Ok(digest) => Some(digest),
            Err(e) => {
                node.report(findings, e.to_string());
                None
            }
        }
    })
}

/// Reads the required field `name` as a parsed value, such as a name.
fn read_checked<T>(
    fields: &mut Fields<'_>,
    name: &'static str,
    findings: &mut Findings,
) -> Option<T>
where
    T: FromStr,
    T::Err: Display,
{
    fields.required(name, findings)?.checked(findings)
}

/// Reads the required field `name` as one of `choices`.
fn read_choice<T: FromStr>(
    fields: &mut Fields<'_>,
    name: &'static str,
    choices: &[&str],
    findings: &mut Findings,
) -> Option<T> {
    fields.required(name, findings)?.choice(choices, findings)
}

/// Reads the required field `name` as a whole number.
fn read_u64(fields: &mut Fields<'_>, name: &'static str, findings: &mut Findings) -> Option<u64> {
    fields
        .required(name, findings)?
        .number(0..=u64::MAX, findings)
}

/// Reads the required field `name` as a whole number of 32 bits.
fn read_u32(fields: &mut Fields<'_>, name: &'static str, findings: &mut Findings) -> Option<u32> {
    parse_u32(fields.required(name, findings)?, findings)
}

/// Reads `node` as a whole number of 32 bits.
fn parse_u32(node: Node<'_>, findings: &mut Findings) -> Option<u32> {
    let number = node.number(0..=u64::from(u32::MAX), findings)?;
    u32::try_from(number).ok()
}
