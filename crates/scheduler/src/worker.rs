//! Workers: their listed properties, the reports of their runs, and the lease of each.

use std::collections::HashMap;

use slotmap::new_key_type;

use crate::crashes::WorkerLoss;
use crate::group::TaskKey;
use crate::policy::Health;
use crate::record::StoredWorker;
use crate::spec::Resources;
use crate::task::TaskName;

new_key_type! {
    /// One incarnation of a worker.
    pub struct WorkerKey;
}

/// A rack; an index into the planner's list of rack names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RackKey(u32);

/// The names of all racks that workers have named; a rack keeps its key.
#[derive(Debug, Default)]
pub(crate) struct Racks(Vec<String>);

impl Racks {
    /// Returns the key of a rack, which is added if it is new.
    pub fn key(&mut self, name: &str) -> RackKey {
        let index = self.0.iter().position(|rack| rack == name);
        let index = index.unwrap_or_else(|| {
            self.0.push(name.to_string());
            self.0.len() - 1
        });
        RackKey(index as u32)
    }

    /// Returns the key of a rack, if a worker has named it.
    pub fn find(&self, name: &str) -> Option<RackKey> {
        let index = self.0.iter().position(|rack| rack == name)?;
        Some(RackKey(index as u32))
    }

    /// Returns a value for each rack, indexed by [`RackKey::index`].
    pub fn table<T: Clone + Default>(&self) -> Vec<T> {
        vec![T::default(); self.0.len()]
    }
}

impl RackKey {
    /// Returns the index into a table of racks.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Properties of a worker in the platform's list.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerEntry {
    /// Id of the worker; several incarnations may share it.
    pub id: String,
    /// When this incarnation began, in Unix milliseconds.
    pub born_unix_ms: u64,
    /// Address for orders, as `IP:PORT`.
    pub address: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it has announced that it leaves.
    pub leaving: bool,
    /// The least time until it leaves, in milliseconds, if it has announced one.
    pub remaining_ms: Option<u64>,
    /// How much longer it remains slow after its start, in milliseconds.
    pub cold_left_ms: u64,
    /// Its total resources.
    pub capacity: Resources,
    /// Its labels, including its rack.
    pub labels: Vec<String>,
    /// Its rack.
    pub rack: String,
}

/// The platform's list of workers.
#[derive(Debug, Clone, Default)]
pub struct WorkerList {
    /// One entry for each worker.
    pub entries: Vec<WorkerEntry>,
    /// When the list was asked for, on the planner's clock: the entries are not older than that.
    pub asked_ms: u64,
}

/// A run that a worker lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
    /// The last progress that it saved; empty for none.
    pub progress: String,
    /// Completed share of its work, in hundredths.
    pub percent: u32,
    /// Metric over the last half second: tail latency in milliseconds for a serving task, otherwise the CPU in use.
    pub metric: u64,
}

/// The outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The work is done.
    Done,
    /// The run failed, through its own fault or the worker's.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
    /// An outcome that this version does not know.
    Unknown,
}

/// An ended run that a worker lists until it is confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number within the worker's incarnation; rises.
    pub number: u64,
    /// The task; none if its name cannot be parsed.
    pub task: Option<TaskName>,
    /// Run number.
    pub run: u32,
    /// The outcome.
    pub outcome: RunOutcome,
    /// The last progress that it saved; empty for none.
    pub progress: String,
}

/// A worker's answer to a lease renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RenewalReport {
    /// When the call was sent, on the planner's clock.
    pub sent_ms: u64,
    /// When the answer arrived, on the planner's clock.
    pub received_ms: u64,
    /// The worker's clock when it answered.
    pub worker_clock_ms: u64,
    /// The incarnation that answered; none if the worker does not report it.
    pub born_unix_ms: Option<u64>,
    /// The runs in progress.
    pub running: Vec<ActiveRun>,
    /// Ended runs that are not confirmed yet.
    pub ended: Vec<EndedRun>,
    /// Whether these are all of them; a worker lists a limited number at a time.
    pub ends_complete: bool,
}

/// Lower bound of the speed of a worker's lease clock, in hundredths of true time (2% slow).
const MIN_CLOCK_RATE_PERCENT: u64 = 98;

/// The longest time between two answers of a worker that is up.
const LONGEST_SILENCE_MS: u64 = 2_000;

/// Length of the lease of a leaving worker. What it still runs when it leaves can start elsewhere once the lease has
/// expired. It is renewed every half second, and bridges the change of a leader.
pub(crate) const LEAVING_LEASE_MS: u64 = 5_000;

/// Length of the lease of a worker with a lasting task. The platform lets nothing of the task run for 9 s after its worker was
/// lost; of these, half a second is for storing and delivering the next start, and the worker's clock may be slow.
pub(crate) const LASTING_LEASE_MS: u64 = 8_000;

/// How long a call may be under way to a worker.
const CALL_MS: u64 = 1_000;

/// Margin added to the time at which a lease must have expired, for rounding and the delay of an answer.
pub(crate) const LEASE_EXPIRY_MARGIN_MS: u64 = 150;

/// How much longer than a lease of ours the longest lease is that a worker grants, in milliseconds.
pub const LEASE_LENGTH_MARGIN_MS: u64 = 500;

/// A worker, as the planner knows it: an id, and the incarnation of it that is in use.
#[derive(Debug)]
pub(crate) struct Worker {
    /// Its listed properties. Incarnation and address are those of its own answers, once there are any.
    pub entry: WorkerEntry,
    /// Whether the incarnation and the address are known from its own answers, to this planner or an earlier one.
    pub is_confirmed: bool,
    /// The entry in the newest list if it names another incarnation or address than the worker's own answers. Anybody
    /// may have written it, so it only says what to ask.
    pub proposed: Option<WorkerEntry>,
    /// Whether the proposed entry has not been looked into yet.
    pub is_doubted: bool,
    pub rack: RackKey,
    /// Whether the newest list of workers names it.
    pub listed: bool,
    /// Since when no list of workers has named it.
    pub unlisted_since_ms: u64,
    /// Whether the caller already has to renew its lease.
    pub polled: bool,
    /// Whether this incarnation has answered in this planner's term; it refuses orders of earlier terms from then on.
    pub fenced: bool,
    /// When this incarnation first answered in the place of an earlier one, on the planner's clock; 0 if it replaced none.
    pub restarted_ms: u64,
    /// The worker's clock, and when it was read on the planner's clock.
    pub clock: Option<(u64, u64)>,
    /// The latest end, on the worker's clock, of any lease that this planner has sent.
    pub lease_end_clock_ms: u64,
    /// When the last call that carries a lease was sent.
    pub granted_ms: u64,
    /// When all runs of earlier planners must be over if the worker never answers this planner.
    pub inherited_expiry_ms: u64,
    /// When the last answer arrived, on the planner's clock.
    pub answered_ms: u64,
    /// The earliest time at which it leaves, if it has announced one.
    pub leaves_at_ms: Option<u64>,
    /// When the newest list that names it was asked for.
    pub listed_asked_ms: Option<u64>,
    /// Until when it may be slow after its start.
    pub cold_until_ms: u64,
    /// Whether its lease is kept short, since its entry says that it leaves or a stored record may say so.
    pub has_short_lease: bool,
    /// Whether it gets no new work because its machine goes down for maintenance.
    pub draining: bool,
    /// Whether the last renewal got no usable answer.
    pub unresponsive: bool,
    /// Ended runs up to this number are applied.
    pub ends_seen: u64,
    /// Ended runs up to this number are in the store.
    pub ends_stored: u64,
    /// Resources of the tasks that run, may run or are being stopped.
    pub used: Resources,
    /// Resources reserved for groups that wait for running tasks to stop.
    pub reserved: Resources,
    /// Tasks that run or may run there, with their run numbers.
    pub tasks: HashMap<TaskKey, u32>,
    /// Orphaned runs, with the resources that they occupy; none if those are unknown, so that nothing else has room.
    pub orphaned_runs: HashMap<(TaskName, u32), Option<Resources>>,
    /// Those of its tasks that may crash it.
    pub suspects: Vec<TaskKey>,
    /// Tasks that were lost when its lease expired, until it answers again.
    pub lost_in_silence: Vec<TaskKey>,
    pub health: Health,
}

impl Worker {
    pub fn new(entry: WorkerEntry, rack: RackKey, now_ms: u64, inherited_expiry_ms: u64) -> Worker {
        Worker {
            entry,
            is_confirmed: false,
            proposed: None,
            is_doubted: false,
            rack,
            listed: true,
            unlisted_since_ms: now_ms,
            polled: false,
            fenced: false,
            restarted_ms: 0,
            clock: None,
            lease_end_clock_ms: 0,
            granted_ms: 0,
            inherited_expiry_ms,
            answered_ms: 0,
            leaves_at_ms: None,
            listed_asked_ms: None,
            cold_until_ms: 0,
            has_short_lease: false,
            draining: false,
            unresponsive: false,
            ends_seen: 0,
            ends_stored: 0,
            used: Resources::default(),
            reserved: Resources::default(),
            tasks: HashMap::new(),
            orphaned_runs: HashMap::new(),
            suspects: Vec::new(),
            lost_in_silence: Vec::new(),
            health: Health::default(),
        }
    }

    /// Returns when a run must be over that this incarnation has not listed, if the worker does not answer any more. The
    /// next incarnation may have carried out the start. On its clock, which begins anew, the lease lies so far ahead that
    /// it is as long as a worker grants, counted from the last call that carries one.
    pub fn unlisted_expiry_ms(&self, lease_ms: u64) -> u64 {
        let longest_ms = (lease_ms + LEASE_LENGTH_MARGIN_MS) * 100 / MIN_CLOCK_RATE_PERCENT;
        self.lease_expiry_ms()
            .max(self.granted_ms + CALL_MS + longest_ms + LEASE_EXPIRY_MARGIN_MS)
    }

    /// Returns when everything that this incarnation has listed must be over if the worker does not answer any more.
    pub fn lease_expiry_ms(&self) -> u64 {
        match self.clock {
            None => self.inherited_expiry_ms,
            Some((clock_ms, read_ms)) => {
                let left_ms = self.lease_end_clock_ms.saturating_sub(clock_ms);
                let own = read_ms + left_ms * 100 / MIN_CLOCK_RATE_PERCENT + LEASE_EXPIRY_MARGIN_MS;
                if self.fenced {
                    own
                } else {
                    own.max(self.inherited_expiry_ms)
                }
            }
        }
    }

    /// Returns whether the next call may reach another incarnation: the last one got no answer, or the list names
    /// another one.
    pub fn may_have_restarted(&self) -> bool {
        self.unresponsive
            || self
                .proposed
                .as_ref()
                .is_some_and(|entry| entry.born_unix_ms != self.entry.born_unix_ms)
    }

    /// Returns whether it stopped answering, which it does at least every 2 s, before the announced time of its leave.
    pub fn fell_silent_early(&self) -> bool {
        self.leaves_at_ms
            .is_some_and(|leaves_at_ms| self.answered_ms + LONGEST_SILENCE_MS < leaves_at_ms)
    }

    /// Returns how the worker counts as lost if it is gone now; none if it has left as announced.
    pub fn loss(&self) -> Option<WorkerLoss> {
        match self.entry.leaving || self.draining {
            false => Some(WorkerLoss::Crashed),
            true => self.fell_silent_early().then_some(WorkerLoss::Early),
        }
    }

    /// Makes way for the next incarnation under the same id, which has answered. It knows nothing of the one before.
    pub fn begin_incarnation(&mut self, born_unix_ms: u64, lease_ms: u64, report: &RenewalReport) {
        match self.proposed.take() {
            Some(entry) if entry.born_unix_ms == born_unix_ms => {
                self.cold_until_ms = report.received_ms + entry.cold_left_ms;
                self.entry = entry;
                self.listed = true;
            }
            other => {
                self.proposed = other;
                self.entry.born_unix_ms = born_unix_ms;
                self.entry.leaving = false;
                self.entry.remaining_ms = None;
                self.listed = false;
                self.unlisted_since_ms = report.received_ms;
            }
        }
        self.fenced = false;
        self.restarted_ms = report.received_ms;
        self.clock = None;
        // A start that was meant for the incarnation before names a time on that one's clock, which may lie far ahead.
        self.lease_end_clock_ms = report.worker_clock_ms + lease_ms + LEASE_LENGTH_MARGIN_MS;
        (self.leaves_at_ms, self.listed_asked_ms) = (None, None);
        self.has_short_lease = self.entry.leaving;
        self.draining = false;
        self.unresponsive = false;
        (self.ends_seen, self.ends_stored) = (0, 0);
        self.orphaned_runs.clear();
        self.lost_in_silence.clear();
        self.health = Health::default();
    }

    /// Returns whether nothing runs there and no capacity is reserved.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
            && self.orphaned_runs.is_empty()
            && self.reserved == Resources::default()
    }

    /// Returns the resources that are neither occupied nor reserved.
    pub fn free(&self) -> Resources {
        self.unoccupied().minus(&self.reserved)
    }

    /// Returns whether what occupies the worker exceeds its capacity, which may have shrunk.
    pub fn is_overcommitted(&self) -> bool {
        !Resources::default().fits(&self.unoccupied())
    }

    /// Returns the resources that nothing occupies.
    fn unoccupied(&self) -> Resources {
        let orphaned_runs = self
            .orphaned_runs
            .values()
            .map(|resources| resources.unwrap_or(self.entry.capacity))
            .fold(Resources::default(), |sum, resources| sum + resources);
        self.entry.capacity.minus(&self.used).minus(&orphaned_runs)
    }

    /// Returns its incarnation, address and last answer for the log.
    pub fn describe(&self, now_ms: u64) -> String {
        let answered = match self.fenced {
            true => format!(
                "answered {} ms ago",
                now_ms.saturating_sub(self.answered_ms)
            ),
            false => "has not answered this planner".to_string(),
        };
        format!(
            "worker {} at {}, born {}, listed: {}, leaving: {}, {answered}",
            self.entry.id,
            self.entry.address,
            self.entry.born_unix_ms,
            self.listed,
            self.entry.leaving
        )
    }

    /// Returns the stored form of this incarnation.
    pub fn stored(&self) -> StoredWorker {
        StoredWorker {
            id: self.entry.id.clone(),
            born_unix_ms: self.entry.born_unix_ms,
            address: self.entry.address.clone(),
            leaving: self.entry.leaving,
        }
    }
}
