//! Decides which task runs on which worker and when, without any I/O.
//!
//! Events and the current time go in; orders to workers and records to store come out. [`Planner`] is the entry point.
//! The process that holds the leadership feeds it, stores its records and carries out its [`Order`]s.

mod advice;
mod availability;
mod backlog;
mod configuration;
mod counts;
mod coverage;
mod crashes;
mod discarded_work;
mod ends;
mod events;
mod failing;
mod fit;
mod group;
mod headroom;
mod idle;
mod job;
mod learning;
mod leaving;
mod listing;
mod lives;
mod maintenance;
mod neighbours;
mod orders;
mod outcomes;
mod overdue;
mod pace;
mod planner;
mod policy;
mod preempt;
mod preemption_plan;
pub mod prelude;
mod record;
mod record_parts;
mod refill;
mod reservations;
mod restore;
mod schedule;
mod spec;
mod straggling;
mod task;
mod turns;
mod unplaceable;
mod unstored;
mod urgent;
mod withdraw;
mod worker;

pub use advice::QueryKey;
pub use configuration::{Advice, BodyLimits, Configuration, Denied, Organisation, Queue, Service};
pub use counts::RunCounts;
pub use crashes::CrashCounts;
pub use group::{GroupKey, TaskKey};
pub use job::JobState;
pub use maintenance::{
    ChosenMachine, Machine, MachineProgress, MaintenanceOutcome, MaintenanceWave, WaveProgress,
    WaveRecord,
};
pub use orders::{AdviceAnswer, Flush, Order, RecordWrite, StartOutcome, StopOutcome};
pub use planner::{Decision, Limits, Planner};
pub use policy::{
    DurationsRecord, InterferenceRecord, LearnedRecord, PairRecord, PolicyRecord, SharesRecord,
    SpeedsRecord,
};
pub use record::{GroupRecord, JobRecord, RecordPart, StoredJob, StoredWorker, TaskRecord};
pub use record_parts::join_record;
pub use spec::{JobRequest, Resources, SpecError, StepSpec, Timing};
pub use task::{JobId, NameError, TaskName};
pub use unstored::{DoneRun, HandOverName};
pub use worker::{
    ActiveRun, EndedRun, LEASE_LENGTH_MARGIN_MS, RenewalReport, RunOutcome, WorkerEntry, WorkerKey,
    WorkerList,
};
