//! Values of columns, and the text form of durations.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One value; `Null` orders before all others.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// No value.
    Null,
    /// True or false.
    Boolean(bool),
    /// A whole number.
    Integer(i64),
    /// A length of time in milliseconds.
    Duration(u64),
    /// Text.
    Text(String),
}

impl Value {
    /// Creates a text value from the printed form of `value`.
    pub fn text(value: impl fmt::Display) -> Self {
        Self::Text(value.to_string())
    }

    /// Creates an integer value from a count; counts above `i64::MAX` are capped at it.
    pub fn count(value: u64) -> Self {
        Self::Integer(i64::try_from(value).unwrap_or(i64::MAX))
    }
}

impl From<&Value> for serde_json::Value {
    fn from(value: &Value) -> Self {
        match value {
            Value::Null => Self::Null,
            Value::Boolean(value) => (*value).into(),
            Value::Integer(value) => (*value).into(),
            Value::Duration(value_ms) => (*value_ms).into(),
            Value::Text(value) => value.as_str().into(),
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("-"),
            Self::Boolean(value) => write!(f, "{value}"),
            Self::Integer(value) => write!(f, "{value}"),
            Self::Duration(value_ms) => f.write_str(&format_duration(*value_ms)),
            Self::Text(value) => f.write_str(value),
        }
    }
}

/// Values of one row, in the order of the table's columns.
pub type Row = Vec<Value>;

/// Units of durations and their lengths in milliseconds, longest first.
const UNITS: [(&str, u64); 5] = [
    ("d", 86_400_000),
    ("h", 3_600_000),
    ("m", 60_000),
    ("s", 1_000),
    ("ms", 1),
];

/// Formats `duration_ms` in the longest unit that divides it.
pub fn format_duration(duration_ms: u64) -> String {
    if duration_ms == 0 {
        return "0s".to_owned();
    }
    UNITS
        .iter()
        .find(|(_, unit_ms)| duration_ms.is_multiple_of(*unit_ms))
        .map_or_else(String::new, |(unit, unit_ms)| {
            format!("{}{unit}", duration_ms / unit_ms)
        })
}

/// Parses a duration such as `90s`, `1h30m` or `250ms` into milliseconds; `None` when `text` is
/// malformed or too large.
pub fn parse_duration(text: &str) -> Option<u64> {
    let mut rest = text;
    let mut total_ms = 0_u64;
    while !rest.is_empty() {
        let digits_len = rest.bytes().take_while(u8::is_ascii_digit).count();
        let (digits, after) = rest.split_at(digits_len);
        let unit_len = after.bytes().take_while(u8::is_ascii_lowercase).count();
        let (unit, next) = after.split_at(unit_len);
        let (_, unit_ms) = UNITS.iter().find(|(name, _)| *name == unit)?;
        let amount: u64 = digits.parse().ok()?;
        total_ms = total_ms.checked_add(amount.checked_mul(*unit_ms)?)?;
        rest = next;
    }
    (!text.is_empty()).then_some(total_ms)
}
