//! Checkpoints of gang members, which survive a crash of their worker.

use std::collections::BTreeMap;

use model::prelude::*;

/// Completed share of the work in the last checkpoint of each gang member, in thousandths.
#[derive(Debug, Default)]
pub struct Checkpoints(BTreeMap<(JobId, u32), u32>);

impl Checkpoints {
    /// Returns the saved share of a member, in thousandths; 0 without a checkpoint.
    pub fn get(&self, job: &JobId, member: u32) -> u32 {
        self.0.get(&(job.clone(), member)).copied().unwrap_or(0)
    }

    /// Saves the share of a member, in thousandths.
    pub fn save(&mut self, job: &JobId, member: u32, permille: u32) {
        self.0.insert((job.clone(), member), permille);
    }

    /// Removes the checkpoint of a member that has finished.
    pub fn forget(&mut self, job: &JobId, member: u32) {
        self.0.remove(&(job.clone(), member));
    }
}
