//! Checked names of regions, data centres, racks, machines, organisations and classes of work.
//!
//! A name is 1 to [`NAME_LEN_MAX`] bytes of lower-case ASCII letters, digits and hyphens, and
//! starts with a letter or a digit. Dots are excluded because identifiers are printed as names
//! joined by dots.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest accepted name, in bytes.
pub const NAME_LEN_MAX: usize = 63;

/// Why a raw string is not a name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NameError {
    /// The string is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The string has more than [`NAME_LEN_MAX`] bytes.
    #[error("a name has at most {NAME_LEN_MAX} bytes, this one has {len}")]
    TooLong {
        /// Length of the string in bytes.
        len: usize,
    },
    /// The string has a character that is not allowed in names.
    #[error("a name has lower-case letters, digits and hyphens only, not {found:?} at byte {at}")]
    Character {
        /// Byte offset of the character.
        at: usize,
        /// The character.
        found: char,
    },
}

/// Checks that `raw` follows the rule for names.
fn check_name(raw: &str) -> Result<(), NameError> {
    if raw.is_empty() {
        return Err(NameError::Empty);
    }
    if raw.len() > NAME_LEN_MAX {
        return Err(NameError::TooLong { len: raw.len() });
    }
    let refused = raw.char_indices().find(|&(at, c)| {
        let allowed = c.is_ascii_lowercase() || c.is_ascii_digit() || (c == '-' && at > 0);
        !allowed
    });
    match refused {
        Some((at, found)) => Err(NameError::Character { at, found }),
        None => Ok(()),
    }
}

macro_rules! define_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(raw: String) -> Result<Self, NameError> {
                Self::try_from(raw.as_str())
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(raw: &str) -> Result<Self, NameError> {
                check_name(raw)?;
                Ok(Self(raw.into()))
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(raw: &str) -> Result<Self, NameError> {
                Self::try_from(raw)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.as_str().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

define_name!(
    /// Name of a region: a group of data centres with fast links between them.
    RegionName
);
define_name!(
    /// Name of a data centre.
    DataCentreName
);
define_name!(
    /// Name of a rack, unique in its data centre.
    RackName
);
define_name!(
    /// Name of an entry VM, unique in the deployment.
    NodeName
);
define_name!(
    /// Name of a worker (a backend VM), unique in the deployment.
    WorkerName
);
define_name!(
    /// Name of an organisation (a customer).
    OrganisationName
);
define_name!(
    /// Name of a class of work.
    ClassName
);
