//! Prints results and errors of commands, as text and tables or as JSON.

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde_json::Value;

use crate::client::CtlError;

/// Prints results in the format that the user chose.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Output {
    is_json: bool,
}

impl Output {
    /// Creates an output that prints JSON when `is_json` is set, and text otherwise.
    pub(crate) const fn new(is_json: bool) -> Self {
        Self { is_json }
    }

    /// Prints `value` in JSON mode and the result of `text` otherwise.
    pub(crate) fn print(self, value: &Value, text: impl FnOnce() -> String) {
        if self.is_json {
            println!("{value}");
        } else {
            println!("{}", text());
        }
    }

    /// Prints an error: as JSON on standard output, or as text on standard error.
    pub(crate) fn print_error(self, error: &CtlError) {
        if self.is_json {
            println!("{}", error.to_json());
            return;
        }
        match error {
            CtlError::Node { status, body } => {
                eprintln!("hemlockctl: {} {}", status.as_u16(), describe_error(body));
            }
            other => eprintln!("hemlockctl: {other}"),
        }
    }
}

/// Formats a node's error as text: its outcome, reason and detail, or the whole body when it has no
/// outcome.
fn describe_error(body: &Value) -> String {
    let field = |name: &str| body.get(name).and_then(Value::as_str).unwrap_or_default();
    if body.get("outcome").is_none() {
        return format_cell(body);
    }
    format!(
        "{} ({}): {}",
        field("outcome"),
        field("reason"),
        field("detail")
    )
}

/// Formats `columns` and `rows` as a Markdown table.
pub(crate) fn format_table(columns: &[Value], rows: &[Value]) -> String {
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    table.set_header(columns.iter().map(format_cell));
    for row in rows {
        let cells = row.as_array().map(Vec::as_slice).unwrap_or_default();
        table.add_row(cells.iter().map(format_cell));
    }
    table.to_string()
}

/// Formats a JSON value as the text of a table cell.
pub(crate) fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
