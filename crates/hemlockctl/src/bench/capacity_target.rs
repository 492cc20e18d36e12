//! Derives the cost at the target size from the fitted lines, and checks it against the limits of
//! one node.

use super::report::{BenchReport, Figures, Goal, Series};

/// Number of workers at the target.
const WORKERS: f64 = 13_000.0;

/// Number of leases at the target, one for each running task.
const LEASES: f64 = 95_000.0;

/// Number of accelerators at the target.
const ACCELERATORS: f64 = 21_000.0;

/// Number of organisations at the target.
const ORGANISATIONS: f64 = 650.0;

/// Changes of the declarations per second: 15,000 a day.
const CHANGES_PER_S: f64 = 15_000.0 / 86_400.0;

/// Submitted jobs per second: 13,000 a day.
const JOBS_PER_S: f64 = 13_000.0 / 86_400.0;

/// Number of data centres at the target.
const DATA_CENTRES: f64 = 4.0;

/// Number of workers lost on an ordinary day.
const LOSSES_PER_DAY: f64 = 260.0;

/// Processor time that a node may spend on control, in microseconds per second: 1 % of a core.
const CPU_US_PER_S_MAX: f64 = 10_000.0;

/// Memory that a node may spend on control, in bytes.
const MEMORY_BYTES_MAX: f64 = 128.0 * 1024.0 * 1024.0;

/// Bytes per second that a node may send for control.
const NETWORK_BYTES_PER_S_MAX: f64 = 15_000.0;

/// Heartbeats of a node to one peer per second.
const HEARTBEATS_PER_S: f64 = 2.0;

/// Bytes of HTTP headers of one call to a worker and its reply.
const HTTP_HEADER_BYTES: f64 = 250.0;

/// Number of entry nodes of a data centre that exchange usage rows.
const NODES_PER_DATA_CENTRE: f64 = 9.0;

/// Names of the measured series.
pub(super) mod names {
    pub(in super::super) const EDITOR_US: &str = "change_editor_cpu_us";
    pub(in super::super) const EDITOR_CALLS: &str = "change_editor_store_calls";
    pub(in super::super) const WATCHER_US: &str = "change_watcher_cpu_us";
    pub(in super::super) const WATCHER_BYTES: &str = "change_watcher_bytes";
    pub(in super::super) const MANIFEST_BYTES: &str = "manifest_bytes";
    pub(in super::super) const INDEX_BYTES: &str = "index_bytes";
    pub(in super::super) const DELTA_BYTES: &str = "change_delta_bytes";
    pub(in super::super) const REPLICA_US: &str = "change_replica_cpu_us";
    pub(in super::super) const FULL_BYTES: &str = "declarations_full_bytes";
    pub(in super::super) const REPLICA_MEMORY: &str = "replica_memory_bytes";
    pub(in super::super) const RENEWALS_US: &str = "renewals_cpu_us_per_s";
    pub(in super::super) const RENEW_US: &str = "renewal_cpu_us";
    pub(in super::super) const RENEWAL_BYTES: &str = "renewal_bytes_per_s";
    pub(in super::super) const CALLS: &str = "renewal_calls_per_s";
    pub(in super::super) const START_US: &str = "member_start_cpu_us";
    pub(in super::super) const LEASE_MEMORY: &str = "lease_memory_bytes";
    pub(in super::super) const TAKE_OVER_US: &str = "take_over_cpu_us";
    pub(in super::super) const INVENTORY_BYTES: &str = "inventory_bytes";
    pub(in super::super) const JOB_US: &str = "placement_job_cpu_us";
    pub(in super::super) const LOSS_US: &str = "placement_loss_cpu_us";
    pub(in super::super) const TICK_US: &str = "placement_tick_cpu_us";
    pub(in super::super) const PLACEMENT_MEMORY: &str = "placement_memory_bytes";
    pub(in super::super) const PEER_ROUND_US: &str = "heartbeat_round_cpu_us";
    pub(in super::super) const HEARTBEAT_BYTES: &str = "heartbeat_bytes";
    pub(in super::super) const ROW_BYTES: &str = "use_rows_bytes";
    pub(in super::super) const ROW_DRAW_US: &str = "use_rows_draw_cpu_us";
    pub(in super::super) const ROW_MERGE_US: &str = "use_rows_merge_cpu_us";
    pub(in super::super) const ADMISSION_MEMORY: &str = "admission_memory_bytes";
    pub(in super::super) const TICKET_US: &str = "ticket_cpu_us";
    pub(in super::super) const HAND_OVER_BYTES: &str = "ticket_hand_over_bytes";
    pub(in super::super) const TICKET_MEMORY: &str = "ticket_memory_bytes";
    pub(in super::super) const QUERY_US: &str = "query_cpu_us";
}

/// Returns the value of the series `name` at `size`; at least 0, and 0 if there is no such series.
fn value_at(series: &[Series], name: &str, size: f64) -> f64 {
    let found = series.iter().find(|series| series.name == name);
    found.map_or(0.0, |series| series.value_at(size).max(0.0))
}

/// Adds the figures and goals of the target to `report`.
pub(super) fn add_target_figures(report: &mut BenchReport) {
    let series = std::mem::take(&mut report.series);
    add_declarations(&series, &mut report.policy, &mut report.baseline);
    add_planner(&series, &mut report.policy);
    add_entry_node(&series, &mut report.policy);
    add_issuer(&series, &mut report.policy);
    add_events(&series, &mut report.policy);
    report.series = series;
    add_goals(report);
}

fn add_declarations(series: &[Series], policy: &mut Figures, baseline: &mut Figures) {
    let change = |name| value_at(series, name, ORGANISATIONS) * CHANGES_PER_S;
    policy.insert(
        "watcher_cpu_us_per_s",
        change(names::WATCHER_US) + change(names::REPLICA_US),
    );
    policy.insert("watcher_bytes_per_s", change(names::WATCHER_BYTES));
    policy.insert("editor_cpu_us_per_s", change(names::EDITOR_US));
    policy.insert("editor_store_calls_per_s", change(names::EDITOR_CALLS));
    policy.insert("delta_bytes_per_s", change(names::DELTA_BYTES));
    let replica_bytes = value_at(series, names::REPLICA_MEMORY, ORGANISATIONS);
    policy.insert("replica_memory_mb", replica_bytes / 1e6);
    let full_bytes = value_at(series, names::FULL_BYTES, ORGANISATIONS);
    policy.insert("declarations_full_bytes", full_bytes);
    // Alternative designs: one key with all declarations, and the index in the manifest.
    baseline.insert("watcher_bytes_per_s", full_bytes * CHANGES_PER_S);
    let index_bytes = value_at(series, names::INDEX_BYTES, ORGANISATIONS);
    let manifest_bytes = value_at(series, names::MANIFEST_BYTES, ORGANISATIONS);
    baseline.insert(
        "watcher_bytes_per_s_index_in_manifest",
        (index_bytes + manifest_bytes) * CHANGES_PER_S,
    );
}

fn add_planner(series: &[Series], policy: &mut Figures) {
    let workers = WORKERS / DATA_CENTRES;
    let share = 1.0 / DATA_CENTRES;
    let renewals_us = value_at(series, names::RENEWALS_US, workers);
    let jobs_us = value_at(series, names::JOB_US, workers) * JOBS_PER_S * share;
    let ticks_us = value_at(series, names::TICK_US, workers);
    let cpu_us = renewals_us + jobs_us + ticks_us;
    policy.insert("planner_renewals_cpu_us_per_s", renewals_us);
    policy.insert("planner_placement_cpu_us_per_s", jobs_us + ticks_us);
    policy.insert("planner_cpu_us_per_s", cpu_us);
    let calls = value_at(series, names::CALLS, workers);
    let bytes = value_at(series, names::RENEWAL_BYTES, workers) + calls * HTTP_HEADER_BYTES;
    policy.insert("planner_calls_per_s", calls);
    policy.insert("planner_bytes_per_s", bytes);
    let memory_bytes = value_at(series, names::LEASE_MEMORY, workers)
        + value_at(series, names::PLACEMENT_MEMORY, workers);
    policy.insert("planner_memory_mb", memory_bytes / 1e6);
    let groups = |used: f64, max: f64| (used / max).ceil().max(1.0);
    policy.insert(
        "rack_groups_per_data_centre_for_bytes",
        groups(bytes, NETWORK_BYTES_PER_S_MAX),
    );
    policy.insert(
        "rack_groups_per_data_centre_for_cpu",
        groups(cpu_us, CPU_US_PER_S_MAX),
    );
    policy.insert(
        "rack_groups_per_data_centre_for_memory",
        groups(memory_bytes, MEMORY_BYTES_MAX),
    );
}

fn add_entry_node(series: &[Series], policy: &mut Figures) {
    let workers = WORKERS / DATA_CENTRES;
    let nodes = NODES_PER_DATA_CENTRE * DATA_CENTRES;
    let heartbeat_bytes = value_at(series, names::HEARTBEAT_BYTES, nodes);
    let all_heartbeats = heartbeat_bytes * (nodes - 1.0) * HEARTBEATS_PER_S * 2.0;
    let local_peers = NODES_PER_DATA_CENTRE - 1.0;
    // A node's rows cover the workers that run its own requests, so at most all workers.
    let rows = value_at(series, names::ROW_BYTES, workers) * local_peers * HEARTBEATS_PER_S * 2.0;
    policy.insert("entry_heartbeat_bytes_per_s", all_heartbeats);
    policy.insert("entry_rows_bytes_per_s", rows);
    let heartbeats_us = value_at(series, names::PEER_ROUND_US, nodes) * HEARTBEATS_PER_S;
    let rows_us = (value_at(series, names::ROW_MERGE_US, workers)
        + value_at(series, names::ROW_DRAW_US, workers))
        * local_peers
        * HEARTBEATS_PER_S;
    policy.insert("entry_heartbeat_cpu_us_per_s", heartbeats_us);
    policy.insert("entry_rows_cpu_us_per_s", rows_us);
    policy.insert(
        "entry_admission_memory_mb",
        value_at(series, names::ADMISSION_MEMORY, workers) / 1e6,
    );
    policy.insert(
        "query_all_accelerators_cpu_ms",
        value_at(series, names::QUERY_US, ACCELERATORS) / 1e3,
    );
}

/// Largest number of tickets that an issuer keeps records and outcomes of.
const TICKETS_KEPT_MAX: f64 = 20_000.0;

fn add_issuer(series: &[Series], policy: &mut Figures) {
    let ticket_us = value_at(series, names::TICKET_US, TICKETS_KEPT_MAX);
    policy.insert("issuer_ticket_cpu_us", ticket_us);
    policy.insert(
        "issuer_memory_mb",
        value_at(series, names::TICKET_MEMORY, TICKETS_KEPT_MAX) / 1e6,
    );
    policy.insert(
        "issuer_hand_over_mb",
        value_at(series, names::HAND_OVER_BYTES, TICKETS_KEPT_MAX) / 1e6,
    );
}

fn add_events(series: &[Series], policy: &mut Figures) {
    let workers = WORKERS / DATA_CENTRES;
    let loss_us = value_at(series, names::LOSS_US, workers);
    policy.insert("worker_loss_cpu_ms", loss_us / 1e3);
    policy.insert("rack_loss_cpu_ms", 8.0 * loss_us / 1e3);
    policy.insert(
        "day_of_losses_cpu_s",
        LOSSES_PER_DAY / DATA_CENTRES * loss_us / 1e6,
    );
    policy.insert(
        "take_over_cpu_ms",
        value_at(series, names::TAKE_OVER_US, workers) / 1e3,
    );
    policy.insert(
        "take_over_mb",
        value_at(series, names::INVENTORY_BYTES, workers) / 1e6,
    );
    let lost_members = LEASES / DATA_CENTRES;
    let starts_us = lost_members * value_at(series, names::START_US, workers);
    policy.insert("data_centre_restart_cpu_s", starts_us / 1e6);
    let missed = CHANGES_PER_S * 3_600.0 * value_at(series, names::DELTA_BYTES, ORGANISATIONS);
    policy.insert("region_cut_hour_catch_up_kb", missed / 1e3);
}

fn add_goals(report: &mut BenchReport) {
    let figure = |name: &str| report.policy.get(name).copied().unwrap_or(f64::MAX);
    let memory_mb_max = MEMORY_BYTES_MAX / 1e6;
    report.goals = vec![
        Goal::at_most(
            "watcher_bytes_per_s",
            NETWORK_BYTES_PER_S_MAX,
            figure("watcher_bytes_per_s"),
        ),
        Goal::at_most(
            "watcher_cpu_us_per_s",
            CPU_US_PER_S_MAX,
            figure("watcher_cpu_us_per_s"),
        ),
        Goal::at_most(
            "planner_cpu_us_per_s",
            CPU_US_PER_S_MAX,
            figure("planner_cpu_us_per_s"),
        ),
        Goal::at_most(
            "planner_memory_mb",
            memory_mb_max,
            figure("planner_memory_mb"),
        ),
        Goal::at_most(
            "planner_bytes_per_s",
            NETWORK_BYTES_PER_S_MAX,
            figure("planner_bytes_per_s"),
        ),
        Goal::at_most(
            "entry_bytes_per_s",
            NETWORK_BYTES_PER_S_MAX,
            figure("entry_heartbeat_bytes_per_s") + figure("entry_rows_bytes_per_s"),
        ),
        Goal::at_most(
            "entry_cpu_us_per_s",
            CPU_US_PER_S_MAX,
            figure("entry_heartbeat_cpu_us_per_s") + figure("entry_rows_cpu_us_per_s"),
        ),
    ];
}
