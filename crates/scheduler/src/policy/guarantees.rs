//! Decides which urgent work the guarantee of its organisation covers. Covered work is not stopped for the guarantee of
//! another organisation; all other work is.

use crate::group::JobKey;

/// An unfinished urgent job, as the guarantee of its organisation sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UrgentJob {
    pub job: JobKey,
    /// Position in the order of acceptance.
    pub order: u64,
    /// The accelerators that it needs.
    pub accelerators: i64,
    /// Whether a part of its tasks is of use; a gang runs whole or not at all.
    pub is_divisible: bool,
}

/// Divides the guaranteed accelerators of an organisation among its unfinished urgent jobs. Returns those that each job
/// gets, if it gets all that it needs or a part that is of use. An organisation without a guarantee covers nothing, not
/// even work that needs no accelerators.
///
/// The order of acceptance decides, so that the choice depends neither on what runs nor on earlier choices: what is
/// covered stays covered until its job has ended.
pub(crate) fn divide_guarantee(guaranteed: i64, mut jobs: Vec<UrgentJob>) -> Vec<(JobKey, i64)> {
    if guaranteed <= 0 {
        return Vec::new();
    }
    jobs.sort_by_key(|job| job.order);
    let mut left = guaranteed;
    let mut covered = Vec::new();
    for job in jobs {
        let share = match job.accelerators <= left {
            true => job.accelerators,
            false if job.is_divisible && left > 0 => left,
            false => continue,
        };
        left -= share;
        covered.push((job.job, share));
    }
    covered
}
