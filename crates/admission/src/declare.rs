//! Handling of declarations of organisations and classes.

use model::prelude::*;

use crate::core::Admission;
use crate::lane::Lane;
use crate::queue::{ClassIndex, ClassQueue};
use crate::request::Phase;
use crate::retry::Budget;
use crate::share::PeerUse;

/// Retries that an organisation may add for each of its first attempts.
const ORGANISATION_RETRY_SHARE: f64 = 0.2;

/// Maximum number of retries of an organisation in a burst.
const ORGANISATION_RETRIES_MAX: f64 = 20.0;

/// State of an organisation at this node.
#[derive(Debug)]
pub(crate) struct Organisation {
    /// Declared properties.
    pub(crate) spec: OrganisationSpec,
    /// Whether the organisation is still declared.
    pub(crate) declared: bool,
    /// Attempts of this node in flight.
    pub(crate) in_flight: u32,
    /// Waiting requests of this node.
    pub(crate) waiting: u32,
    /// Usage by the other entry nodes.
    pub(crate) peers: PeerUse,
    /// Queues in which it has waited.
    pub(crate) queued_in: Vec<ClassIndex>,
    /// Budget for retries.
    pub(crate) retries: Budget,
}

impl Organisation {
    fn new(spec: OrganisationSpec) -> Self {
        Self {
            spec,
            declared: true,
            in_flight: 0,
            waiting: 0,
            peers: PeerUse::default(),
            queued_in: Vec::new(),
            retries: Budget::new(ORGANISATION_RETRY_SHARE, ORGANISATION_RETRIES_MAX),
        }
    }
}

impl Admission {
    /// Replaces the declarations. Attempts in flight continue; waiting requests that are no longer
    /// allowed are rejected by the next [`Admission::poll`].
    pub fn declare(
        &mut self,
        now_ms: u64,
        organisations: &[OrganisationSpec],
        classes: &[ClassSpec],
    ) {
        self.declare_classes(now_ms, classes);
        self.declare_organisations(organisations);
        self.reject_undeclared(now_ms);
        for organisation in 0..self.organisations.len() {
            self.rerank(organisation);
        }
    }

    fn declare_classes(&mut self, now_ms: u64, classes: &[ClassSpec]) {
        for queue in &mut self.classes {
            queue.declared = false;
        }
        for spec in classes {
            match self.class_by_name.get(&spec.name) {
                Some(&class) => {
                    let queue = &mut self.classes[class];
                    queue.declared = true;
                    queue.lane = Lane::of_class(spec);
                    queue.spec = spec.clone();
                }
                None => {
                    let class = self.classes.len();
                    self.class_by_name.insert(spec.name.clone(), class);
                    self.classes.push(ClassQueue::new(now_ms, spec.clone()));
                }
            }
        }
    }

    fn declare_organisations(&mut self, organisations: &[OrganisationSpec]) {
        for state in &mut self.organisations {
            state.declared = false;
        }
        for spec in organisations {
            match self.organisation_by_name.get(&spec.name) {
                Some(&organisation) => {
                    let state = &mut self.organisations[organisation];
                    state.declared = true;
                    state.spec = spec.clone();
                }
                None => {
                    let organisation = self.organisations.len();
                    self.organisation_by_name
                        .insert(spec.name.clone(), organisation);
                    self.organisations.push(Organisation::new(spec.clone()));
                }
            }
        }
        let declared = self.organisations.iter().filter(|state| state.declared);
        self.weight_total = declared
            .map(|state| u64::from(state.spec.quota.requests_in_flight))
            .sum();
    }

    fn reject_undeclared(&mut self, now_ms: u64) {
        let denied: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| matches!(request.phase, Phase::Waiting | Phase::BackingOff))
            .filter_map(|(key, request)| {
                let reason = self.denial_reason(request.class, request.organisation)?;
                Some((key, reason))
            })
            .collect();
        for (key, reason) in denied {
            self.spill_or_reject(now_ms, key, reason, "the declarations have changed");
        }
    }

    /// Returns the reason why the declarations do not allow a request; `None` if they do.
    pub(crate) fn denial_reason(
        &self,
        class: ClassIndex,
        organisation: usize,
    ) -> Option<RefusalReason> {
        let queue = self.classes.get(class)?;
        let state = self.organisations.get(organisation)?;
        if !state.declared {
            Some(RefusalReason::UnknownOrganisation)
        } else if !queue.declared || !state.spec.classes.contains(&queue.spec.name) {
            Some(RefusalReason::UnknownClass)
        } else if state.spec.suspended {
            Some(RefusalReason::Suspended)
        } else {
            None
        }
    }
}
