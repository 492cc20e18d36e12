//! Check of the invariants that hold between two events.

use model::prelude::*;
use thiserror::Error;

use crate::blocks::{LevelCounts, count_blocks};
use crate::engine::Placement;
use crate::guarantees::add_counts;
use crate::job::{Job, JobKey, Phase};
use crate::organisation::add_demand;

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvariantViolation {
    /// Blocks that are free or held by preemptible work do not cover the guarantees that are not in
    /// use.
    #[error("{available} blocks of level {level} cannot cover {demanded} guaranteed ones")]
    Uncovered {
        /// Level of the blocks.
        level: Level,
        /// Number of blocks that are free or held by preemptible work.
        available: i64,
        /// Number of blocks that guarantees not in use need.
        demanded: i64,
    },
    /// An incrementally updated count differs from a full recount.
    #[error("the count of {what} is wrong")]
    Count {
        /// Name of the count.
        what: &'static str,
    },
    /// A job holds other accelerators than its phase requires.
    #[error("job {job} holds the wrong accelerators")]
    Held {
        /// The job.
        job: JobId,
    },
    /// The accelerators of a job are marked as guaranteed although the job is preemptible, or lie
    /// outside of bound blocks.
    #[error("job {job} is protected outside of the guarantee of its organisation")]
    Protected {
        /// The job.
        job: JobId,
    },
}

impl Placement {
    /// Checks that guarantees are covered at every level and that all counts and allocations are
    /// consistent.
    ///
    /// # Errors
    ///
    /// Returns the first violation that is found.
    pub fn check_invariant(&self) -> Result<(), InvariantViolation> {
        self.check_counts()?;
        self.check_cover()?;
        let mut used = 0;
        for (key, job) in &self.jobs {
            used += self.check_job(key, job)?;
        }
        let racks = self.topology.racks.iter();
        let marked: u32 = racks.map(|rack| rack.used.count_ones()).sum();
        if used != marked {
            return Err(InvariantViolation::Count {
                what: "held accelerators",
            });
        }
        Ok(())
    }

    fn check_counts(&self) -> Result<(), InvariantViolation> {
        let mut bindable = LevelCounts::default();
        for rack in &self.topology.racks {
            add_counts(&mut bindable, &count_blocks(rack.bindable()));
        }
        if bindable != self.topology.bindable {
            return Err(InvariantViolation::Count {
                what: "blocks that guarantees can be bound to",
            });
        }
        let mut demand = LevelCounts::default();
        for organisation in &self.registry.organisations {
            for level in Level::ALL {
                let blocks = i64::from(organisation.claimable(level));
                add_demand(&mut demand, level, blocks);
            }
        }
        if demand != self.registry.demand {
            return Err(InvariantViolation::Count {
                what: "guarantees not in use",
            });
        }
        Ok(())
    }

    fn check_cover(&self) -> Result<(), InvariantViolation> {
        for level in Level::ALL {
            let available = self.topology.bindable[level as usize];
            let demanded = self.registry.demand[level as usize];
            if available < demanded {
                return Err(InvariantViolation::Uncovered {
                    level,
                    available,
                    demanded,
                });
            }
        }
        Ok(())
    }

    /// Checks the allocation of one job; returns the number of accelerators that it holds.
    fn check_job(&self, key: JobKey, job: &Job) -> Result<u32, InvariantViolation> {
        let wrong = || InvariantViolation::Held {
            job: job.id.clone(),
        };
        let count = job.members.iter().map(|m| m.accelerators.count()).sum();
        if !job.is_holding() && job.phase != Phase::Claiming {
            return if count == 0 { Ok(0) } else { Err(wrong()) };
        }
        let is_stopping = matches!(job.phase, Phase::Stopping { .. });
        if !is_stopping && count != job.need.accelerators() {
            return Err(wrong());
        }
        for held in &job.members {
            let rack = self.topology.rack(held.worker.rack());
            let mask = held.mask();
            if job.phase == Phase::Claiming {
                if rack.claimed & mask != mask {
                    return Err(wrong());
                }
                continue;
            }
            let mut bits = crate::blocks::bits(mask);
            if rack.used & mask != mask || bits.any(|bit| rack.holders[bit as usize] != key) {
                return Err(wrong());
            }
            let guaranteed = rack.used_guaranteed & mask;
            if guaranteed != if job.is_guaranteed() { mask } else { 0 }
                || guaranteed & !rack.bound != 0
            {
                return Err(InvariantViolation::Protected {
                    job: job.id.clone(),
                });
            }
        }
        Ok(if job.is_holding() { count } else { 0 })
    }
}
