//! Specification of a simulated site.

use std::net::SocketAddr;

use model::prelude::*;
use thiserror::Error;

/// Number of workers of a deployment.
const WORKERS: u32 = 48;

/// Number of entry nodes of a deployment.
const NODES: u32 = 9;

/// Delays of links and lists, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delays {
    /// One-way delay between two data centres of one region.
    pub between_data_centres_ms: u64,
    /// One-way delay between two regions.
    pub between_regions_ms: u64,
    /// Lag of the VM list in the first data centre.
    pub list_lag_ms: u64,
    /// Increase of the lag of the VM list with each further data centre.
    pub list_lag_step_ms: u64,
    /// Lag of the workers' reports of their resource usage.
    pub usage_lag_ms: u64,
}

impl Default for Delays {
    fn default() -> Self {
        Self {
            between_data_centres_ms: 1,
            between_regions_ms: 12,
            list_lag_ms: 2_000,
            list_lag_step_ms: 500,
            usage_lag_ms: 3_000,
        }
    }
}

/// Specification of a site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteSpec {
    /// Name of the deployment.
    pub deployment: String,
    /// Data centres with their regions; the platform is in the first data centre.
    pub data_centres: Vec<(DataCentreName, RegionName)>,
    /// Number of workers, spread evenly over the data centres.
    pub workers: u32,
    /// Number of entry nodes that the embedding program starts.
    pub nodes: u32,
    /// Seed of all random choices.
    pub seed: u64,
    /// Port of the platform; 0 lets the operating system choose.
    pub port: u16,
    /// Delays of links and lists.
    pub delays: Delays,
}

/// Error of looking up a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SpecError {
    /// The deployment does not exist.
    #[error("there is no deployment {name:?}; there are kovacsne and blue-mahoe")]
    UnknownDeployment {
        /// Name that was looked up.
        name: String,
    },
    /// A name of the deployment is not valid.
    #[error(transparent)]
    Name(#[from] model::name::NameError),
}

impl SiteSpec {
    /// Returns the specification of a deployment: `kovacsne` or `blue-mahoe`.
    ///
    /// # Errors
    ///
    /// There is no such deployment, or one of its names is not valid.
    pub fn of_deployment(name: &str) -> Result<Self, SpecError> {
        let places = match name {
            "kovacsne" => [
                ("gyor", "dunantul"),
                ("pecs", "dunantul"),
                ("szeged", "alfold"),
            ],
            "blue-mahoe" => [
                ("montego", "cornwall"),
                ("savanna", "cornwall"),
                ("spanish-town", "surrey"),
            ],
            other => {
                let name = other.to_owned();
                return Err(SpecError::UnknownDeployment { name });
            }
        };
        let mut data_centres = Vec::new();
        for (data_centre, region) in places {
            data_centres.push((data_centre.parse()?, region.parse()?));
        }
        Ok(Self {
            deployment: name.to_owned(),
            data_centres,
            workers: WORKERS,
            nodes: NODES,
            seed: 0,
            port: 0,
            delays: Delays::default(),
        })
    }

    /// Returns the region of a data centre.
    pub fn region_of(&self, data_centre: &DataCentreName) -> Option<&RegionName> {
        let mut places = self.data_centres.iter();
        let place = places.find(|(name, _)| name == data_centre)?;
        Some(&place.1)
    }

    /// Returns the one-way delay between two data centres, in milliseconds.
    pub(crate) fn delay_ms(&self, from: &DataCentreName, to: &DataCentreName) -> u64 {
        if from == to {
            0
        } else if self.region_of(from) == self.region_of(to) {
            self.delays.between_data_centres_ms
        } else {
            self.delays.between_regions_ms
        }
    }

    /// Returns the one-way delay between a data centre and the platform, in milliseconds.
    pub(crate) fn platform_delay_ms(&self, from: &DataCentreName) -> u64 {
        let first = self.data_centres.first();
        first.map_or(0, |(platform_at, _)| self.delay_ms(from, platform_at))
    }

    /// Returns the lag of the VM list in a data centre, in milliseconds.
    pub(crate) fn list_lag_ms(&self, data_centre: &DataCentreName) -> u64 {
        let mut places = self.data_centres.iter();
        let position = places.position(|(name, _)| name == data_centre);
        let steps = position.unwrap_or(0) as u64;
        self.delays.list_lag_ms + steps * self.delays.list_lag_step_ms
    }
}

/// Entry node that the embedding program has registered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RegisteredNode {
    /// Name of the node.
    pub(crate) name: NodeName,
    /// Data centre of the node.
    pub(crate) data_centre: DataCentreName,
    /// Address of its peer interface.
    pub(crate) peer_address: SocketAddr,
}
