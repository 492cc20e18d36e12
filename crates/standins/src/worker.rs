//! Simulated worker: leases, requests, faults and resource usage.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use model::prelude::*;
use platform::worker::Usage;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::audit::{GangAudit, RunAudit};
use crate::checkpoint::Checkpoints;
use crate::clock::Clock;
use crate::connection::ConnectionTable;
use crate::lease_table::LeaseTable;
use crate::request_table::{Admission, RequestTable};

/// Longest run time that a request can ask for, in milliseconds.
const RUN_MS_MAX: u64 = 3_600_000;

/// Longest answer that a request can ask for, in bytes.
const ANSWER_BYTES_MAX: usize = 8_000_000;

/// Reported memory usage per slot or accelerator in use, in bytes.
const MEMORY_BYTES_EACH: u64 = 1 << 30;

/// Reported processor usage per slot or accelerator in use, in thousandths of a core.
const MILLICORES_EACH: u64 = 1_000;

/// State that all workers of a site share.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Clock of the site.
    pub(crate) clock: Clock,
    /// Run counts of requests.
    pub(crate) runs: Mutex<RunAudit>,
    /// Task events of gangs.
    pub(crate) gangs: Mutex<GangAudit>,
    /// Checkpoints of gang members.
    pub(crate) checkpoints: Mutex<Checkpoints>,
}

/// Locks a mutex, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Size of a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkerSize {
    /// Number of accelerators.
    pub(crate) accelerators: u32,
    /// Number of request slots.
    pub(crate) slots: u32,
    /// Largest number of connections that it serves.
    pub(crate) connections_max: u32,
}

/// Sample of the resource usage of a worker.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at_ms: u64,
    slots_used: u32,
    accelerators_used: u32,
}

/// State behind the lock of a [`Worker`].
#[derive(Debug)]
struct State {
    boot: u64,
    crashed: CancellationToken,
    leases: LeaseTable,
    requests: RequestTable,
    samples: VecDeque<Sample>,
}

/// A simulated worker.
#[derive(Debug)]
pub(crate) struct Worker {
    /// Its name.
    pub(crate) name: WorkerName,
    /// Its open connections.
    pub(crate) connections: Arc<ConnectionTable>,
    size: WorkerSize,
    usage_lag_ms: u64,
    shared: Arc<Shared>,
    state: Mutex<State>,
    paused: watch::Sender<bool>,
    fails_all: AtomicBool,
    answers_lost: AtomicBool,
}

/// Decoded request.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    /// Work identifier.
    pub(crate) work_id: WorkId,
    /// Ticket of a once-only request.
    pub(crate) ticket: Option<Ticket>,
    /// Time until the deadline, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// Input of the request.
    pub(crate) body: Bytes,
}

/// Input that sets the run time and result of a request; unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct RunSpec {
    run_ms: u64,
    #[serde(default)]
    answer_bytes: usize,
    #[serde(default)]
    fail: bool,
}

/// Answer to a request whose input is a [`RunSpec`].
#[derive(Debug, Serialize)]
struct RunBody<'a> {
    work_id: &'a WorkId,
    sha256: String,
    padding: String,
}

impl Worker {
    /// Creates a worker that has just started.
    pub(crate) fn new(
        name: WorkerName,
        size: WorkerSize,
        boot: u64,
        usage_lag_ms: u64,
        shared: Arc<Shared>,
    ) -> Self {
        let connections = Arc::new(ConnectionTable::new(size.connections_max as usize));
        let state = State {
            boot,
            crashed: CancellationToken::new(),
            leases: LeaseTable::new(size.accelerators),
            requests: RequestTable::new(size.slots),
            samples: VecDeque::new(),
        };
        Self {
            name,
            connections,
            size,
            usage_lag_ms,
            shared,
            state: Mutex::new(state),
            paused: watch::Sender::new(false),
            fails_all: AtomicBool::new(false),
            answers_lost: AtomicBool::new(false),
        }
    }

    /// Waits until the worker is not paused.
    pub(crate) async fn wait_while_paused(&self) {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|paused| !paused).await;
    }

    /// Returns whether answers to requests are lost.
    pub(crate) fn loses_answers(&self) -> bool {
        self.answers_lost.load(Ordering::Acquire)
    }

    /// Sets whether answers to requests are lost.
    pub(crate) fn set_answers_lost(&self, on: bool) {
        self.answers_lost.store(on, Ordering::Release);
    }

    /// Sets whether every task and request that starts fails.
    pub(crate) fn set_fails_all(&self, on: bool) {
        self.fails_all.store(on, Ordering::Release);
        lock(&self.state).leases.set_fails_all(on);
    }

    /// Sets whether new work is refused.
    pub(crate) fn set_leaving(&self, on: bool) {
        let mut state = lock(&self.state);
        state.leases.set_leaving(on);
        state.requests.set_leaving(on);
    }

    /// Pauses or resumes the worker.
    pub(crate) fn set_paused(&self, on: bool) {
        let mut state = lock(&self.state);
        let now_ms = self.shared.clock.now_ms();
        let mut checkpoints = lock(&self.shared.checkpoints);
        state.leases.set_paused(now_ms, on, &mut checkpoints);
        drop(checkpoints);
        self.record_task_events(&mut state);
        drop(state);
        self.paused.send_replace(on);
    }

    /// Crashes the worker, or brings it back with a new boot number.
    pub(crate) fn set_crashed(&self, on: bool) {
        if on {
            self.connections.set_down(true);
            self.lose_work();
        } else {
            self.connections.set_down(false);
        }
    }

    /// Drops tasks, results and leases and takes a new boot number.
    fn lose_work(&self) {
        let mut state = lock(&self.state);
        let now_ms = self.shared.clock.now_ms();
        state.crashed.cancel();
        state.crashed = CancellationToken::new();
        state.boot = self.shared.clock.unix_ms().max(state.boot + 1);
        state.requests.crash();
        let mut checkpoints = lock(&self.shared.checkpoints);
        state.leases.crash(now_ms, &mut checkpoints);
        drop(checkpoints);
        self.record_task_events(&mut state);
    }

    /// Moves the task events of the leases to the audit.
    fn record_task_events(&self, state: &mut State) {
        let events = state.leases.take_events();
        if events.is_empty() {
            return;
        }
        let mut gangs = lock(&self.shared.gangs);
        for event in events {
            gangs.record(event);
        }
    }

    /// Ends the leases and tasks that are due and takes a sample of the usage.
    pub(crate) fn tick(&self) {
        let mut state = lock(&self.state);
        let now_ms = self.shared.clock.now_ms();
        let mut checkpoints = lock(&self.shared.checkpoints);
        state.leases.advance(now_ms, &mut checkpoints);
        drop(checkpoints);
        self.record_task_events(&mut state);
        let sample = Sample {
            at_ms: now_ms,
            slots_used: state.requests.slots_used(),
            accelerators_used: state.leases.accelerators_used(),
        };
        state.samples.push_back(sample);
        let seen_ms = now_ms.saturating_sub(self.usage_lag_ms);
        while state.samples.get(1).is_some_and(|s| s.at_ms <= seen_ms) {
            state.samples.pop_front();
        }
    }

    /// Returns the resource usage as of `usage_lag_ms` ago.
    pub(crate) fn usage(&self) -> Usage {
        let state = lock(&self.state);
        let now_ms = self.shared.clock.now_ms();
        let sample = state.samples.front().copied().unwrap_or(Sample {
            at_ms: now_ms,
            slots_used: 0,
            accelerators_used: 0,
        });
        let in_use = u64::from(sample.slots_used + sample.accelerators_used);
        Usage {
            age_ms: now_ms.saturating_sub(sample.at_ms),
            slots_used: sample.slots_used,
            accelerators_used: sample.accelerators_used,
            processor_millicores: in_use * MILLICORES_EACH,
            memory_bytes: in_use * MEMORY_BYTES_EACH,
        }
    }

    /// Returns the state that the worker reports to a planner.
    pub(crate) fn inventory(&self) -> Inventory {
        self.tick();
        let state = lock(&self.state);
        let now_ms = self.shared.clock.now_ms();
        let WorkerSize {
            slots,
            connections_max,
            ..
        } = self.size;
        state
            .leases
            .inventory(now_ms, state.boot, slots, connections_max)
    }

    /// Applies lease commands in order.
    pub(crate) fn apply_leases(&self, commands: Vec<LeaseCommand>) -> Vec<LeaseReply> {
        let mut state = lock(&self.state);
        let now_ms = self.shared.clock.now_ms();
        let mut checkpoints = lock(&self.shared.checkpoints);
        let mut replies = Vec::with_capacity(commands.len());
        for command in commands {
            replies.push(state.leases.apply(now_ms, command, &mut checkpoints));
        }
        drop(checkpoints);
        self.record_task_events(&mut state);
        replies
    }

    /// Refuses an incarnation of an entry node from now on.
    pub(crate) fn fence(&self, command: &FenceCommand) -> FenceReply {
        lock(&self.state).requests.fence(command)
    }

    /// Removes the results of requests.
    pub(crate) fn acknowledge(&self, work_ids: &[WorkId]) {
        lock(&self.state).requests.acknowledge(work_ids);
    }

    /// Returns the status of a request.
    pub(crate) fn status(&self, work_id: &WorkId) -> WorkStatus<Bytes> {
        let now_ms = self.shared.clock.now_ms();
        lock(&self.state).requests.status(now_ms, work_id)
    }

    /// Runs a request, or joins the run of the same request; `None` if the worker crashes.
    ///
    /// The run continues if the caller disconnects.
    pub(crate) async fn run(self: Arc<Self>, request: IncomingRequest) -> Option<RunReply<Bytes>> {
        let mut result = match self.admit(request) {
            AdmittedRequest::Waiting(result) => result,
            AdmittedRequest::Ended(reply) => return Some(reply),
        };
        let ended = result.wait_for(Option::is_some).await.ok()?;
        ended.clone()
    }

    /// Decides about a request and starts its run.
    fn admit(self: Arc<Self>, request: IncomingRequest) -> AdmittedRequest {
        let mut state = lock(&self.state);
        let now_ms = self.shared.clock.now_ms();
        let ticket = request.ticket.as_ref();
        match state.requests.admit(now_ms, &request.work_id, ticket) {
            Admission::Join(result) => AdmittedRequest::Waiting(result),
            Admission::Ended(reply) => AdmittedRequest::Ended(reply),
            Admission::Refused(why) => AdmittedRequest::Ended(RunReply::Refused(WorkerRefusal {
                work_id: request.work_id,
                why,
            })),
            Admission::Start(sender) => {
                let mut runs = lock(&self.shared.runs);
                runs.record(&request.work_id, ticket, &self.name);
                drop(runs);
                let result = sender.subscribe();
                let crashed = state.crashed.clone();
                drop(state);
                tokio::spawn(self.run_to_end(request, sender, crashed));
                AdmittedRequest::Waiting(result)
            }
        }
    }

    /// Runs a request and stores its result, unless the worker crashes.
    async fn run_to_end(
        self: Arc<Self>,
        request: IncomingRequest,
        sender: watch::Sender<Option<RunReply<Bytes>>>,
        crashed: CancellationToken,
    ) {
        let fails = self.fails_all.load(Ordering::Acquire);
        let Some(reply) = crashed
            .run_until_cancelled(simulate_run(&request, fails))
            .await
        else {
            return;
        };
        let mut state = lock(&self.state);
        if crashed.is_cancelled() {
            return;
        }
        state.requests.finish(&request.work_id, reply.clone());
        drop(state);
        sender.send_replace(Some(reply));
    }
}

/// State of a request after its admission.
#[derive(Debug)]
enum AdmittedRequest {
    /// The request is running.
    Waiting(watch::Receiver<Option<RunReply<Bytes>>>),
    /// The request has a result already.
    Ended(RunReply<Bytes>),
}

/// Simulates the run of a request and builds its result.
///
/// A body that is not a [`RunSpec`] is echoed at once.
async fn simulate_run(request: &IncomingRequest, fails_all: bool) -> RunReply<Bytes> {
    let make_failure = |detail: &str| RunReply::Failed {
        work_id: request.work_id.clone(),
        detail: detail.to_owned(),
    };
    if fails_all {
        return make_failure("the worker fails everything");
    }
    let Ok(spec) = serde_json::from_slice::<RunSpec>(&request.body) else {
        return reply_answered(request, request.body.clone());
    };
    let run_ms = spec.run_ms.min(RUN_MS_MAX);
    tokio::time::sleep(Duration::from_millis(run_ms.min(request.remaining_ms))).await;
    if run_ms > request.remaining_ms {
        return make_failure("stopped at the deadline");
    }
    if spec.fail {
        return make_failure("the work failed as its input asks");
    }
    match make_answer_body(request, spec.answer_bytes.min(ANSWER_BYTES_MAX)) {
        Ok(body) => reply_answered(request, body),
        Err(e) => make_failure(&e.to_string()),
    }
}

/// Builds an answer with its digest.
fn reply_answered(request: &IncomingRequest, body: Bytes) -> RunReply<Bytes> {
    RunReply::Answered(RunAnswer {
        work_id: request.work_id.clone(),
        digest: ContentDigest::of_bytes(&body),
        length_bytes: body.len() as u64,
        body,
    })
}

/// Builds the body of an answer, padded to at least `answer_bytes`.
fn make_answer_body(request: &IncomingRequest, answer_bytes: usize) -> serde_json::Result<Bytes> {
    let mut body = RunBody {
        work_id: &request.work_id,
        sha256: hex::encode(Sha256::digest(&request.body)),
        padding: String::new(),
    };
    let unpadded = serde_json::to_vec(&body)?;
    if unpadded.len() >= answer_bytes {
        return Ok(unpadded.into());
    }
    body.padding = "x".repeat(answer_bytes - unpadded.len());
    Ok(serde_json::to_vec(&body)?.into())
}
