//! State machine that reserves, prepares, releases and renews the members of a gang as one unit.
//!
//! [`Gangs`] runs in the planner of a rack group. Its inputs are start and stop requests, replies
//! of workers and the time; its outputs are [`GangOutput`]s. Every change is made through leases
//! that workers grant under the planner's term; a worker that has seen a higher term refuses it.

mod calls;
mod config;
mod found;
mod gang;
mod lease_id;
mod member;
mod output;
mod plan;
mod take_over;
mod term;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use model::prelude::*;

use crate::call::{CallFailure, CallId};
use calls::{CallQueue, OpenCall, QueuedCommand, Subject};
use gang::{EndProof, Gang, GangEvent, Phase, ReplyTimes, StopCause};
use lease_id::{StartId, salt_of};
use member::Member;
use take_over::TakeOver;

pub use config::GangConfig;
pub use output::{GangOutput, Members, StartFailure};

/// Shortest interval between two timer wake-ups of a gang, in milliseconds.
const WAKE_MS_MIN: u64 = 10;

/// Key of a gang within one [`Gangs`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct GangKey(u64);

/// State machine for all gangs of one planner.
#[derive(Debug, Clone)]
pub struct Gangs {
    config: GangConfig,
    salt: u32,
    round_phase_ms: u64,
    term: Option<PlannerTerm>,
    highest: PlannerTerm,
    next_key: u64,
    next_start: u64,
    gangs: BTreeMap<GangKey, Gang>,
    by_job: BTreeMap<JobId, GangKey>,
    wakes: BTreeMap<GangKey, u64>,
    timers: BTreeSet<(u64, GangKey)>,
    calls: CallQueue,
    take_over: Option<TakeOver>,
    /// Time from which an expired lease counts as a lost member.
    detect_loss_from_ms: u64,
    /// Time at which this process last resumed after a pause; 0 if it never paused.
    resumed_ms: u64,
    /// Send time of the last call that each worker accepted in this term.
    accepted: BTreeMap<WorkerName, u64>,
    workers: usize,
    outputs: VecDeque<GangOutput>,
}

impl Gangs {
    /// Creates a state machine without a term; [`Gangs::take_over`] begins one.
    ///
    /// `seed` shifts the renewal rounds, so that planners with different seeds don't renew at the
    /// same time.
    pub fn new(config: GangConfig, node: NodeName, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            round_phase_ms: seed % config.renew_ms.max(1),
            config,
            salt: salt_of(&node, incarnation),
            term: None,
            highest: PlannerTerm::default(),
            next_key: 0,
            next_start: 1,
            gangs: BTreeMap::new(),
            by_job: BTreeMap::new(),
            wakes: BTreeMap::new(),
            timers: BTreeSet::new(),
            calls: CallQueue::default(),
            take_over: None,
            detect_loss_from_ms: 0,
            resumed_ms: 0,
            accepted: BTreeMap::new(),
            workers: 0,
            outputs: VecDeque::new(),
        }
    }

    /// Returns the term that is in force, or `None` while this node is not the planner.
    pub const fn term(&self) -> Option<PlannerTerm> {
        self.term
    }

    /// Starts a gang on `members`; has no effect on a job that is already starting or running.
    pub fn start(&mut self, now_ms: u64, job: JobId, spec: JobSpec, members: Members) {
        self.detect_own_pause(now_ms);
        if self.by_job.contains_key(&job) {
            return;
        }
        let ready = self.take_over.as_ref().is_none_or(|t| t.done_ms.is_some());
        let term = self.term.filter(|_| ready && !members.is_empty());
        let Some(term) = term else {
            self.outputs.push_back(GangOutput::StartFailed {
                job,
                worker: None,
                reason: StartFailure::NotPlanner,
            });
            return;
        };
        let start = StartId::new(term, self.next_start);
        self.next_start += 1;
        let member =
            |(index, (worker, accelerators))| Member::new(worker, accelerators, start.lease(index));
        let members = (0..).zip(members).map(member).collect();
        let gang = Gang::new(job, spec, start, members, Phase::Reserving);
        let key = self.insert(gang);
        self.drive(now_ms, key);
        self.flush(now_ms);
    }

    /// Stops all members of a gang; its tasks have `grace_ms` to save their state.
    ///
    /// A job that does not run is reported as stopped, provided that this node is the planner.
    pub fn stop(&mut self, now_ms: u64, job: &JobId, grace_ms: u64) {
        self.detect_own_pause(now_ms);
        match (self.by_job.get(job).copied(), self.take_over.as_mut()) {
            (Some(key), _) => {
                if let Some(gang) = self.gangs.get_mut(&key) {
                    gang.begin_stop(now_ms, StopCause::Requested, grace_ms);
                }
                self.drive(now_ms, key);
            }
            (None, Some(take_over)) => {
                take_over.stops.insert(job.clone(), grace_ms);
            }
            (None, None) if self.term.is_some() => {
                self.outputs.push_back(GangOutput::Stopped {
                    job: job.clone(),
                    checkpoint_permille: 0,
                });
            }
            (None, None) => {}
        }
        self.flush(now_ms);
    }

    /// Handles the result of a [`GangOutput::Call`]: one reply per command, in order.
    ///
    /// The caller must abandon the call, and close its connection, within
    /// [`GangConfig::call_timeout_ms`].
    pub fn on_replies(
        &mut self,
        now_ms: u64,
        worker: &WorkerName,
        call: CallId,
        replies: Result<Vec<LeaseReply>, CallFailure>,
    ) {
        self.detect_own_pause(now_ms);
        let Some(open) = self.calls.close(worker, call) else {
            return;
        };
        match replies {
            Ok(replies) if replies.len() == open.items.len() => {
                self.apply_replies(now_ms, open, &replies);
            }
            Ok(_) => self.fail_call(now_ms, open, CallFailure::ReplyLost),
            Err(failure) => self.fail_call(now_ms, open, failure),
        }
        self.flush(now_ms);
    }

    /// Ends the term because another node is the planner from now on.
    ///
    /// Leases stay on the workers and are no longer renewed from here.
    pub fn step_down(&mut self, now_ms: u64) {
        self.detect_own_pause(now_ms);
        self.remove_gangs();
        self.take_over = None;
        self.term = None;
    }

    /// Handles all timers and call timeouts that are due at `now_ms`.
    pub fn tick(&mut self, now_ms: u64) {
        self.detect_own_pause(now_ms);
        while let Some((call, worker)) = self.overdue_call(now_ms) {
            if let Some(open) = self.calls.close(&worker, call) {
                self.fail_call(now_ms, open, CallFailure::ReplyLost);
            }
        }
        let due: Vec<GangKey> = self
            .timers
            .range(..=(now_ms, GangKey(u64::MAX)))
            .map(|(_, key)| *key)
            .collect();
        for key in due {
            self.drive(now_ms, key);
        }
        self.tick_take_over(now_ms);
        self.flush(now_ms);
    }

    /// Returns the time at which [`Gangs::tick`] has to be called next, if any timer is set.
    pub fn next_wake_ms(&self) -> Option<u64> {
        let timeout_ms = self.config.call_timeout_ms;
        let timer = self.timers.first().map(|(at_ms, _)| *at_ms);
        let call = self
            .calls
            .oldest()
            .map(|(_, open)| open.sent_ms + timeout_ms);
        let take_over = self.take_over.as_ref();
        let take_over = take_over.and_then(|t| t.wake_ms(self.config.lease_ms));
        [timer, call, take_over].into_iter().flatten().min()
    }

    /// Takes the next output, in order.
    pub fn poll(&mut self) -> Option<GangOutput> {
        self.outputs.pop_front()
    }

    /// Detects a pause of this process by an overdue timer.
    ///
    /// For the next two call timeouts an expired lease does not count as a lost member: another
    /// planner may have adopted and renewed the gang during the pause, so its workers are asked
    /// first.
    fn detect_own_pause(&mut self, now_ms: u64) {
        let paused = |wake_ms| now_ms > wake_ms + self.config.renew_ms;
        if self.next_wake_ms().is_some_and(paused) {
            self.resumed_ms = now_ms;
            self.detect_loss_from_ms = now_ms + 2 * self.config.call_timeout_ms;
        }
    }

    fn insert(&mut self, gang: Gang) -> GangKey {
        let key = GangKey(self.next_key);
        self.next_key += 1;
        if !gang.reported {
            self.by_job.insert(gang.job.clone(), key);
        }
        self.gangs.insert(key, gang);
        key
    }

    fn overdue_call(&self, now_ms: u64) -> Option<(CallId, WorkerName)> {
        let (call, open) = self.calls.oldest()?;
        let overdue = now_ms >= open.sent_ms + self.config.call_timeout_ms;
        overdue.then(|| (call, open.worker.clone()))
    }

    fn apply_replies(&mut self, now_ms: u64, open: OpenCall, replies: &[LeaseReply]) {
        if let Some(highest) = highest_term(replies) {
            self.on_old_term(highest);
            return;
        }
        self.accepted.insert(open.worker.clone(), open.sent_ms);
        let times = ReplyTimes {
            sent_ms: open.sent_ms,
            now_ms,
        };
        let mut touched = BTreeSet::new();
        for (item, reply) in open.items.iter().zip(replies) {
            match item.subject {
                Subject::Term => self.on_term_raised(now_ms, &open.worker, true),
                Subject::Member { gang: key, member } => {
                    let gang = self.gangs.get_mut(&key);
                    let op = &item.command.op;
                    let event =
                        gang.and_then(|g| g.on_reply(&self.config, times, member, op, reply));
                    self.on_event(now_ms, key, event);
                    touched.insert(key);
                }
            }
        }
        for key in touched {
            self.drive(now_ms, key);
        }
    }

    fn fail_call(&mut self, now_ms: u64, open: OpenCall, failure: CallFailure) {
        let mut touched = BTreeSet::new();
        for item in &open.items {
            match item.subject {
                Subject::Term => self.on_term_raised(now_ms, &open.worker, false),
                Subject::Member { gang: key, member } => {
                    let gang = self.gangs.get_mut(&key);
                    let op = &item.command.op;
                    let event =
                        gang.and_then(|g| g.on_failure(&self.config, now_ms, member, op, failure));
                    self.on_event(now_ms, key, event);
                    touched.insert(key);
                }
            }
        }
        for key in touched {
            self.drive(now_ms, key);
        }
    }

    fn on_event(&mut self, now_ms: u64, key: GangKey, event: Option<GangEvent>) {
        let Some(gang) = self.gangs.get_mut(&key) else {
            return;
        };
        match event {
            None => {}
            Some(GangEvent::Started) => {
                let job = gang.job.clone();
                self.outputs.push_back(GangOutput::Started { job });
            }
            Some(GangEvent::Stop(cause)) => {
                if let (true, StopCause::Lost(Some(worker))) = (gang.released, &cause) {
                    self.outputs.push_back(GangOutput::MemberLost {
                        job: gang.job.clone(),
                        worker: worker.clone(),
                    });
                }
                gang.begin_stop(now_ms, cause, 0);
            }
        }
    }

    /// Advances a gang as far as possible, queues its commands and reports its outcome.
    fn drive(&mut self, now_ms: u64, key: GangKey) {
        let detect_loss = now_ms >= self.detect_loss_from_ms;
        while let Some(gang) = self.gangs.get_mut(&key) {
            let event = gang
                .on_tick(now_ms, detect_loss)
                .or_else(|| gang.enter_next_phase(now_ms));
            if event.is_none() {
                break;
            }
            self.on_event(now_ms, key, event);
        }
        self.queue_commands(now_ms, key);
        self.report_outcome(now_ms, key);
        self.set_timer(now_ms, key);
    }

    fn queue_commands(&mut self, now_ms: u64, key: GangKey) {
        let round_ms = self.next_round_ms(now_ms);
        let (Some(gang), Some(term)) = (self.gangs.get_mut(&key), self.term) else {
            return;
        };
        for (index, op) in gang.plan(&self.config, now_ms, round_ms) {
            let Some(member) = gang.members.get(index as usize) else {
                continue;
            };
            let lease = member.lease;
            let item = QueuedCommand {
                subject: Subject::Member {
                    gang: key,
                    member: index,
                },
                command: LeaseCommand { lease, term, op },
            };
            self.calls.queue(&member.worker, item);
        }
    }

    /// Returns the time of the next renewal round; all gangs share it, so that each worker gets one
    /// call.
    fn next_round_ms(&self, now_ms: u64) -> u64 {
        let period_ms = self.config.renew_ms.max(1);
        let shifted_ms = now_ms + period_ms - self.round_phase_ms;
        shifted_ms - shifted_ms % period_ms + self.round_phase_ms
    }

    fn report_outcome(&mut self, now_ms: u64, key: GangKey) {
        let Some(gang) = self.gangs.get(&key) else {
            return;
        };
        let ended = match gang.phase {
            Phase::Stopping if gang.reported => false,
            Phase::Stopping => {
                let end_proof = gang.end_proof(now_ms);
                self.confirm_end(end_proof)
            }
            _ => gang.is_finished(),
        };
        let Some(gang) = self.gangs.get_mut(&key) else {
            return;
        };
        if ended && !gang.reported {
            gang.reported = true;
            self.outputs.push_back(build_outcome(gang));
            if self.by_job.get(&gang.job) == Some(&key) {
                self.by_job.remove(&gang.job);
            }
        }
        if gang.reported && gang.is_over() {
            self.gangs.remove(&key);
        }
    }

    /// Returns whether the end of a gang is confirmed; queries the workers that have yet to confirm
    /// it.
    ///
    /// After a pause of this process, a reply of one worker is not enough and a majority of the
    /// workers must have accepted this term since: another planner may have adopted the gang, and
    /// the worker may have restarted and forgotten that planner's term.
    fn confirm_end(&mut self, end_proof: EndProof) -> bool {
        let since_ms = match end_proof {
            EndProof::Unproved => return false,
            EndProof::Proved => self.resumed_ms,
            EndProof::AllExpired { since_ms } => since_ms.max(self.resumed_ms),
        };
        let confirmed = since_ms == 0 || self.has_majority_since(since_ms);
        if !confirmed {
            self.query_stale_workers(since_ms);
        }
        confirmed
    }

    fn set_timer(&mut self, now_ms: u64, key: GangKey) {
        if let Some(old_ms) = self.wakes.remove(&key) {
            self.timers.remove(&(old_ms, key));
        }
        let Some(gang) = self.gangs.get(&key) else {
            return;
        };
        let stopping = gang.phase == Phase::Stopping && !gang.reported;
        let awaits_proof = stopping && gang.end_proof(now_ms) != EndProof::Unproved;
        let proof_ms = if awaits_proof {
            now_ms + self.config.call_timeout_ms
        } else {
            u64::MAX
        };
        let wake_ms = gang.wake_ms(&self.config).min(proof_ms);
        if wake_ms < u64::MAX {
            let wake_ms = wake_ms.max(now_ms + WAKE_MS_MIN);
            self.wakes.insert(key, wake_ms);
            self.timers.insert((wake_ms, key));
        }
    }

    /// Sends the queued commands, one call per worker.
    fn flush(&mut self, now_ms: u64) {
        for call in self.calls.open_calls(now_ms) {
            let Some(open) = self.calls.get(call) else {
                continue;
            };
            for item in &open.items {
                if let Subject::Member { gang, member } = item.subject
                    && let Some(gang) = self.gangs.get_mut(&gang)
                {
                    gang.on_sent(&self.config, now_ms, member, &item.command.op);
                }
            }
            self.outputs.push_back(GangOutput::Call {
                call,
                worker: open.worker.clone(),
                commands: open.items.iter().map(|i| i.command.clone()).collect(),
            });
        }
    }

    /// Removes all gangs and calls and returns the gangs; leases stay on the workers.
    fn remove_gangs(&mut self) -> Vec<Gang> {
        self.calls.clear();
        self.accepted.clear();
        self.by_job.clear();
        self.wakes.clear();
        self.timers.clear();
        let mut gangs: Vec<Gang> = std::mem::take(&mut self.gangs).into_values().collect();
        for gang in &mut gangs {
            gang.on_calls_dropped();
        }
        gangs
    }
}

/// Returns the highest term among refusals because of an old term, if there is one.
fn highest_term(replies: &[LeaseReply]) -> Option<PlannerTerm> {
    let term = |reply: &LeaseReply| match reply {
        LeaseReply::Refused {
            why: LeaseRefusal::OldTerm { highest },
        } => Some(*highest),
        _ => None,
    };
    replies.iter().filter_map(term).max()
}

/// Builds the final report about a gang that has ended.
fn build_outcome(gang: &Gang) -> GangOutput {
    let job = gang.job.clone();
    if gang.is_finished() {
        return GangOutput::Finished { job };
    }
    match &gang.cause {
        Some(StopCause::Failed(worker)) => GangOutput::Failed {
            job,
            worker: worker.clone(),
        },
        Some(StopCause::Start(worker, reason)) if !gang.released => GangOutput::StartFailed {
            job,
            worker: worker.clone(),
            reason: *reason,
        },
        _ => GangOutput::Stopped {
            job,
            checkpoint_permille: gang.checkpoint_permille(),
        },
    }
}
