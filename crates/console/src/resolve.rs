//! Resolves the syntax tree of a query: looks up its table and columns, and parses its literals by
//! the kinds of the columns.

use std::fmt::Display;
use std::str::FromStr;

use model::nearest::suggest;
use model::prelude::*;

use crate::lexer::SOURCE_NAME;
use crate::query::{Comparison, Condition, Item, Operand, Query, SortKey};
use crate::raw::{RawCondition, RawItem, RawLiteral, RawQuery, Word};
use crate::schema::{Column, TableName, ValueKind};
use crate::value::{Value, parse_duration};

/// Parses words of a statement and collects findings about wrong names and values.
pub(crate) struct Resolver<'t> {
    text: &'t str,
    findings: Findings,
}

impl<'t> Resolver<'t> {
    /// Creates a resolver for the statement `text`, which findings refer to.
    pub(crate) fn new(text: &'t str) -> Self {
        Self {
            text,
            findings: Findings::default(),
        }
    }

    /// Returns the resolved value, or all findings if there are any.
    pub(crate) fn finish<T>(mut self, value: Option<T>) -> Result<T, Findings> {
        match value {
            Some(value) => self.findings.into_result(value),
            None => {
                if self.findings.is_empty() {
                    self.report(0, "the statement has no meaning");
                }
                Err(self.findings)
            }
        }
    }

    /// Records a finding at byte `offset`.
    pub(crate) fn report(&mut self, offset: usize, message: impl Into<String>) {
        let place = Place::of_offset(SOURCE_NAME, self.text, offset);
        self.findings.push(place, message);
    }

    /// Parses `word` as a `T`, such as a name or an identifier.
    pub(crate) fn parse_word<T>(&mut self, word: &Word) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match word.value.parse() {
            Ok(parsed) => Some(parsed),
            Err(e) => {
                self.report(word.offset, format!("{:?}: {e}", word.value));
                None
            }
        }
    }

    /// Parses `word` as one of `choices`.
    pub(crate) fn parse_choice<T: FromStr>(
        &mut self,
        word: &Word,
        choices: &[&'static str],
    ) -> Option<T> {
        let parsed = word.value.parse().ok();
        if parsed.is_none() {
            let hint = suggest(&word.value, choices.iter().copied());
            let listed = choices.join(", ");
            let message = format!("expected {listed}; found {:?}{hint}", word.value);
            self.report(word.offset, message);
        }
        parsed
    }

    /// Parses `word` as a whole number in the range of `T`.
    pub(crate) fn parse_number<T: FromStr>(&mut self, word: &Word) -> Option<T> {
        let parsed = word.value.parse().ok();
        if parsed.is_none() {
            let message = format!("expected a whole number in range; found {:?}", word.value);
            self.report(word.offset, message);
        }
        parsed
    }

    /// Parses `word` as a duration in milliseconds.
    pub(crate) fn parse_duration(&mut self, word: &Word) -> Option<u64> {
        let parsed = parse_duration(&word.value);
        if parsed.is_none() {
            let message = format!(
                "expected a duration such as 90s, 5m or 1h30m; found {:?}",
                word.value
            );
            self.report(word.offset, message);
        }
        parsed
    }

    /// Finds the column of `table` that `word` names.
    fn find_column(&mut self, table: TableName, word: &Word) -> Option<Column> {
        let column = Column::find(table, &word.value);
        if column.is_none() {
            let names = table.spec().columns.iter().map(|spec| spec.name);
            let hint = suggest(&word.value, names);
            self.report(
                word.offset,
                format!("{table} has no column {:?}{hint}", word.value),
            );
        }
        column
    }

    /// Finds the columns of `table` that `words` name.
    fn find_columns(&mut self, table: TableName, words: &[Word]) -> Vec<Column> {
        words
            .iter()
            .filter_map(|word| self.find_column(table, word))
            .collect()
    }

    /// Resolves an item of a query on `table`.
    fn find_item(&mut self, table: TableName, raw: &RawItem) -> Option<Item> {
        match raw {
            RawItem::Column(word) => self.find_column(table, word).map(Item::Column),
            RawItem::Count { .. } => Some(Item::Count),
            RawItem::Sum(word) => {
                let column = self.find_column(table, word)?;
                if !matches!(column.spec().kind, ValueKind::Integer | ValueKind::Duration) {
                    self.report(
                        word.offset,
                        format!("{} is not a number and has no sum", word.value),
                    );
                    return None;
                }
                Some(Item::Sum(column))
            }
        }
    }

    /// Parses `literal` as a value of `kind`.
    fn parse_value(&mut self, kind: ValueKind, literal: &RawLiteral) -> Option<Value> {
        let word = &literal.text;
        if literal.is_quoted && kind != ValueKind::Text {
            let message = format!("expected a value of kind {kind}; found text in quotes");
            self.report(word.offset, message);
            return None;
        }
        match kind {
            ValueKind::Text => Some(Value::Text(word.value.clone())),
            ValueKind::Integer => self.parse_number(word).map(Value::Integer),
            ValueKind::Duration => self.parse_duration(word).map(Value::Duration),
            ValueKind::Boolean => self
                .parse_choice(word, &["true", "false"])
                .map(Value::Boolean),
        }
    }
}

/// Returns the byte offset of `item` in the text.
const fn offset_of(item: &RawItem) -> usize {
    match item {
        RawItem::Column(word) | RawItem::Sum(word) => word.offset,
        RawItem::Count { offset } => *offset,
    }
}

/// Resolves a query; `None` if it cannot be built because of findings.
pub(crate) fn resolve_query(resolver: &mut Resolver<'_>, raw: &RawQuery) -> Option<Query> {
    let Ok(table) = raw.table.value.parse::<TableName>() else {
        let hint = suggest(&raw.table.value, TableName::names());
        let message = format!("there is no table {:?}{hint}", raw.table.value);
        resolver.report(raw.table.offset, message);
        return None;
    };
    let items = resolve_items(resolver, table, raw);
    let mut group_by = resolver.find_columns(table, &raw.by);
    group_by.extend(resolver.find_columns(table, &raw.group_by));
    let condition = raw
        .condition
        .as_ref()
        .and_then(|raw| resolve_condition(resolver, table, raw));
    let mut query = Query {
        table,
        items,
        condition,
        group_by,
        order_by: Vec::new(),
        limit: raw
            .limit
            .as_ref()
            .and_then(|word| resolver.parse_number(word)),
    };
    expand_items(&mut query, !raw.by.is_empty());
    check_items(resolver, &query, raw);
    query.order_by = resolve_order(resolver, &query, raw);
    Some(query)
}

fn resolve_items(resolver: &mut Resolver<'_>, table: TableName, raw: &RawQuery) -> Vec<Item> {
    raw.items
        .iter()
        .filter_map(|item| resolver.find_item(table, item))
        .collect()
}

/// Completes the items of a grouped query that names no column: the columns of the group come
/// first, and a query without any items also gets a count and, with `by`, the sums.
fn expand_items(query: &mut Query, has_by_clause: bool) {
    if query.group_by.is_empty() {
        return;
    }
    let has_column = query
        .items
        .iter()
        .any(|item| matches!(item, Item::Column(_)));
    if has_column {
        return;
    }
    let mut items: Vec<Item> = query.group_by.iter().copied().map(Item::Column).collect();
    if query.items.is_empty() {
        items.push(Item::Count);
        if has_by_clause {
            let summed = Column::all(query.table).filter(|column| column.spec().is_summed);
            items.extend(summed.map(Item::Sum));
        }
    } else {
        items.append(&mut query.items);
    }
    query.items = items;
}

/// Reports columns of a grouped query that it does not group by.
fn check_items(resolver: &mut Resolver<'_>, query: &Query, raw: &RawQuery) {
    if !query.is_grouped() {
        return;
    }
    for item in &raw.items {
        let RawItem::Column(word) = item else {
            continue;
        };
        let is_grouped = query
            .group_by
            .iter()
            .any(|column| column.spec().name == word.value);
        if !is_grouped {
            let message = format!("{} has to stand in group by or in sum()", word.value);
            resolver.report(word.offset, message);
        }
    }
}

fn resolve_order(resolver: &mut Resolver<'_>, query: &Query, raw: &RawQuery) -> Vec<SortKey> {
    let mut orders = Vec::new();
    for (raw_item, direction) in &raw.order_by {
        let Some(item) = resolver.find_item(query.table, raw_item) else {
            continue;
        };
        let is_aggregate = !matches!(item, Item::Column(_));
        if (query.is_grouped() || is_aggregate) && !query.items.contains(&item) {
            let message = format!("{item} has to be shown to be ordered by");
            resolver.report(offset_of(raw_item), message);
        }
        orders.push(SortKey {
            item,
            direction: *direction,
        });
    }
    orders
}

fn resolve_condition(
    resolver: &mut Resolver<'_>,
    table: TableName,
    raw: &RawCondition,
) -> Option<Condition> {
    match raw {
        RawCondition::Compare {
            column,
            comparison,
            operand,
        } => resolve_comparison(resolver, table, column, *comparison, operand),
        RawCondition::In { column, values } => {
            let column = resolver.find_column(table, column)?;
            let values = values
                .iter()
                .filter_map(|literal| resolver.parse_value(column.spec().kind, literal))
                .collect();
            Some(Condition::In { column, values })
        }
        RawCondition::IsNull { column, negated } => {
            let column = resolver.find_column(table, column)?;
            let is_null = Condition::IsNull { column };
            Some(if *negated {
                Condition::Not(Box::new(is_null))
            } else {
                is_null
            })
        }
        RawCondition::Not(inner) => {
            let inner = resolve_condition(resolver, table, inner)?;
            Some(Condition::Not(Box::new(inner)))
        }
        RawCondition::And(parts) => resolve_conditions(resolver, table, parts).map(Condition::And),
        RawCondition::Or(parts) => resolve_conditions(resolver, table, parts).map(Condition::Or),
    }
}

/// Resolves all of `parts`, so that every finding is reported; `None` when one fails.
fn resolve_conditions(
    resolver: &mut Resolver<'_>,
    table: TableName,
    parts: &[RawCondition],
) -> Option<Vec<Condition>> {
    let resolved: Vec<Option<Condition>> = parts
        .iter()
        .map(|part| resolve_condition(resolver, table, part))
        .collect();
    resolved.into_iter().collect()
}

fn resolve_comparison(
    resolver: &mut Resolver<'_>,
    table: TableName,
    left: &Word,
    comparison: Comparison,
    right: &RawLiteral,
) -> Option<Condition> {
    let column = resolver.find_column(table, left)?;
    let kind = column.spec().kind;
    if comparison == Comparison::Contains && kind != ValueKind::Text {
        let message = format!("{} is not text and contains nothing", left.value);
        resolver.report(left.offset, message);
        return None;
    }
    let other = Column::find(table, &right.text.value).filter(|_| !right.is_quoted);
    let operand = match other {
        Some(other) if other.spec().kind != kind => {
            let message = format!(
                "{} is of kind {kind} and {} of kind {}",
                left.value,
                right.text.value,
                other.spec().kind
            );
            resolver.report(right.text.offset, message);
            return None;
        }
        Some(other) => Operand::Column(other),
        None => Operand::Value(resolver.parse_value(kind, right)?),
    };
    Some(Condition::Compare {
        column,
        comparison,
        operand,
    })
}
