//! The whole declared configuration as one value.

use std::collections::BTreeMap;

use model::prelude::*;
use serde::{Deserialize, Serialize};

use crate::item::{DeclarationKey, ItemValue};

/// Size of a data centre, against which guarantees are checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreSpec {
    /// Name of the data centre.
    pub name: DataCentreName,
    /// Workers that guarantees may count on, in racks that are filled one after the other.
    pub workers: u32,
}

/// Limits of the whole deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: u32,
    /// Maximum number of open requests per entry node.
    pub requests_per_node_max: u32,
    /// Maximum rate of one node's control traffic to other regions, in bytes per second.
    pub region_link_bytes_per_s: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes_max: 1_000_000,
            requests_per_node_max: 10_000,
            region_link_bytes_per_s: 15_000,
        }
    }
}

/// Everything that the operators have declared.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclarationSet {
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationName, OrganisationSpec>,
    /// Classes of work by name.
    pub classes: BTreeMap<ClassName, ClassSpec>,
    /// Sizes of data centres by name; when empty, guarantees are not checked against sizes.
    pub data_centres: BTreeMap<DataCentreName, DataCentreSpec>,
    /// Digests of the operators' tokens.
    pub operator_token_digests: Vec<TokenDigest>,
    /// Limits of the whole deployment.
    pub limits: Limits,
}

impl DeclarationSet {
    /// Returns the keys of all declared items.
    pub fn keys(&self) -> Vec<DeclarationKey> {
        let organisations = self.organisations.keys().cloned();
        let classes = self.classes.keys().cloned();
        let data_centres = self.data_centres.keys().cloned();
        let mut keys: Vec<DeclarationKey> = organisations
            .map(DeclarationKey::Organisation)
            .chain(classes.map(DeclarationKey::Class))
            .chain(data_centres.map(DeclarationKey::DataCentre))
            .collect();
        if !self.operator_token_digests.is_empty() {
            keys.push(DeclarationKey::OperatorTokens);
        }
        if self.limits != Limits::default() {
            keys.push(DeclarationKey::Limits);
        }
        keys
    }

    /// Returns the item under `key`, or `None` when it is not declared.
    pub fn item(&self, key: &DeclarationKey) -> Option<ItemValue> {
        match key {
            DeclarationKey::Organisation(name) => self
                .organisations
                .get(name)
                .cloned()
                .map(ItemValue::Organisation),
            DeclarationKey::Class(name) => self.classes.get(name).cloned().map(ItemValue::Class),
            DeclarationKey::DataCentre(name) => self
                .data_centres
                .get(name)
                .cloned()
                .map(ItemValue::DataCentre),
            DeclarationKey::OperatorTokens => {
                let digests = &self.operator_token_digests;
                (!digests.is_empty()).then(|| ItemValue::OperatorTokens(digests.clone()))
            }
            DeclarationKey::Limits => {
                (self.limits != Limits::default()).then_some(ItemValue::Limits(self.limits))
            }
        }
    }

    /// Adds or replaces an item.
    pub fn put(&mut self, value: ItemValue) {
        match value {
            ItemValue::Organisation(spec) => {
                self.organisations.insert(spec.name.clone(), spec);
            }
            ItemValue::Class(spec) => {
                self.classes.insert(spec.name.clone(), spec);
            }
            ItemValue::DataCentre(spec) => {
                self.data_centres.insert(spec.name.clone(), spec);
            }
            ItemValue::OperatorTokens(digests) => self.operator_token_digests = digests,
            ItemValue::Limits(limits) => self.limits = limits,
        }
    }

    /// Removes an item; removed limits return to their defaults.
    pub fn remove(&mut self, key: &DeclarationKey) {
        match key {
            DeclarationKey::Organisation(name) => {
                self.organisations.remove(name);
            }
            DeclarationKey::Class(name) => {
                self.classes.remove(name);
            }
            DeclarationKey::DataCentre(name) => {
                self.data_centres.remove(name);
            }
            DeclarationKey::OperatorTokens => self.operator_token_digests.clear(),
            DeclarationKey::Limits => self.limits = Limits::default(),
        }
    }
}
