//! Items of the declared configuration: their keys, their values, and edits of them. An item is the
//! unit of change and of storage.

use std::fmt;
use std::str::FromStr;

use model::name::NameError;
use model::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::set::{DataCentreSpec, Limits};

/// Key of one item, printed as `organisation/NAME`, `class/NAME`, `data-centre/NAME`,
/// `operator-tokens` or `limits`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum DeclarationKey {
    /// An organisation.
    Organisation(OrganisationName),
    /// A class of work.
    Class(ClassName),
    /// The size of a data centre.
    DataCentre(DataCentreName),
    /// The operators' tokens.
    OperatorTokens,
    /// The limits of the whole deployment.
    Limits,
}

/// Why a string is not the key of an item.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DeclarationKeyError {
    /// The kind of the item is unknown.
    #[error("{raw:?} does not name a declared item")]
    Kind {
        /// The string that was parsed.
        raw: String,
    },
    /// The name after the kind is not valid.
    #[error(transparent)]
    Name(#[from] NameError),
}

impl fmt::Display for DeclarationKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Organisation(name) => write!(f, "organisation/{name}"),
            Self::Class(name) => write!(f, "class/{name}"),
            Self::DataCentre(name) => write!(f, "data-centre/{name}"),
            Self::OperatorTokens => f.write_str("operator-tokens"),
            Self::Limits => f.write_str("limits"),
        }
    }
}

impl FromStr for DeclarationKey {
    type Err = DeclarationKeyError;

    fn from_str(raw: &str) -> Result<Self, DeclarationKeyError> {
        let unknown = || DeclarationKeyError::Kind {
            raw: raw.to_owned(),
        };
        match raw.split_once('/') {
            None if raw == "operator-tokens" => Ok(Self::OperatorTokens),
            None if raw == "limits" => Ok(Self::Limits),
            Some(("organisation", name)) => Ok(Self::Organisation(name.parse()?)),
            Some(("class", name)) => Ok(Self::Class(name.parse()?)),
            Some(("data-centre", name)) => Ok(Self::DataCentre(name.parse()?)),
            _ => Err(unknown()),
        }
    }
}

impl TryFrom<String> for DeclarationKey {
    type Error = DeclarationKeyError;

    fn try_from(raw: String) -> Result<Self, DeclarationKeyError> {
        raw.parse()
    }
}

impl From<DeclarationKey> for String {
    fn from(key: DeclarationKey) -> Self {
        key.to_string()
    }
}

/// Value of one item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemValue {
    /// An organisation.
    Organisation(OrganisationSpec),
    /// A class of work.
    Class(ClassSpec),
    /// The size of a data centre.
    DataCentre(DataCentreSpec),
    /// Digests of the operators' tokens.
    OperatorTokens(Vec<TokenDigest>),
    /// The limits of the whole deployment.
    Limits(Limits),
}

impl ItemValue {
    /// Returns the key of the item.
    pub fn key(&self) -> DeclarationKey {
        match self {
            Self::Organisation(spec) => DeclarationKey::Organisation(spec.name.clone()),
            Self::Class(spec) => DeclarationKey::Class(spec.name.clone()),
            Self::DataCentre(spec) => DeclarationKey::DataCentre(spec.name.clone()),
            Self::OperatorTokens(_) => DeclarationKey::OperatorTokens,
            Self::Limits(_) => DeclarationKey::Limits,
        }
    }
}

/// Change of one item of the declared configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Adds or replaces an item.
    Put(ItemValue),
    /// Removes an item.
    Delete(DeclarationKey),
}

impl Edit {
    /// Returns the key of the edited item.
    pub fn key(&self) -> DeclarationKey {
        match self {
            Self::Put(value) => value.key(),
            Self::Delete(key) => key.clone(),
        }
    }
}
