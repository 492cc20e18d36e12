//! Reads JSON with comments into checked values and collects every finding with its position.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};

use crate::finding::{Findings, Place};
use crate::nearest::suggest;

/// A parsed document.
#[derive(Debug)]
pub struct Document<'a> {
    file: &'a str,
    text: &'a str,
    root: Value<'a>,
}

impl<'a> Document<'a> {
    /// Parses `text`; findings name it as `file`.
    ///
    /// # Errors
    ///
    /// Returns the first syntax error, or a finding if the text is empty.
    pub fn parse(file: &'a str, text: &'a str) -> Result<Self, Findings> {
        let parsed =
            jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &strict_options());
        let mut findings = Findings::default();
        match parsed {
            Ok(result) => match result.value {
                Some(root) => return Ok(Self { file, text, root }),
                None => findings.push(Place::of_offset(file, text, 0), "the text is empty"),
            },
            Err(e) => {
                let place = Place::of_offset(file, text, e.range().start);
                findings.push(place, e.kind().to_string());
            }
        }
        Err(findings)
    }

    /// Returns the root value.
    pub fn root(&self) -> Node<'_> {
        Node {
            file: self.file,
            text: self.text,
            value: &self.root,
        }
    }
}

/// Returns the parse options that allow comments and trailing commas and no other extension of
/// JSON.
pub fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// One value of a document, with its position.
#[derive(Debug, Clone, Copy)]
pub struct Node<'d> {
    file: &'d str,
    text: &'d str,
    value: &'d Value<'d>,
}

impl<'d> Node<'d> {
    /// Returns the position at which the value starts.
    pub fn place(&self) -> Place {
        Place::of_offset(self.file, self.text, self.value.start())
    }

    /// Adds a finding at this value.
    pub fn report(&self, findings: &mut Findings, message: impl Into<String>) {
        findings.push(self.place(), message);
    }

    /// Adds a finding that states what was expected and what was found.
    fn report_kind(&self, findings: &mut Findings, expected: &str) {
        let found = match self.value {
            Value::StringLit(_) => "a string",
            Value::NumberLit(literal) => literal.value,
            Value::BooleanLit(literal) if literal.value => "true",
            Value::BooleanLit(_) => "false",
            Value::Object(_) => "an object",
            Value::Array(_) => "an array",
            Value::NullKeyword(_) => "null",
        };
        self.report(findings, format!("expected {expected}, found {found}"));
    }

    /// Returns the fields if the value is an object; otherwise adds a finding.
    pub fn fields(self, findings: &mut Findings) -> Option<Fields<'d>> {
        let Value::Object(object) = self.value else {
            self.report_kind(findings, "an object");
            return None;
        };
        let fields = Fields {
            node: self,
            properties: &object.properties,
            known: BTreeSet::new(),
        };
        fields.report_repeated(findings);
        Some(fields)
    }

    /// Returns the elements if the value is an array; otherwise adds a finding.
    pub fn elements(self, findings: &mut Findings) -> impl Iterator<Item = Node<'d>> + use<'d> {
        let elements = match self.value {
            Value::Array(array) => array.elements.as_slice(),
            _ => {
                self.report_kind(findings, "an array");
                &[]
            }
        };
        elements.iter().map(move |value| Node { value, ..self })
    }

    /// Returns the text if the value is a string; otherwise adds a finding.
    pub fn string(self, findings: &mut Findings) -> Option<&'d str> {
        let Value::StringLit(literal) = self.value else {
            self.report_kind(findings, "a string");
            return None;
        };
        Some(&literal.value)
    }

    /// Parses the string into a checked value; adds a finding if that fails.
    pub fn checked<T>(self, findings: &mut Findings) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let raw = self.string(findings)?;
        match raw.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.report(findings, format!("{raw:?}: {e}"));
                None
            }
        }
    }

    /// Parses the string as one of `choices`; adds a finding if that fails.
    pub fn choice<T: FromStr>(self, choices: &[&str], findings: &mut Findings) -> Option<T> {
        let raw = self.string(findings)?;
        let parsed = raw.parse().ok();
        if parsed.is_none() {
            let hint = suggest(raw, choices.iter().copied());
            let listed = choices.join(", ");
            let message = format!("expected one of {listed}, found {raw:?}{hint}");
            self.report(findings, message);
        }
        parsed
    }

    /// Returns the whole number if the value is one in `range`; otherwise adds a finding.
    pub fn number(self, range: RangeInclusive<u64>, findings: &mut Findings) -> Option<u64> {
        let parsed = match self.value {
            Value::NumberLit(literal) => literal.value.parse::<u64>().ok(),
            _ => None,
        };
        let accepted = parsed.filter(|number| range.contains(number));
        if accepted.is_none() {
            let (start, end) = range.into_inner();
            self.report_kind(findings, &format!("a whole number from {start} to {end}"));
        }
        accepted
    }

    /// Returns the boolean if the value is one; otherwise adds a finding.
    pub fn boolean(self, findings: &mut Findings) -> Option<bool> {
        let Value::BooleanLit(literal) = self.value else {
            self.report_kind(findings, "true or false");
            return None;
        };
        Some(literal.value)
    }
}

/// The fields of one object; fields that are never read are reported by [`Fields::finish`].
#[derive(Debug)]
pub struct Fields<'d> {
    node: Node<'d>,
    properties: &'d [ObjectProp<'d>],
    known: BTreeSet<&'static str>,
}

impl<'d> Fields<'d> {
    /// Returns the position at which the object starts.
    pub fn place(&self) -> Place {
        self.node.place()
    }

    /// Returns the field `name`; adds a finding if it is missing.
    pub fn required(&mut self, name: &'static str, findings: &mut Findings) -> Option<Node<'d>> {
        let found = self.optional(name);
        if found.is_none() {
            self.node
                .report(findings, format!("the field {name:?} is missing"));
        }
        found
    }

    /// Returns the field `name`, if the object has it.
    pub fn optional(&mut self, name: &'static str) -> Option<Node<'d>> {
        self.known.insert(name);
        let property = self
            .properties
            .iter()
            .find(|property| property.name.as_str() == name)?;
        Some(Node {
            value: &property.value,
            ..self.node
        })
    }

    /// Reports every field that was not read.
    pub fn finish(self, findings: &mut Findings) {
        let known: Vec<_> = self.known.iter().copied().collect();
        for property in self.properties {
            let name = property.name.as_str();
            if !self.known.contains(name) {
                let hint = suggest(name, known.iter().copied());
                let known = known.join(", ");
                self.report_name(
                    property,
                    findings,
                    format!("unknown field {name:?}; the fields are {known}{hint}"),
                );
            }
        }
    }

    /// Reports every field that is repeated.
    fn report_repeated(&self, findings: &mut Findings) {
        let mut seen = BTreeSet::new();
        for property in self.properties {
            let name = property.name.as_str();
            if !seen.insert(name) {
                self.report_name(
                    property,
                    findings,
                    format!("the field {name:?} is repeated"),
                );
            }
        }
    }

    /// Adds a finding at the name of a field.
    fn report_name(&self, property: &ObjectProp<'_>, findings: &mut Findings, message: String) {
        let place = Place::of_offset(self.node.file, self.node.text, property.start());
        findings.push(place, message);
    }
}
