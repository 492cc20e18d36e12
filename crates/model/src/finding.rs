//! Findings about input, each with its position, that are collected and reported together.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Position in a text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Name of the file, or of the input that the text came from.
    pub file: String,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

impl Place {
    /// Returns the position of byte `offset` of `text`.
    pub fn of_offset(file: &str, text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        let line = before.matches('\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
        Self {
            file: file.to_owned(),
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(column).unwrap_or(u32::MAX),
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One defect of an input.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Finding {
    /// Position of the defect.
    pub place: Place,
    /// Description of the defect.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// All defects of an input.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn push(&mut self, place: Place, message: impl Into<String>) {
        self.0.push(Finding {
            place,
            message: message.into(),
        });
    }

    /// Adds all findings of `other`.
    pub fn extend(&mut self, other: Findings) {
        self.0.extend(other.0);
    }

    /// Returns whether there is no finding.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the findings in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Returns `value` if there is no finding.
    ///
    /// # Errors
    ///
    /// Returns the findings, if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
