//! Resolved queries and their printed form.

use std::fmt;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::lexer::{is_bare_word, is_reserved};
use crate::schema::{Column, TableName};
use crate::value::Value;

/// A query over one table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The table to read.
    pub table: TableName,
    /// Columns of the result; empty stands for all columns of the table.
    pub items: Vec<Item>,
    /// Condition that rows have to meet, if any.
    pub condition: Option<Condition>,
    /// Columns to group by: rows with equal values form one row of the result.
    pub group_by: Vec<Column>,
    /// Sort keys of the result, most significant first.
    pub order_by: Vec<SortKey>,
    /// Maximum number of rows of the result.
    pub limit: Option<u64>,
}

/// One column of a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Item {
    /// A column of the table.
    Column(Column),
    /// The number of rows.
    Count,
    /// The sum of a column.
    Sum(Column),
}

/// One sort key of a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SortKey {
    /// The item to compare.
    pub item: Item,
    /// The direction of the order.
    pub direction: Direction,
}

/// Direction of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Direction {
    /// Smallest first.
    Asc,
    /// Largest first.
    Desc,
}

/// Operator of a comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, EnumIter, IntoStaticStr)]
pub enum Comparison {
    /// Equal to.
    #[strum(serialize = "=")]
    Equal,
    /// Not equal to.
    #[strum(serialize = "!=")]
    NotEqual,
    /// Less than.
    #[strum(serialize = "<")]
    Less,
    /// Less than or equal to.
    #[strum(serialize = "<=")]
    LessOrEqual,
    /// Greater than.
    #[strum(serialize = ">")]
    Greater,
    /// Greater than or equal to.
    #[strum(serialize = ">=")]
    GreaterOrEqual,
    /// The left text contains the right one.
    #[strum(serialize = "contains")]
    Contains,
}

/// Right side of a comparison.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operand {
    /// Another column of the row.
    Column(Column),
    /// A value.
    Value(Value),
}

/// Condition on a row; a comparison with a null value is false.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// A comparison.
    Compare {
        /// Left side.
        column: Column,
        /// The operator.
        comparison: Comparison,
        /// Right side.
        operand: Operand,
    },
    /// The column has one of the values.
    In {
        /// The column.
        column: Column,
        /// The values.
        values: Vec<Value>,
    },
    /// The column is null.
    IsNull {
        /// The column.
        column: Column,
    },
    /// The condition does not hold.
    Not(Box<Condition>),
    /// All of two or more conditions hold.
    And(Vec<Condition>),
    /// One of two or more conditions holds.
    Or(Vec<Condition>),
}

impl Query {
    /// Returns whether rows of the result stand for groups of rows.
    pub fn is_grouped(&self) -> bool {
        !self.group_by.is_empty()
            || self
                .items
                .iter()
                .any(|item| !matches!(item, Item::Column(_)))
    }

    /// Returns the query whose rows another node contributes to the answer. A grouped query needs
    /// all matching rows; others keep their order and limit.
    pub fn for_peers(&self) -> Self {
        let is_grouped = self.is_grouped();
        Self {
            table: self.table,
            items: Vec::new(),
            condition: self.condition.clone(),
            group_by: Vec::new(),
            order_by: if is_grouped {
                Vec::new()
            } else {
                self.order_by.clone()
            },
            limit: if is_grouped { None } else { self.limit },
        }
    }
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("show ")?;
        if !self.items.is_empty() {
            write_list(f, &self.items)?;
            f.write_str(" of ")?;
        }
        write!(f, "{}", self.table)?;
        if let Some(condition) = &self.condition {
            write!(f, " where {condition}")?;
        }
        if !self.group_by.is_empty() {
            f.write_str(" group by ")?;
            let columns: Vec<Item> = self.group_by.iter().copied().map(Item::Column).collect();
            write_list(f, &columns)?;
        }
        if !self.order_by.is_empty() {
            f.write_str(" order by ")?;
            write_list(f, &self.order_by)?;
        }
        if let Some(limit) = self.limit {
            write!(f, " limit {limit}")?;
        }
        Ok(())
    }
}

/// Writes `values` separated by commas.
pub(crate) fn write_list<T: fmt::Display>(f: &mut fmt::Formatter<'_>, values: &[T]) -> fmt::Result {
    for (index, value) in values.iter().enumerate() {
        if index > 0 {
            f.write_str(", ")?;
        }
        write!(f, "{value}")?;
    }
    Ok(())
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Column(column) => f.write_str(column.spec().name),
            Self::Count => f.write_str("count()"),
            Self::Sum(column) => write!(f, "sum({})", column.spec().name),
        }
    }
}

impl fmt::Display for SortKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.direction {
            Direction::Asc => write!(f, "{}", self.item),
            Direction::Desc => write!(f, "{} desc", self.item),
        }
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compare {
                column,
                comparison,
                operand,
            } => {
                write!(f, "{} {comparison} ", column.spec().name)?;
                match operand {
                    Operand::Column(other) => f.write_str(other.spec().name),
                    Operand::Value(value) => write_value(f, column.table(), value),
                }
            }
            Self::In { column, values } => {
                write!(f, "{} in (", column.spec().name)?;
                for (index, value) in values.iter().enumerate() {
                    if index > 0 {
                        f.write_str(", ")?;
                    }
                    write_value(f, column.table(), value)?;
                }
                f.write_str(")")
            }
            Self::IsNull { column } => write!(f, "{} is null", column.spec().name),
            Self::Not(inner) => {
                f.write_str("not ")?;
                write_nested(f, inner)
            }
            Self::And(parts) => write_joined(f, parts, " and "),
            Self::Or(parts) => write_joined(f, parts, " or "),
        }
    }
}

/// Writes the parts of a conjunction or disjunction.
fn write_joined(f: &mut fmt::Formatter<'_>, parts: &[Condition], separator: &str) -> fmt::Result {
    for (index, part) in parts.iter().enumerate() {
        if index > 0 {
            f.write_str(separator)?;
        }
        write_nested(f, part)?;
    }
    Ok(())
}

/// Writes a condition inside another one, in parentheses where they are needed.
fn write_nested(f: &mut fmt::Formatter<'_>, inner: &Condition) -> fmt::Result {
    match inner {
        Condition::And(_) | Condition::Or(_) => write!(f, "({inner})"),
        _ => write!(f, "{inner}"),
    }
}

/// Writes a value as a literal.
fn write_value(f: &mut fmt::Formatter<'_>, table: TableName, value: &Value) -> fmt::Result {
    match value {
        Value::Text(text) => {
            let is_plain =
                is_bare_word(text) && !is_reserved(text) && Column::find(table, text).is_none();
            write_text(f, text, is_plain)
        }
        Value::Null => f.write_str("null"),
        Value::Boolean(_) | Value::Integer(_) | Value::Duration(_) => write!(f, "{value}"),
    }
}

/// Writes text, in quotes unless `is_plain`.
fn write_text(f: &mut fmt::Formatter<'_>, text: &str, is_plain: bool) -> fmt::Result {
    if is_plain {
        return f.write_str(text);
    }
    f.write_str("\"")?;
    for c in text.chars() {
        if matches!(c, '"' | '\\') {
            f.write_str("\\")?;
        }
        write!(f, "{c}")?;
    }
    f.write_str("\"")
}
