//! Organisations: their guarantees and quotas, and the roles and tokens of those who act for them.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use strum::{Display, EnumString};
use thiserror::Error;

use crate::name::{ClassName, DataCentreName, OrganisationName};
use crate::shape::Level;

/// Blocks of adjacent accelerators that an organisation can always claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Data centre that holds the blocks.
    pub data_centre: DataCentreName,
    /// Size of each block.
    pub level: Level,
    /// Number of blocks.
    pub count: u32,
}

/// Upper bounds on what an organisation uses at any time in one data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Accelerators held by its jobs.
    pub accelerators: u32,
    /// Requests in flight.
    pub requests_in_flight: u32,
}

/// What the holder of a token may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// May submit and view the work of one organisation.
    Caller,
    /// May view and change everything.
    Operator,
}

/// Why a string is not a token digest.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a token digest is 64 hexadecimal digits (SHA-256)")]
pub struct TokenDigestError;

/// SHA-256 of a bearer token, printed as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenDigest([u8; 32]);

impl TokenDigest {
    /// Computes the digest of `token`.
    pub fn of_token(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }
}

impl fmt::Debug for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TokenDigest({}..)", hex::encode(&self.0[..4]))
    }
}

impl TryFrom<String> for TokenDigest {
    type Error = TokenDigestError;

    fn try_from(raw: String) -> Result<Self, TokenDigestError> {
        let mut digest = [0; 32];
        hex::decode_to_slice(&raw, &mut digest).map_err(|_| TokenDigestError)?;
        Ok(Self(digest))
    }
}

impl std::str::FromStr for TokenDigest {
    type Err = TokenDigestError;

    fn from_str(raw: &str) -> Result<Self, TokenDigestError> {
        Self::try_from(raw.to_owned())
    }
}

impl From<TokenDigest> for String {
    fn from(digest: TokenDigest) -> Self {
        hex::encode(digest.0)
    }
}

/// Declared properties of an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Blocks of accelerators that it can always claim.
    pub guarantees: Vec<Guarantee>,
    /// Upper bounds on its usage.
    pub quota: Quota,
    /// Classes whose work it may submit.
    pub classes: Vec<ClassName>,
    /// Digests of its callers' tokens.
    pub token_digests: Vec<TokenDigest>,
    /// Whether new work is refused.
    pub suspended: bool,
}
