//! Divides the record of a job with many tasks into parts that are stored separately, and joins them.
//!
//! Which part a task belongs to depends on the job's steps and occurrences alone, so no task moves between parts and each
//! part can be written on its own.

use crate::job::JobState;
use crate::record::{GroupRecord, JobRecord, RecordPart, StoredJob, TaskRecord};

/// The most tasks in one part. Some 45 KB while all of them run, less than a write takes over the slowest link; and more
/// than a gang has, so that gangs stay whole.
pub(crate) const MAX_PART_TASKS: usize = 256;

/// The longest saved progress that a record keeps, so that a part has an upper bound. The platform's have 16 bytes; a task
/// whose progress is longer starts afresh after a takeover.
pub(crate) const MAX_PROGRESS_BYTES: usize = 256;

/// Divides the groups of a record; `sizes` are the numbers of tasks of all groups of the job, with occurrence and step, in
/// order. Returns the groups of the record itself, and the parts. A job with few tasks has no parts.
pub(crate) fn divide_groups(
    sizes: impl Iterator<Item = (u32, u32, usize)> + Clone,
    groups: Vec<GroupRecord>,
) -> (Vec<GroupRecord>, Vec<RecordPart>) {
    if sizes.clone().map(|(_, _, tasks)| tasks).sum::<usize>() <= MAX_PART_TASKS {
        return (groups, Vec::new());
    }
    let mut parts: Vec<RecordPart> = Vec::new();
    let mut groups = groups.into_iter().peekable();
    let (mut number, mut room) = (1, MAX_PART_TASKS);
    for (occurrence, step, tasks) in sizes {
        if tasks > room && room < MAX_PART_TASKS {
            (number, room) = (number + 1, MAX_PART_TASKS);
        }
        let is_recorded = |g: &GroupRecord| (g.occurrence, g.step) == (occurrence, step);
        let mut recorded = groups.next_if(is_recorded);
        let mut left = tasks;
        while left > 0 {
            if room == 0 {
                (number, room) = (number + 1, MAX_PART_TASKS);
            }
            let here = left.min(room);
            (left, room) = (left - here, room - here);
            if let Some(group) = recorded.take() {
                let (piece, rest) = cut_group(group, here);
                recorded = rest;
                add_group(&mut parts, number, piece);
            }
        }
    }
    (Vec::new(), parts)
}

/// Cuts a group after `count` tasks.
fn cut_group(mut group: GroupRecord, count: usize) -> (GroupRecord, Option<GroupRecord>) {
    if group.units.len() <= count {
        return (group, None);
    }
    let rest = GroupRecord {
        first: group.first + count as u32,
        units: group.units.split_off(count),
        ..group
    };
    (group, Some(rest))
}

/// Adds a group to a part, unless none of its tasks was ever assigned.
fn add_group(parts: &mut Vec<RecordPart>, number: u32, group: GroupRecord) {
    if group.units.iter().all(|task| task.run == 0) {
        return;
    }
    match parts.last_mut().filter(|part| part.number == number) {
        Some(part) => part.groups.push(group),
        None => parts.push(RecordPart {
            number,
            groups: vec![group],
        }),
    }
}

/// Joins a job's record with its parts. A task that both have is taken from the part, which is written first; an earlier
/// version wrote whole records. Without a record its first write was not completed.
pub fn join_record(
    stored: &StoredJob,
    record: Option<JobRecord>,
    parts: Vec<RecordPart>,
) -> Option<JobRecord> {
    if parts.is_empty() {
        return record;
    }
    let mut record = record.unwrap_or_else(|| JobRecord {
        state: JobState::Running,
        queue: stored.queue.clone(),
        organisation: stored.organisation.clone(),
        begun: true,
        unsubmitted: false,
        ended_unix_ms: 0,
        groups: Vec::new(),
    });
    for group in parts.into_iter().flat_map(|part| part.groups) {
        let step = stored.request.steps.get(group.step as usize);
        join_group(
            &mut record.groups,
            group,
            step.map_or(0, |s| s.count as usize),
        );
    }
    Some(record)
}

/// Adds a piece of a group whose step has `tasks` tasks.
fn join_group(groups: &mut Vec<GroupRecord>, piece: GroupRecord, tasks: usize) {
    let key = (piece.occurrence, piece.step);
    let at = match groups.iter().position(|g| (g.occurrence, g.step) == key) {
        Some(at) => at,
        None => {
            groups.push(GroupRecord {
                first: 0,
                units: Vec::new(),
                ..piece
            });
            groups.len() - 1
        }
    };
    let group = &mut groups[at];
    group.gang_failed = group.gang_failed.max(piece.gang_failed);
    group.gang_failed_run = group.gang_failed_run.max(piece.gang_failed_run);
    group.placed_unix_ms = group.placed_unix_ms.max(piece.placed_unix_ms);
    let indexes = piece.first as usize..tasks;
    for (index, task) in indexes.zip(piece.units) {
        if group.units.len() <= index {
            group.units.resize(index + 1, TaskRecord::default());
        }
        group.units[index] = task;
    }
}
