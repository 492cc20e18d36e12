//! Picks the organisations, classes and nodes of a site that the checks use.

use model::prelude::*;
use serde_json::Value;

use super::client::SiteClient;
use super::site::{CheckError, NodeDescription};

/// Organisations, classes and nodes that the checks use.
#[derive(Debug)]
pub(super) struct Sample {
    /// Organisation that is guaranteed a whole rack.
    pub(super) rack_holder: OrganisationName,
    /// Data centre of the rack.
    pub(super) data_centre: DataCentreName,
    /// Nodes of that data centre.
    pub(super) nodes: Vec<NodeDescription>,
    /// Other organisations.
    pub(super) others: Vec<OrganisationName>,
    /// The class with the shortest expected run time.
    pub(super) short: ClassName,
    /// The class with the longest expected run time.
    pub(super) long: ClassName,
}

impl Sample {
    /// Reads the declarations and the list of nodes.
    pub(super) async fn read(client: &SiteClient) -> Result<Self, CheckError> {
        let node = client.site.nodes.first();
        let node = node.ok_or(CheckError::Missing("node"))?;
        let declared = client.declarations(node).await?;
        let organisations: Vec<OrganisationSpec> = values_of(&declared, "organisations");
        let classes: Vec<ClassSpec> = values_of(&declared, "classes");
        let (rack_holder, data_centre) = organisations
            .iter()
            .find_map(|spec| {
                let mut guarantees = spec.guarantees.iter();
                let rack = guarantees.find(|g| g.level == Level::Rack)?;
                Some((spec.name.clone(), rack.data_centre.clone()))
            })
            .ok_or(CheckError::Missing("organisation with a guaranteed rack"))?;
        let by_run_ms = |class: &&ClassSpec| class.expected_run_ms;
        let short = classes.iter().min_by_key(by_run_ms);
        let long = classes.iter().max_by_key(by_run_ms);
        let nodes = client.site.nodes_in(&data_centre);
        if nodes.len() < 2 {
            return Err(CheckError::Missing("second node in a data centre"));
        }
        let names = organisations.into_iter().map(|spec| spec.name);
        Ok(Self {
            others: names.filter(|name| *name != rack_holder).collect(),
            rack_holder,
            data_centre,
            nodes,
            short: short.ok_or(CheckError::Missing("class"))?.name.clone(),
            long: long.ok_or(CheckError::Missing("class"))?.name.clone(),
        })
    }

    /// Returns a node of the data centre; successive indices rotate through its nodes.
    pub(super) fn node(&self, index: usize) -> &NodeDescription {
        &self.nodes[index % self.nodes.len()]
    }

    /// Returns an organisation other than the holder of the rack; successive indices rotate through
    /// them.
    pub(super) fn other(&self, index: usize) -> &OrganisationName {
        match self.others.len() {
            0 => &self.rack_holder,
            len => &self.others[index % len],
        }
    }
}

/// Parses the values of a map in the declarations.
fn values_of<T: serde::de::DeserializeOwned>(declared: &Value, field: &str) -> Vec<T> {
    let map = declared["declarations"][field].as_object();
    let values = map.into_iter().flat_map(|map| map.values());
    values
        .filter_map(|value| serde_json::from_value(value.clone()).ok())
        .collect()
}
