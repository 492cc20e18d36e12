//! Workers: what they say of themselves, what runs there, and until when they may run it.

use std::collections::HashMap;

use slotmap::new_key_type;

use crate::group::TaskKey;
use crate::health::Health;
use crate::record::StoredWorker;
use crate::spec::Need;
use crate::task::TaskName;

new_key_type! {
    /// One life of a worker.
    pub struct WorkerKey;
}

/// What a worker says of itself in the platform's list.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerEntry {
    /// Its id; may serve several lives.
    pub id: String,
    /// When this life began, in Unix milliseconds.
    pub born_unix_ms: u64,
    /// Where it takes orders, as `IP:PORT`.
    pub address: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// The least time until it leaves, if it says so.
    pub remaining_ms: Option<u64>,
    /// Its whole room.
    pub capacity: Need,
    /// Its labels; its rack is among them.
    pub labels: Vec<String>,
    /// Its rack.
    pub rack: String,
}

/// All workers that the platform lists.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// One for each worker.
    pub entries: Vec<WorkerEntry>,
}

/// A run that a worker lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRow {
    /// The task.
    pub task: TaskName,
    /// Which run of it.
    pub run: u32,
    /// The last progress that it saved; empty for none.
    pub progress: String,
    /// How much of its work is done, in hundredths.
    pub percent: u32,
    /// A rough figure for the last half second: a serving task's tail in milliseconds, otherwise the processor in use.
    pub figure: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndHow {
    /// The work is done.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped on order.
    Stopped,
    /// The worker's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
    /// Something that this version does not know.
    Unknown,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndRow {
    /// Its number in this life of the worker; rises.
    pub number: u64,
    /// The task; none if its name cannot be read.
    pub task: Option<TaskName>,
    /// Which run of it.
    pub run: u32,
    /// How it ended.
    pub how: EndHow,
    /// The last progress that it saved; empty for none.
    pub progress: String,
}

/// A worker's answer to a renewal of its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldReport {
    /// When the call was sent, on the planner's clock.
    pub sent_ms: u64,
    /// When the answer arrived, on the planner's clock.
    pub received_ms: u64,
    /// The worker's clock as it answered.
    pub worker_clock_ms: u64,
    /// The life that answered; none if it does not say.
    pub born_unix_ms: Option<u64>,
    /// What runs there.
    pub running: Vec<RunRow>,
    /// What has ended and is not confirmed yet.
    pub ended: Vec<EndRow>,
}

/// A worker's lease clock runs at least at this share of true time, in hundredths (2% slow).
const MIN_CLOCK_RATE_PERCENT: u64 = 98;

/// Added to the time at which a lease must have ended, for rounding and for the way of an answer.
const LEASE_EXPIRY_MARGIN_MS: u64 = 150;

/// One life of a worker, as the planner knows it.
#[derive(Debug)]
pub(crate) struct Worker {
    pub entry: WorkerEntry,
    /// Whether the newest listing names it.
    pub listed: bool,
    /// Since when no listing has named it.
    pub unlisted_since_ms: u64,
    /// Whether the caller was told to renew its lease.
    pub polled: bool,
    /// Whether it has answered to this planner's term: older orders are refused there from then on.
    pub fenced: bool,
    /// The worker's clock, and when it was read.
    pub clock: Option<(u64, u64)>,
    /// The latest end, on the worker's clock, of any lease that this planner has sent.
    pub lease_end_clock_ms: u64,
    /// When everything that runs there must be over, should it never answer this planner.
    pub inherited_expiry_ms: u64,
    /// When a call to it was last answered; counted from the sending of the call.
    pub answered_ms: u64,
    /// Whether it gets no new work since its machine is to go down.
    pub draining: bool,
    /// Whether the last renewal got no answer.
    pub unresponsive: bool,
    /// Whether the last renewal could not even be sent.
    pub refused: bool,
    /// Ends up to this number are taken into account.
    pub ends_seen: u64,
    /// Ends up to this number are in the store.
    pub ends_stored: u64,
    /// Room taken by what runs, may run or is being stopped.
    pub used: Need,
    /// Room promised to groups that wait for it.
    pub reserved: Need,
    /// What runs or may run there, with its run number.
    pub tasks: HashMap<TaskKey, u32>,
    /// Runs that are there and ought not to be, with the room that they take.
    pub orphaned_runs: HashMap<(TaskName, u32), Need>,
    pub health: Health,
}

impl Worker {
    pub fn new(entry: WorkerEntry, now_ms: u64, inherited_expiry_ms: u64) -> Worker {
        Worker {
            entry,
            listed: true,
            unlisted_since_ms: now_ms,
            polled: false,
            fenced: false,
            clock: None,
            lease_end_clock_ms: 0,
            inherited_expiry_ms,
            answered_ms: 0,
            draining: false,
            unresponsive: false,
            refused: false,
            ends_seen: 0,
            ends_stored: 0,
            used: Need::default(),
            reserved: Need::default(),
            tasks: HashMap::new(),
            orphaned_runs: HashMap::new(),
            health: Health::default(),
        }
    }

    /// When everything that runs there must be over if it is not heard of any more.
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

    /// Room that nothing takes or waits for.
    pub fn free(&self) -> Need {
        let orphaned_runs = self
            .orphaned_runs
            .values()
            .fold(Need::default(), |sum, need| sum + *need);
        self.entry
            .capacity
            .minus(&self.used)
            .minus(&self.reserved)
            .minus(&orphaned_runs)
    }

    /// How the store names this life.
    pub fn stored(&self) -> StoredWorker {
        StoredWorker {
            id: self.entry.id.clone(),
            born_unix_ms: self.entry.born_unix_ms,
            address: self.entry.address.clone(),
            leaving: self.entry.leaving,
        }
    }
}
