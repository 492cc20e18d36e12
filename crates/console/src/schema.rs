//! Tables that queries read: their names, and the names and kinds of their columns.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};

/// Kind of the values of a column.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ValueKind {
    /// Text.
    Text,
    /// A whole number.
    Integer,
    /// A length of time; results contain it in milliseconds.
    Duration,
    /// True or false.
    Boolean,
}

/// Description of a column of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ColumnSpec {
    /// Name in the language.
    pub name: &'static str,
    /// Kind of its values.
    pub kind: ValueKind,
    /// Whether queries with `by` sum its values.
    pub is_summed: bool,
    /// Description of its values.
    pub doc: &'static str,
}

/// Description of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableSpec {
    /// Its name.
    pub name: TableName,
    /// Description of its rows.
    pub doc: &'static str,
    /// Its columns in the order of their values in rows.
    pub columns: &'static [ColumnSpec],
}

/// Names of the tables.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TableName {
    /// Gang jobs.
    Jobs,
    /// Workers.
    Workers,
    /// Accelerators of workers.
    Accelerators,
    /// Guarantees of organisations.
    Guarantees,
    /// Queues of requests.
    Queues,
    /// Entry nodes.
    Nodes,
    /// Organisations.
    Organisations,
    /// Classes of work.
    Classes,
    /// Accepted changes of the declared configuration.
    History,
}

/// Reference to a column of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Column {
    table: TableName,
    index: usize,
}

impl Column {
    /// Finds the column `name` of `table`.
    pub fn find(table: TableName, name: &str) -> Option<Self> {
        let columns = table.spec().columns;
        let index = columns.iter().position(|spec| spec.name == name)?;
        Some(Self { table, index })
    }

    /// Returns all columns of `table`.
    pub fn all(table: TableName) -> impl Iterator<Item = Self> {
        (0..table.spec().columns.len()).map(move |index| Self { table, index })
    }

    /// Returns the position of the column's value in a row.
    pub const fn index(self) -> usize {
        self.index
    }

    /// Returns the table of the column.
    pub const fn table(self) -> TableName {
        self.table
    }

    /// Returns the description of the column.
    pub fn spec(self) -> &'static ColumnSpec {
        &self.table.spec().columns[self.index]
    }
}

/// Returns the descriptions of all tables.
pub fn tables() -> Vec<&'static TableSpec> {
    TableName::iter().map(TableName::spec).collect()
}

/// Creates a column that `by` does not sum.
const fn column(name: &'static str, kind: ValueKind, doc: &'static str) -> ColumnSpec {
    ColumnSpec {
        name,
        kind,
        is_summed: false,
        doc,
    }
}

/// Creates an integer column that `by` sums.
const fn summed_column(name: &'static str, doc: &'static str) -> ColumnSpec {
    ColumnSpec {
        name,
        kind: ValueKind::Integer,
        is_summed: true,
        doc,
    }
}

impl TableName {
    /// Returns the names of all tables.
    pub fn names() -> impl Iterator<Item = &'static str> {
        Self::iter().map(<&'static str>::from)
    }

    /// Returns the description of the table.
    pub const fn spec(self) -> &'static TableSpec {
        match self {
            Self::Jobs => &JOBS,
            Self::Workers => &WORKERS,
            Self::Accelerators => &ACCELERATORS,
            Self::Guarantees => &GUARANTEES,
            Self::Queues => &QUEUES,
            Self::Nodes => &NODES,
            Self::Organisations => &ORGANISATIONS,
            Self::Classes => &CLASSES,
            Self::History => &HISTORY,
        }
    }
}

use ValueKind::{Boolean, Duration, Integer, Text};

static JOBS: TableSpec = TableSpec {
    name: TableName::Jobs,
    doc: "gang jobs that are still recorded",
    columns: &[
        column("job", Text, "identifier"),
        column("organisation", Text, "organisation that it runs for"),
        column("class", Text, "class of the work"),
        column(
            "data_centre",
            Text,
            "data centre whose planner schedules it",
        ),
        column("state", Text, "waiting, starting, running, ..."),
        summed_column("members", "members of the gang"),
        summed_column("accelerators", "accelerators of all members"),
        column("adjacency", Text, "worker, rack or data_centre"),
        column("age", Duration, "time since it was accepted"),
        column("run", Duration, "time that it has run"),
        column("declared_run", Duration, "run time that its caller expects"),
        column("workers", Text, "workers that it holds"),
        column("why", Text, "why it waits or failed"),
    ],
};

static WORKERS: TableSpec = TableSpec {
    name: TableName::Workers,
    doc: "workers, live or leaving",
    columns: &[
        column("worker", Text, "name"),
        column("data_centre", Text, "data centre"),
        column("rack", Text, "rack"),
        column("position", Integer, "position in the rack"),
        column("state", Text, "live, leaving, quarantined or silent"),
        summed_column("accelerators", "accelerators"),
        summed_column("accelerators_in_use", "accelerators under leases"),
        summed_column("slots", "request slots"),
        summed_column("slots_in_use", "request slots in use"),
        summed_column("failures", "failures that are remembered for it"),
        column("seen", Duration, "time since it last responded"),
    ],
};

static ACCELERATORS: TableSpec = TableSpec {
    name: TableName::Accelerators,
    doc: "accelerators of workers and the jobs that hold them",
    columns: &[
        column("worker", Text, "worker"),
        column("accelerator", Integer, "index on the worker"),
        column("data_centre", Text, "data centre"),
        column("rack", Text, "rack"),
        column("state", Text, "free, held or lost"),
        column("organisation", Text, "organisation that holds it"),
        column("job", Text, "job that holds it"),
        summed_column("in_use", "1 when it is held"),
        summed_column("guaranteed", "1 when it is held under a guarantee"),
        summed_column("preemptible", "1 when it can be reclaimed"),
    ],
};

static GUARANTEES: TableSpec = TableSpec {
    name: TableName::Guarantees,
    doc: "guarantees by organisation, data centre and level",
    columns: &[
        column("organisation", Text, "organisation"),
        column("data_centre", Text, "data centre"),
        column("level", Text, "size of a block"),
        summed_column("declared", "blocks guaranteed"),
        summed_column("in_use", "blocks in use"),
        summed_column("claimable", "blocks that could be claimed now"),
        summed_column("shortfall", "blocks that could not be claimed now"),
    ],
};

static QUEUES: TableSpec = TableSpec {
    name: TableName::Queues,
    doc: "queues of requests by node, organisation and class",
    columns: &[
        column("node", Text, "entry node"),
        column("data_centre", Text, "data centre"),
        column("organisation", Text, "organisation"),
        column("class", Text, "class of work"),
        summed_column("waiting", "requests that wait"),
        summed_column("in_flight", "requests in flight"),
        column("oldest", Duration, "age of the oldest request that waits"),
        summed_column("refused", "requests refused since the node started"),
    ],
};

static NODES: TableSpec = TableSpec {
    name: TableName::Nodes,
    doc: "entry nodes",
    columns: &[
        column("node", Text, "name"),
        column("data_centre", Text, "data centre"),
        column("region", Text, "region"),
        column("state", Text, "live, leaving or silent"),
        column("incarnation", Integer, "number of its current incarnation"),
        column("planner", Boolean, "whether it plans a rack group"),
        column("watcher", Boolean, "whether it watches the store"),
        column("revision", Integer, "revision of the declarations in force"),
        column(
            "revision_age",
            Duration,
            "time since that was known to be the latest",
        ),
        column("seen", Duration, "time since it last responded"),
    ],
};

static ORGANISATIONS: TableSpec = TableSpec {
    name: TableName::Organisations,
    doc: "declared organisations",
    columns: &[
        column("organisation", Text, "name"),
        column("suspended", Boolean, "whether new work is refused"),
        column("accelerator_quota", Integer, "most accelerators in use"),
        summed_column("accelerators_in_use", "accelerators in use"),
        column("request_quota", Integer, "most requests in flight"),
        summed_column("requests_in_flight", "requests in flight"),
        column("classes", Text, "classes that it may submit"),
    ],
};

static CLASSES: TableSpec = TableSpec {
    name: TableName::Classes,
    doc: "declared classes of work",
    columns: &[
        column("class", Text, "name"),
        column("urgency", Text, "urgent, normal or background"),
        column("expected_run", Duration, "expected run time"),
        column(
            "deadline",
            Duration,
            "deadline of a request that names none",
        ),
        column("grace", Duration, "time to checkpoint before a stop"),
        column("idempotent", Boolean, "whether a request may be repeated"),
        column("in_flight_max", Integer, "most requests in flight"),
        column("queue_max", Integer, "most requests that wait"),
    ],
};

static HISTORY: TableSpec = TableSpec {
    name: TableName::History,
    doc: "the latest accepted changes of the declarations",
    columns: &[
        column("revision", Integer, "revision that the change made"),
        column("change", Text, "identifier of the change"),
        column("author", Text, "author of the change"),
        column("age", Duration, "time since it was requested"),
        column("why", Text, "reason that its author gave"),
        column("items", Text, "items that it edited"),
    ],
};
