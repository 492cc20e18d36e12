//! The rows of each console table: made from the state of this node, or requested from a node of
//! the data centre that they are about.

use std::sync::Arc;

use console::{Row, RowSource, TableName, Value};
use model::prelude::*;
use placement::{AcceleratorRow, GuaranteeRow, JobRow, WorkerRow, WorkerState};

use super::collect::RowScope;
use crate::jobs::{JobRecord, PlannerView};
use crate::node::Shared;

/// Timeout of a call that requests rows through another node, in milliseconds.
const ROWS_TIMEOUT_MS: u64 = 1_500;

/// Maximum number of nodes that forward one call.
const HOPS_MAX: u8 = 3;

/// Returns the rows of `table` in `scope`; `None` if their source is unreachable.
pub(crate) async fn rows_of_scope(
    shared: &Arc<Shared>,
    table: TableName,
    scope: RowScope,
    hops: u8,
) -> Option<Vec<Row>> {
    let data_centre = match &scope {
        RowScope::Node => return Some(node_rows(shared, table)),
        RowScope::DataCentre(data_centre) => data_centre,
    };
    let is_own = *data_centre == shared.settings.data_centre;
    if is_own && let Some(rows) = planner_rows(shared, table) {
        return Some(rows);
    }
    if hops >= HOPS_MAX {
        return None;
    }
    let node = if is_own {
        shared
            .members
            .current_leader()
            .filter(|node| *node != shared.settings.node)
    } else {
        shared.members.peer_in(data_centre, &shared.settings.node)
    };
    let node = node?;
    let call = shared
        .peers
        .call(&node, ROWS_TIMEOUT_MS, async |client, context| {
            client.console_rows(context, table, scope, hops + 1).await
        });
    call.await.ok().flatten()
}

/// Returns the rows from the planner of this node; `None` while this node does not lead.
fn planner_rows(shared: &Shared, table: TableName) -> Option<Vec<Row>> {
    let context = Context {
        shared,
        now_ms: shared.clock.now_ms(),
    };
    shared.jobs.read(|view| match table {
        TableName::Jobs => context.job_rows(view),
        TableName::Workers => view
            .placement
            .workers()
            .map(|row| context.worker_row(&row))
            .collect(),
        TableName::Accelerators => context.accelerator_rows(view),
        TableName::Guarantees => view
            .placement
            .guarantees()
            .map(|row| context.guarantee_row(&row))
            .collect(),
        _ => Vec::new(),
    })
}

/// Returns the rows about this node.
fn node_rows(shared: &Shared, table: TableName) -> Vec<Row> {
    match table {
        TableName::Queues => queue_rows(shared),
        TableName::Nodes => vec![node_row(shared)],
        _ => Vec::new(),
    }
}

/// Returns the rows of declared items; the usage by organisations comes from `collected`.
pub(super) fn declared_rows(
    shared: &Shared,
    table: TableName,
    collected: &impl RowSource,
) -> Vec<Row> {
    match table {
        TableName::Organisations => organisation_rows(shared, collected),
        TableName::Classes => class_rows(shared),
        TableName::History => history_rows(shared),
        _ => Vec::new(),
    }
}

/// The context that rows of a planner are made from.
struct Context<'a> {
    shared: &'a Shared,
    now_ms: u64,
}

impl Context<'_> {
    fn data_centre(&self) -> Value {
        Value::text(&self.shared.settings.data_centre)
    }

    /// Returns the rows of all recorded jobs: those that are planned and those that have ended.
    fn job_rows(&self, view: &PlannerView<'_>) -> Vec<Row> {
        view.records
            .iter()
            .map(|record| self.job_row(record, view.placement.job(&record.job).as_ref()))
            .collect()
    }

    fn job_row(&self, record: &JobRecord, row: Option<&JobRow<'_>>) -> Row {
        let row = row.filter(|_| !record.state.is_final());
        let state = row.map_or(record.state, |row| row.state);
        let workers = row.map_or_else(Vec::new, |row| {
            row.members
                .iter()
                .map(|member| member.worker.to_string())
                .collect()
        });
        let run_ms = match record.state {
            JobState::Running => self.now_ms.saturating_sub(record.changed_at_ms),
            _ => 0,
        };
        vec![
            Value::text(&record.job),
            Value::text(&record.spec.organisation),
            Value::text(&record.spec.class),
            self.data_centre(),
            Value::text(state),
            Value::count(record.spec.gang.members().into()),
            Value::count(record.spec.gang.accelerators().into()),
            Value::text(record.spec.gang.adjacency()),
            Value::Duration(self.now_ms.saturating_sub(record.accepted_at_ms)),
            Value::Duration(run_ms),
            Value::Duration(record.spec.run_ms_declared),
            Value::text(workers.join(" ")),
            Value::text(row.map_or(record.detail.as_str(), |row| row.why.as_str())),
        ]
    }

    fn worker_row(&self, row: &WorkerRow<'_>) -> Row {
        let view = self.shared.members.workers();
        let listed = view.listed.get(row.worker);
        let slots_in_use = self.shared.admission.slots_in_use(row.worker);
        vec![
            Value::text(row.worker),
            self.data_centre(),
            Value::text(row.rack),
            Value::count(row.position.into()),
            Value::text(state_name(row.state)),
            Value::count(row.accelerators.into()),
            Value::count(row.held.into()),
            listed.map_or(Value::Null, |vm| Value::count(vm.slots.into())),
            slots_in_use.map_or(Value::Null, |count| Value::count(count.into())),
            Value::Null,
            Value::Null,
        ]
    }

    fn accelerator_rows(&self, view: &PlannerView<'_>) -> Vec<Row> {
        let workers = self.shared.members.workers();
        view.placement
            .accelerators()
            .map(|row| {
                let rack = workers.listed.get(row.worker).map(|vm| &vm.rack);
                self.accelerator_row(&row, rack)
            })
            .collect()
    }

    fn accelerator_row(&self, row: &AcceleratorRow<'_>, rack: Option<&RackName>) -> Row {
        let is_held = row.holder.is_some();
        let flag = |is_set: bool| Value::count(is_set.into());
        vec![
            Value::text(row.worker),
            Value::count(row.index.into()),
            self.data_centre(),
            rack.map_or(Value::Null, Value::text),
            Value::text(if is_held { "held" } else { "free" }),
            row.organisation.map_or(Value::Null, Value::text),
            row.holder.map_or(Value::Null, Value::text),
            flag(is_held),
            flag(row.is_guaranteed),
            flag(is_held && !row.is_guaranteed),
        ]
    }

    fn guarantee_row(&self, row: &GuaranteeRow<'_>) -> Row {
        let unused = row.declared.saturating_sub(row.in_use);
        vec![
            Value::text(row.organisation),
            self.data_centre(),
            Value::text(row.level),
            Value::count(row.declared.into()),
            Value::count(row.in_use.into()),
            Value::count(unused.saturating_sub(row.missing).into()),
            Value::count(row.missing.into()),
        ]
    }
}

/// Returns the name of a worker's state in the console.
const fn state_name(state: WorkerState) -> &'static str {
    match state {
        WorkerState::Healthy | WorkerState::Probation { .. } => "live",
        WorkerState::Quarantined { .. } => "quarantined",
        WorkerState::Leaving => "leaving",
        WorkerState::Lost => "silent",
    }
}

/// Returns the rows of the queues of this node.
fn queue_rows(shared: &Shared) -> Vec<Row> {
    let now_ms = shared.clock.now_ms();
    shared
        .admission
        .queue_views(now_ms)
        .into_iter()
        .map(|queue| {
            vec![
                Value::text(&shared.settings.node),
                Value::text(&shared.settings.data_centre),
                Value::text(&queue.organisation),
                Value::text(&queue.class),
                Value::count(queue.waiting.into()),
                Value::count(queue.class_in_flight.into()),
                Value::Duration(queue.oldest_wait_ms),
                Value::Null,
            ]
        })
        .collect()
}

/// Builds the row about this node.
fn node_row(shared: &Shared) -> Row {
    let now_ms = shared.clock.now_ms();
    let digest = shared.declared.digest(now_ms);
    let region = shared
        .settings
        .topology
        .region_of(&shared.settings.data_centre);
    let state = if shared.is_stopping() {
        "leaving"
    } else {
        "live"
    };
    let incarnation = i64::try_from(shared.incarnation.0).unwrap_or(i64::MAX);
    vec![
        Value::text(&shared.settings.node),
        Value::text(&shared.settings.data_centre),
        region.map_or(Value::Null, Value::text),
        Value::text(state),
        Value::Integer(incarnation),
        Value::Boolean(shared.members.current_leader().as_ref() == Some(&shared.settings.node)),
        Value::Boolean(crate::declared::is_watcher(shared)),
        digest
            .revision
            .map_or(Value::Null, |revision| Value::count(revision.0)),
        digest.age_ms.map_or(Value::Null, Value::Duration),
        Value::Duration(0),
    ]
}

/// Returns the rows of the declared organisations with their usage.
fn organisation_rows(shared: &Shared, collected: &impl RowSource) -> Vec<Row> {
    let jobs = collected.rows(TableName::Jobs);
    let queues = collected.rows(TableName::Queues);
    let snapshot = shared.snapshot();
    let organisations = snapshot.set.organisations.values();
    organisations
        .map(|organisation| {
            let name = Value::text(&organisation.name);
            let holds = |row: &&Row| row[1] == name && row[11] != Value::text("");
            let held = sum(jobs.iter().filter(holds), 6);
            let in_flight = sum(queues.iter().filter(|row| row[2] == name), 5);
            let classes: Vec<_> = organisation
                .classes
                .iter()
                .map(ToString::to_string)
                .collect();
            vec![
                name,
                Value::Boolean(organisation.suspended),
                Value::count(organisation.quota.accelerators.into()),
                Value::Integer(held),
                Value::count(organisation.quota.requests_in_flight.into()),
                Value::Integer(in_flight),
                Value::text(classes.join(" ")),
            ]
        })
        .collect()
}

/// Sums a column of integers.
fn sum<'a>(rows: impl Iterator<Item = &'a Row>, column: usize) -> i64 {
    rows.map(|row| match row[column] {
        Value::Integer(value) => value,
        _ => 0,
    })
    .sum()
}

/// Returns the rows of the declared classes.
fn class_rows(shared: &Shared) -> Vec<Row> {
    let snapshot = shared.snapshot();
    snapshot.set.classes.values().map(class_row).collect()
}

fn class_row(class: &ClassSpec) -> Row {
    vec![
        Value::text(&class.name),
        Value::text(class.urgency),
        Value::Duration(class.expected_run_ms),
        Value::Duration(class.deadline_ms),
        Value::Duration(class.grace_ms),
        Value::Boolean(class.idempotent),
        Value::count(class.in_flight_max.into()),
        Value::count(class.queue_max.into()),
    ]
}

/// Returns the rows of the latest accepted changes, newest first.
fn history_rows(shared: &Shared) -> Vec<Row> {
    let now_ms = shared.clock.now_ms();
    let accepted = shared.declared.accepted();
    let entries = accepted.log.iter().rev();
    entries
        .map(|entry| {
            let items: Vec<_> = entry
                .items
                .iter()
                .map(|item| item.key.to_string())
                .collect();
            vec![
                Value::count(entry.revision.0),
                Value::text(entry.id),
                Value::text(&entry.author),
                Value::Duration(now_ms.saturating_sub(entry.at_ms)),
                Value::text(&entry.why),
                Value::text(items.join(" ")),
            ]
        })
        .collect()
}
