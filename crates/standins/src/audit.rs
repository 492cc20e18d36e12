//! Records of what the simulated workers ran, for checks of the system's guarantees.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use model::prelude::*;
use serde::Serialize;

/// Largest number of once-only requests that are remembered.
const TICKETED_MAX: usize = 200_000;

/// Largest number of other requests that are remembered.
const UNTICKETED_MAX: usize = 20_000;

/// Largest number of gangs that are remembered.
const GANGS_MAX: usize = 20_000;

/// Number of runs of one request on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RunCount {
    /// Ticket of a once-only request.
    pub ticket: Option<Ticket>,
    /// Work identifier of the request.
    pub work_id: WorkId,
    /// Worker that ran it.
    pub worker: WorkerName,
    /// Number of times that it was started.
    pub runs: u32,
}

/// Run counts of requests, oldest first.
#[derive(Debug, Default)]
struct RunLog {
    counts: HashMap<WorkId, Vec<RunCount>>,
    order: VecDeque<WorkId>,
}

impl RunLog {
    /// Counts one start; removes the oldest request when there would be more than `len_max`.
    fn record(&mut self, count: RunCount, len_max: usize) {
        if let Some(counts) = self.counts.get_mut(&count.work_id) {
            match counts.iter_mut().find(|c| c.worker == count.worker) {
                Some(existing) => existing.runs += 1,
                None => counts.push(count),
            }
            return;
        }
        if self.order.len() >= len_max
            && let Some(oldest) = self.order.pop_front()
        {
            self.counts.remove(&oldest);
        }
        self.order.push_back(count.work_id.clone());
        self.counts.insert(count.work_id.clone(), vec![count]);
    }

    /// Returns all counts, oldest request first.
    fn counts(&self) -> impl Iterator<Item = &RunCount> {
        self.order
            .iter()
            .filter_map(|id| self.counts.get(id))
            .flatten()
    }
}

/// Runs of requests on all workers.
#[derive(Debug, Default)]
pub struct RunAudit {
    ticketed: RunLog,
    unticketed: RunLog,
}

impl RunAudit {
    /// Counts one start of a request on a worker.
    pub fn record(&mut self, work_id: &WorkId, ticket: Option<&Ticket>, worker: &WorkerName) {
        let count = RunCount {
            ticket: ticket.cloned(),
            work_id: work_id.clone(),
            worker: worker.clone(),
            runs: 1,
        };
        match ticket {
            Some(_) => self.ticketed.record(count, TICKETED_MAX),
            None => self.unticketed.record(count, UNTICKETED_MAX),
        }
    }

    /// Returns all counts: once-only requests, then the others, each oldest first.
    pub fn counts(&self) -> impl Iterator<Item = &RunCount> {
        self.ticketed.counts().chain(self.unticketed.counts())
    }
}

/// Kind of a [`TaskEvent`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEventKind {
    /// The task started.
    Started,
    /// The task ended.
    Ended(TaskEnd),
    /// The worker of the task crashed.
    Lost,
}

/// Start or end of the task of one gang member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskEvent {
    /// Time of the event, in milliseconds since the start of the site.
    pub at_ms: u64,
    /// Lease that the task ran under.
    pub lease: LeaseId,
    /// Job of the gang.
    pub job: JobId,
    /// Organisation that it runs for.
    pub organisation: OrganisationName,
    /// Ticket of a once-only job.
    pub ticket: Option<Ticket>,
    /// Index of the member in the gang, from 0.
    pub member: u32,
    /// Number of members of the gang.
    pub members: u32,
    /// Kind of the event.
    pub kind: TaskEventKind,
}

/// Events of one gang.
#[derive(Debug)]
struct Gang {
    organisation: OrganisationName,
    ticket: Option<Ticket>,
    members: u32,
    events: Vec<TaskEvent>,
}

/// Report about one gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GangReport {
    /// The job.
    pub job: JobId,
    /// Organisation that it runs for.
    pub organisation: OrganisationName,
    /// Ticket of a once-only job.
    pub ticket: Option<Ticket>,
    /// Number of members.
    pub members: u32,
    /// Number of members that are running.
    pub running: u32,
    /// Longest time in which some members ran while another neither ran nor had finished, in
    /// milliseconds.
    pub partial_ms_max: u64,
    /// Number of starts of each member, by member index.
    pub runs: Vec<u32>,
    /// Number of members that have finished.
    pub finished: u32,
}

/// Task events of gangs on all workers.
#[derive(Debug, Default)]
pub struct GangAudit {
    gangs: BTreeMap<JobId, Gang>,
    order: VecDeque<JobId>,
}

impl GangAudit {
    /// Adds an event to its gang.
    pub fn record(&mut self, event: TaskEvent) {
        if !self.gangs.contains_key(&event.job) {
            self.add_gang(&event);
        }
        if let Some(gang) = self.gangs.get_mut(&event.job) {
            gang.events.push(event);
        }
    }

    /// Adds the gang of an event; removes the oldest gang when there would be more than
    /// [`GANGS_MAX`].
    fn add_gang(&mut self, event: &TaskEvent) {
        if self.order.len() >= GANGS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.gangs.remove(&oldest);
        }
        let gang = Gang {
            organisation: event.organisation.clone(),
            ticket: event.ticket.clone(),
            members: event.members,
            events: Vec::new(),
        };
        self.gangs.insert(event.job.clone(), gang);
        self.order.push_back(event.job.clone());
    }

    /// Reports of all gangs, oldest first.
    pub fn reports(&self, now_ms: u64) -> Vec<GangReport> {
        let reports = self.order.iter().filter_map(|job| {
            let gang = self.gangs.get(job)?;
            Some(report_gang(job, gang, now_ms))
        });
        reports.collect()
    }
}

/// State of a gang while its events are replayed.
#[derive(Debug, Default)]
struct Replay {
    running: BTreeMap<u32, BTreeSet<LeaseId>>,
    finished: BTreeSet<u32>,
    partial_since_ms: Option<u64>,
    partial_ms_max: u64,
}

impl Replay {
    /// Applies one event.
    fn apply(&mut self, event: &TaskEvent) {
        match event.kind {
            TaskEventKind::Started => {
                self.finished.remove(&event.member);
                let leases = self.running.entry(event.member).or_default();
                leases.insert(event.lease);
            }
            TaskEventKind::Ended(end) => {
                self.remove_running(event);
                if end == TaskEnd::Finished {
                    self.finished.insert(event.member);
                }
            }
            TaskEventKind::Lost => self.remove_running(event),
        }
    }

    /// Removes the task of an event from the running tasks.
    fn remove_running(&mut self, event: &TaskEvent) {
        if let Some(leases) = self.running.get_mut(&event.member) {
            leases.remove(&event.lease);
            if leases.is_empty() {
                self.running.remove(&event.member);
            }
        }
    }

    /// Updates the time for which the gang has been partial; called after all events of `at_ms`.
    fn measure(&mut self, at_ms: u64, members: u32) {
        let is_missing =
            (0..members).any(|m| !self.running.contains_key(&m) && !self.finished.contains(&m));
        let is_partial = is_missing && !self.running.is_empty();
        if let Some(since_ms) = self.partial_since_ms {
            self.partial_ms_max = self.partial_ms_max.max(at_ms.saturating_sub(since_ms));
        }
        if !is_partial {
            self.partial_since_ms = None;
        } else if self.partial_since_ms.is_none() {
            self.partial_since_ms = Some(at_ms);
        }
    }
}

/// Replays the events of a gang in the order of their times and reports its state at `now_ms`.
fn report_gang(job: &JobId, gang: &Gang, now_ms: u64) -> GangReport {
    let mut events: Vec<&TaskEvent> = gang.events.iter().collect();
    events.sort_by_key(|event| event.at_ms);
    let mut replay = Replay::default();
    for same_time in events.chunk_by(|a, b| a.at_ms == b.at_ms) {
        for event in same_time {
            replay.apply(event);
        }
        let at_ms = same_time.first().map_or(now_ms, |event| event.at_ms);
        replay.measure(at_ms, gang.members);
    }
    replay.measure(now_ms, gang.members);
    GangReport {
        job: job.clone(),
        organisation: gang.organisation.clone(),
        ticket: gang.ticket.clone(),
        members: gang.members,
        running: u32::try_from(replay.running.len()).unwrap_or(u32::MAX),
        partial_ms_max: replay.partial_ms_max,
        runs: count_runs(gang),
        finished: u32::try_from(replay.finished.len()).unwrap_or(u32::MAX),
    }
}

/// Counts the starts of each member of a gang, by member index.
fn count_runs(gang: &Gang) -> Vec<u32> {
    let mut runs = vec![0; gang.members as usize];
    let starts = gang.events.iter();
    for event in starts.filter(|event| event.kind == TaskEventKind::Started) {
        if let Some(count) = runs.get_mut(event.member as usize) {
            *count += 1;
        }
    }
    runs
}
