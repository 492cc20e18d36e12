//! Tokens of the embedded site, generated from its seed.

use std::collections::BTreeMap;

use declarations::DeclarationSet;
use model::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;

/// Tokens of the operator and of each organisation's callers.
#[derive(Debug, Serialize)]
pub(super) struct SiteTokens {
    /// Token of the operator.
    pub(super) operator: String,
    /// Token of each organisation.
    pub(super) organisations: BTreeMap<OrganisationName, String>,
}

impl SiteTokens {
    /// Generates tokens and declares the digests of the organisations' tokens in `set`.
    pub(super) fn generate(seed: u64, set: &mut DeclarationSet) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let operator = generate_token("operator", &mut random);
        let mut organisations = BTreeMap::new();
        for (name, organisation) in &mut set.organisations {
            let token = generate_token(name.as_str(), &mut random);
            organisation
                .token_digests
                .push(TokenDigest::of_token(&token));
            organisations.insert(name.clone(), token);
        }
        Self {
            operator,
            organisations,
        }
    }

    /// Returns the digest of the operator's token.
    pub(super) fn operator_digest(&self) -> TokenDigest {
        TokenDigest::of_token(&self.operator)
    }
}

/// Generates a token that names its owner.
fn generate_token(owner: &str, random: &mut Pcg64) -> String {
    format!(
        "{owner}-{:016x}{:016x}",
        random.next_u64(),
        random.next_u64()
    )
}
