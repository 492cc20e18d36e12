//! Sizes of blocks of adjacent accelerators, from one accelerator to a rack.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// Number of accelerators of one worker.
pub const ACCELERATORS_PER_WORKER: u32 = 8;

/// Number of workers of a full rack.
pub const WORKERS_PER_RACK: u32 = 8;

/// Size of a block of adjacent accelerators; a block consists of two blocks of the level below.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Level {
    /// One accelerator.
    Accelerator,
    /// Two accelerators of one worker.
    Pair,
    /// Four accelerators of one worker.
    Four,
    /// All eight accelerators of one worker.
    Worker,
    /// Two neighbouring workers of one rack.
    TwoWorkers,
    /// Four neighbouring workers of one rack.
    FourWorkers,
    /// All eight workers of one rack.
    Rack,
}

impl Level {
    /// Returns the number of accelerators of a block of this level.
    pub const fn accelerators(self) -> u32 {
        1 << (self as u32)
    }

    /// Returns the number of workers that a block of this level spans.
    pub const fn workers(self) -> u32 {
        let accelerators = self.accelerators();
        if accelerators <= ACCELERATORS_PER_WORKER {
            1
        } else {
            accelerators / ACCELERATORS_PER_WORKER
        }
    }

    /// Returns the smallest level with at least `accelerators`, or `None` if a rack has fewer.
    pub fn covering(accelerators: u32) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|level| level.accelerators() >= accelerators)
    }

    /// All levels, smallest first.
    pub const ALL: [Self; 7] = [
        Self::Accelerator,
        Self::Pair,
        Self::Four,
        Self::Worker,
        Self::TwoWorkers,
        Self::FourWorkers,
        Self::Rack,
    ];
}
