//! One revision of the declarations, indexed by token for the request path.

use std::collections::HashMap;

use declarations::{AcceptedRevision, DeclarationSet};
use model::prelude::*;

/// The owner of a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Principal {
    /// An operator.
    Operator,
    /// A caller of one organisation.
    Caller(OrganisationName),
}

impl Principal {
    /// Returns the role of the principal.
    pub(crate) const fn role(&self) -> Role {
        match self {
            Self::Operator => Role::Operator,
            Self::Caller(_) => Role::Caller,
        }
    }

    /// Returns the organisation that the principal is bound to; `None` for operators.
    pub(crate) const fn organisation(&self) -> Option<&OrganisationName> {
        match self {
            Self::Operator => None,
            Self::Caller(organisation) => Some(organisation),
        }
    }

    /// Returns whether the principal may act for `organisation`.
    pub(crate) fn may_act_for(&self, organisation: &OrganisationName) -> bool {
        self.organisation().is_none_or(|own| own == organisation)
    }
}

/// An immutable revision of the declarations.
#[derive(Debug)]
pub(crate) struct Snapshot {
    /// The revision; 0 before the first.
    pub(crate) revision: Revision,
    /// Everything that is declared.
    pub(crate) set: DeclarationSet,
    principals: HashMap<TokenDigest, Principal>,
}

impl Snapshot {
    /// Indexes one revision; `operators` are additional digests of operator tokens.
    pub(crate) fn new(accepted: &AcceptedRevision, operators: &[TokenDigest]) -> Self {
        let set = accepted.set.clone();
        let callers = set.organisations.values().flat_map(|organisation| {
            let name = &organisation.name;
            organisation
                .token_digests
                .iter()
                .map(|&d| (d, Principal::Caller(name.clone())))
        });
        let operators = set.operator_token_digests.iter().chain(operators);
        let operators = operators.map(|&digest| (digest, Principal::Operator));
        let principals = callers.chain(operators).collect();
        Self {
            revision: accepted.revision,
            set,
            principals,
        }
    }

    /// Returns the owner of `token`; `None` if the token is unknown.
    pub(crate) fn principal_of(&self, token: &str) -> Option<&Principal> {
        self.principals.get(&TokenDigest::of_token(token))
    }

    /// Returns the declaration of `class` if `organisation` may submit work of it now.
    ///
    /// # Errors
    ///
    /// The organisation may not submit it; the reason and the detail say why.
    pub(crate) fn class_for(
        &self,
        organisation: &OrganisationName,
        class: &ClassName,
    ) -> Result<&ClassSpec, (RefusalReason, String)> {
        let Some(owner) = self.set.organisations.get(organisation) else {
            let detail = format!("no organisation {organisation} is declared");
            return Err((RefusalReason::UnknownOrganisation, detail));
        };
        if owner.suspended {
            let detail = format!("the organisation {organisation} is suspended");
            return Err((RefusalReason::Suspended, detail));
        }
        match self.set.classes.get(class) {
            Some(spec) if owner.classes.contains(class) => Ok(spec),
            Some(_) => {
                let detail = format!("{organisation} may not submit work of the class {class}");
                Err((RefusalReason::UnknownClass, detail))
            }
            None => Err((
                RefusalReason::UnknownClass,
                format!("no class {class} is declared"),
            )),
        }
    }
}
