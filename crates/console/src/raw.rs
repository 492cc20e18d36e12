//! Syntax tree of statements, before names and values are resolved.

use crate::query::{Comparison, Direction};

/// A value with its byte offset in the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Spanned<T> {
    pub(crate) value: T,
    pub(crate) offset: usize,
}

/// A word with its byte offset.
pub(crate) type Word = Spanned<String>;

/// An unresolved query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RawQuery {
    pub(crate) items: Vec<RawItem>,
    pub(crate) table: Word,
    pub(crate) by: Vec<Word>,
    pub(crate) condition: Option<RawCondition>,
    pub(crate) group_by: Vec<Word>,
    pub(crate) order_by: Vec<(RawItem, Direction)>,
    pub(crate) limit: Option<Word>,
}

/// An unresolved column of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RawItem {
    Column(Word),
    Count { offset: usize },
    Sum(Word),
}

/// An unresolved literal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RawLiteral {
    pub(crate) text: Word,
    pub(crate) is_quoted: bool,
}

/// An unresolved condition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RawCondition {
    Compare {
        column: Word,
        comparison: Comparison,
        operand: RawLiteral,
    },
    In {
        column: Word,
        values: Vec<RawLiteral>,
    },
    IsNull {
        column: Word,
        negated: bool,
    },
    Not(Box<RawCondition>),
    And(Vec<RawCondition>),
    Or(Vec<RawCondition>),
}

/// An unresolved command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RawCommand {
    pub(crate) verb: RawVerb,
    pub(crate) target: Word,
    pub(crate) settings: Vec<RawSetting>,
    pub(crate) is_plan: bool,
}

/// What a command does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RawVerb {
    CreateOrganisation,
    AlterOrganisation,
    DeleteOrganisation,
    SuspendOrganisation,
    ResumeOrganisation,
    CreateClass,
    AlterClass,
    DeleteClass,
    SetGuarantee,
    DrainWorker,
    ReturnWorker,
    CancelJob,
}

/// An unresolved setting of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RawSetting {
    pub(crate) name: Word,
    pub(crate) values: Vec<RawLiteral>,
}

/// An unresolved statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RawStatement {
    Query(RawQuery),
    Explain(Word),
    Command(RawCommand),
}
