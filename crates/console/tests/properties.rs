//! Property tests of the parser: it never panics, and a printed statement parses back to itself.

use console::{
    ClassSettings, Column, Command, CommandRequest, Comparison, Condition, Direction, Item,
    Operand, OrganisationSettings, Query, SortKey, Statement, TableName, Value, ValueKind,
    parse_statement,
};
use model::prelude::*;
use proptest::prelude::*;
use proptest::sample::select;

fn any_table() -> impl Strategy<Value = TableName> {
    let tables: Vec<TableName> = console::tables().iter().map(|table| table.name).collect();
    select(tables)
}

fn any_column(table: TableName) -> impl Strategy<Value = Column> {
    select(Column::all(table).collect::<Vec<_>>())
}

fn any_value(kind: ValueKind) -> BoxedStrategy<Value> {
    match kind {
        ValueKind::Text => prop_oneof![
            any::<String>().prop_map(Value::Text),
            select(vec!["and", "null", "age", "5m", "-1", "gyor-r1-w3", "a b"])
                .prop_map(Value::text),
        ]
        .boxed(),
        ValueKind::Integer => any::<i64>().prop_map(Value::Integer).boxed(),
        ValueKind::Duration => any::<u64>().prop_map(Value::Duration).boxed(),
        ValueKind::Boolean => any::<bool>().prop_map(Value::Boolean).boxed(),
    }
}

fn any_comparison(column: Column) -> impl Strategy<Value = Condition> {
    let kind = column.spec().kind;
    let same_kind: Vec<Column> = Column::all(column.table())
        .filter(|other| other.spec().kind == kind)
        .collect();
    let mut operators = vec![
        Comparison::Equal,
        Comparison::NotEqual,
        Comparison::Less,
        Comparison::LessOrEqual,
        Comparison::Greater,
        Comparison::GreaterOrEqual,
    ];
    if kind == ValueKind::Text {
        operators.push(Comparison::Contains);
    }
    let operand = prop_oneof![
        any_value(kind).prop_map(Operand::Value),
        select(same_kind).prop_map(Operand::Column),
    ];
    prop_oneof![
        (select(operators), operand).prop_map(move |(comparison, operand)| Condition::Compare {
            column,
            comparison,
            operand,
        }),
        prop::collection::vec(any_value(kind), 0..4)
            .prop_map(move |values| Condition::In { column, values }),
        Just(Condition::IsNull { column }),
    ]
}

fn any_condition(table: TableName) -> impl Strategy<Value = Condition> {
    let leaf = any_column(table).prop_flat_map(any_comparison);
    leaf.prop_recursive(4, 24, 4, |inner| {
        prop_oneof![
            inner
                .clone()
                .prop_map(|inner| Condition::Not(Box::new(inner))),
            prop::collection::vec(inner.clone(), 2..4).prop_map(Condition::And),
            prop::collection::vec(inner, 2..4).prop_map(Condition::Or),
        ]
    })
}

fn any_direction() -> impl Strategy<Value = Direction> {
    select(vec![Direction::Asc, Direction::Desc])
}

fn any_query() -> impl Strategy<Value = Query> {
    any_table().prop_flat_map(|table| {
        let columns = || prop::collection::vec(any_column(table), 0..4);
        let sums: Vec<Column> = Column::all(table)
            .filter(|column| matches!(column.spec().kind, ValueKind::Integer | ValueKind::Duration))
            .collect();
        (
            columns(),
            columns(),
            prop::option::of(any_condition(table)),
            prop::collection::vec(any_direction(), 0..3),
            prop::option::of(any::<u64>()),
            select(sums),
        )
            .prop_map(
                move |(shown, group_by, condition, directions, limit, sum)| {
                    let mut items: Vec<Item> = shown.into_iter().map(Item::Column).collect();
                    if !group_by.is_empty() {
                        items = group_by.iter().copied().map(Item::Column).collect();
                        items.extend([Item::Count, Item::Sum(sum)]);
                    }
                    let order_by = items
                        .iter()
                        .zip(directions)
                        .map(|(item, direction)| SortKey {
                            item: *item,
                            direction,
                        })
                        .collect();
                    Query {
                        table,
                        items,
                        condition,
                        group_by,
                        order_by,
                        limit,
                    }
                },
            )
    })
}

fn any_command() -> impl Strategy<Value = Command> {
    let name = "[a-z0-9][a-z0-9-]{0,12}";
    let organisation = || name.prop_map(|raw| OrganisationName::try_from(raw).unwrap());
    let class = || name.prop_map(|raw| ClassName::try_from(raw).unwrap());
    let classes = prop::option::of(prop::collection::vec(class(), 0..3));
    let organisation_settings = (any::<u32>(), prop::option::of(any::<u32>()), classes).prop_map(
        |(accelerators, requests, classes)| OrganisationSettings {
            accelerators: Some(accelerators),
            requests,
            classes,
        },
    );
    let class_settings = (any::<u64>(), prop::option::of(any::<u64>()), any::<bool>()).prop_map(
        |(deadline_ms, grace_ms, idempotent)| ClassSettings {
            urgency: Some(Urgency::Urgent),
            deadline_ms: Some(deadline_ms),
            grace_ms,
            idempotent: Some(idempotent),
            ..ClassSettings::default()
        },
    );
    let guarantee = (name, select(Level::ALL.to_vec()), any::<u32>()).prop_map(
        |(data_centre, level, count)| Guarantee {
            data_centre: data_centre.as_str().try_into().unwrap(),
            level,
            count,
        },
    );
    prop_oneof![
        (organisation(), organisation_settings).prop_map(|(organisation, settings)| {
            Command::AlterOrganisation {
                organisation,
                settings,
            }
        }),
        (class(), class_settings)
            .prop_map(|(class, settings)| Command::AlterClass { class, settings }),
        (organisation(), guarantee).prop_map(|(organisation, guarantee)| {
            Command::SetGuarantee {
                organisation,
                guarantee,
            }
        }),
        organisation().prop_map(|organisation| Command::SuspendOrganisation { organisation }),
        name.prop_map(|raw| Command::DrainWorker {
            worker: raw.as_str().try_into().unwrap()
        }),
        (name, any::<u64>()).prop_map(|(raw, number)| Command::CancelJob {
            job: format!("j.{raw}.n1.{number}.0").parse().unwrap()
        }),
    ]
}

/// Builds text from words of the language in random order, so that many inputs are nearly valid.
fn any_words() -> impl Strategy<Value = String> {
    let word = select(vec![
        "show", "jobs", "of", "where", "and", "or", "not", "(", ")", "=", "<", ",", "in", "is",
        "null", "by", "group", "order", "limit", "count", "sum", "age", "state", "5m", "20",
        "\"x\"", "--plan", "create", "class", "with", "cancel", "job", "drain", "worker", "é",
        "\"",
    ]);
    prop::collection::vec(word, 0..40).prop_map(|words| words.join(" "))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parse_statement_any_text(text in prop_oneof![any::<String>(), any_words()]) {
        match parse_statement(&text) {
            Ok(statement) => prop_assert_eq!(
                parse_statement(&statement.to_string()),
                Ok(statement)
            ),
            Err(findings) => prop_assert!(!findings.is_empty()),
        }
    }

    #[test]
    fn parse_statement_printed_query(query in any_query()) {
        let printed = query.to_string();
        prop_assert_eq!(parse_statement(&printed), Ok(Statement::Query(query)));
    }

    #[test]
    fn parse_statement_printed_command(command in any_command(), is_plan in any::<bool>()) {
        let statement = Statement::Command(CommandRequest { command, is_plan });
        prop_assert_eq!(parse_statement(&statement.to_string()), Ok(statement));
    }
}

/// Guards against a stack overflow: conditions nested deeper than the limit are a finding.
#[test]
fn parse_statement_deep_nesting() {
    for (open, close) in [("(", ")"), ("not ", "")] {
        let text = format!(
            "show jobs where {}age > 5m{}",
            open.repeat(3_000),
            close.repeat(3_000)
        );
        assert!(parse_statement(&text).is_err());
    }
}
