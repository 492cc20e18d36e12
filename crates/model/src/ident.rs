//! Identifiers that processes generate on their own: incarnations, revisions, terms, leases,
//! tickets, work and jobs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::name::{DataCentreName, NodeName};

/// Why a string is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IdentError {
    /// The string has the wrong prefix or number of parts.
    #[error("expected {expected}")]
    Form {
        /// The expected form.
        expected: &'static str,
    },
    /// A part of the string is not a name or a number.
    #[error("part {part} is not valid: {detail}")]
    Part {
        /// Position of the part, from 0.
        part: usize,
        /// Description of the error.
        detail: String,
    },
}

/// Number of one lifetime of an entry process; a later one of the same node has a higher number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Number of an accepted set of declarations; later sets have higher numbers.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Fencing term of a planner; workers refuse a term lower than the highest they have seen.
///
/// Two planners that choose the same number are ordered by `salt`, a hash of the planner's name and
/// incarnation.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct PlannerTerm {
    /// Grows with each change of planner.
    pub number: u64,
    /// Orders planners that chose the same number.
    pub salt: u32,
}

/// Identifier of a lease on a worker, assigned by the planner that requests it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// Returns the next part, or an error with the expected form if there is none.
fn next_part<'a>(
    parts: &mut impl Iterator<Item = &'a str>,
    expected: &'static str,
) -> Result<&'a str, IdentError> {
    parts.next().ok_or(IdentError::Form { expected })
}

/// Parses `raw` as the part at position `part`.
fn parse_part<T>(part: usize, raw: &str) -> Result<T, IdentError>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    raw.parse().map_err(|e: T::Err| IdentError::Part {
        part,
        detail: e.to_string(),
    })
}

macro_rules! define_issued {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name {
            /// Data centre of the node that issued it.
            pub data_centre: DataCentreName,
            /// Node that issued it.
            pub node: NodeName,
            /// Incarnation of the node that issued it.
            pub incarnation: Incarnation,
            /// Position in the order of issue, from 0.
            pub sequence: u64,
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(
                    f,
                    concat!($prefix, "{}.{}.{}.{}"),
                    self.data_centre, self.node, self.incarnation.0, self.sequence
                )
            }
        }

        impl FromStr for $name {
            type Err = IdentError;

            fn from_str(raw: &str) -> Result<Self, IdentError> {
                const FORM: &str = concat!($prefix, "DATA_CENTRE.NODE.INCARNATION.SEQUENCE");
                let rest = raw.strip_prefix($prefix).ok_or(IdentError::Form { expected: FORM })?;
                let mut parts = rest.split('.');
                let data_centre = parse_part(0, next_part(&mut parts, FORM)?)?;
                let node = parse_part(1, next_part(&mut parts, FORM)?)?;
                let incarnation = Incarnation(parse_part(2, next_part(&mut parts, FORM)?)?);
                let sequence = parse_part(3, next_part(&mut parts, FORM)?)?;
                match parts.next() {
                    Some(_) => Err(IdentError::Form { expected: FORM }),
                    None => Ok(Self { data_centre, node, incarnation, sequence }),
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdentError;

            fn try_from(raw: String) -> Result<Self, IdentError> {
                raw.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }
    };
}

define_issued!(
    /// Permission to run one piece of once-only work,
    /// `<data-centre>.<node>.<incarnation>.<sequence>`.
    Ticket,
    ""
);
define_issued!(
    /// Identifier of one piece of work sent to a worker,
    /// `w.<data-centre>.<node>.<incarnation>.<sequence>`.
    WorkId,
    "w."
);
define_issued!(
    /// Identifier of a gang job, `j.<data-centre>.<node>.<incarnation>.<sequence>`.
    JobId,
    "j."
);
