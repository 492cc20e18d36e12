//! State of organisations, classes and bound guaranteed blocks.

use std::collections::HashMap;

use model::prelude::*;
use slotmap::{SlotMap, new_key_type};

use crate::blocks::LevelCounts;
use crate::topology::RackKey;

/// Key of an organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct OrganisationKey(pub(crate) u32);

/// Key of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ClassKey(pub(crate) u32);

new_key_type! {
    /// Key of a bound block.
    pub(crate) struct BlockKey;
}

/// A block that is bound to a guarantee of an organisation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Block {
    pub(crate) organisation: OrganisationKey,
    pub(crate) rack: RackKey,
    pub(crate) mask: u64,
    pub(crate) level: Level,
    /// Number of jobs that hold or have claimed accelerators in it within the guarantee.
    pub(crate) jobs: u32,
}

/// Grace period of a class that is not declared, in milliseconds.
const UNDECLARED_GRACE_MS: u64 = 30_000;

/// State of an organisation.
#[derive(Debug)]
pub(crate) struct Organisation {
    pub(crate) name: OrganisationName,
    /// Whether the current declarations contain it.
    pub(crate) declared: bool,
    pub(crate) suspended: bool,
    pub(crate) quota_accelerators: u32,
    pub(crate) classes: Vec<ClassKey>,
    /// Number of guaranteed blocks of each level.
    pub(crate) guaranteed: [u32; Level::ALL.len()],
    /// Number of guaranteed blocks that are bound.
    pub(crate) bound: [u32; Level::ALL.len()],
    /// Number of guaranteed blocks that healthy workers do not cover.
    pub(crate) missing: [u32; Level::ALL.len()],
    /// Value of `missing` that was last reported.
    pub(crate) reported: [u32; Level::ALL.len()],
    /// Start of the current shortfall.
    pub(crate) shortfall_since_ms: Option<u64>,
    pub(crate) blocks: Vec<BlockKey>,
    /// Number of accelerators that its jobs hold or have claimed.
    pub(crate) held: u32,
    /// Number of accelerators that its jobs hold or have claimed within guarantees.
    pub(crate) held_guaranteed: u32,
    /// Workers that its jobs hold beyond its guarantees, in thousandths of a worker.
    pub(crate) worker_permille_beyond: u64,
}

impl Organisation {
    fn new(name: OrganisationName) -> Self {
        Self {
            name,
            declared: false,
            suspended: false,
            quota_accelerators: u32::MAX,
            classes: Vec::new(),
            guaranteed: Default::default(),
            bound: Default::default(),
            missing: Default::default(),
            reported: Default::default(),
            shortfall_since_ms: None,
            blocks: Vec::new(),
            held: 0,
            held_guaranteed: 0,
            worker_permille_beyond: 0,
        }
    }

    /// Returns the number of guaranteed blocks of `level` that are not bound.
    pub(crate) fn unbound(&self, level: Level) -> u32 {
        self.guaranteed[level as usize].saturating_sub(self.bound[level as usize])
    }

    /// Returns the number of guaranteed blocks of `level` that can be bound now.
    pub(crate) fn claimable(&self, level: Level) -> u32 {
        self.unbound(level)
            .saturating_sub(self.missing[level as usize])
    }

    /// Returns whether a claim may succeed, in a bound block or in one that can be bound.
    pub(crate) fn may_claim(&self) -> bool {
        let mut levels = Level::ALL.into_iter();
        !self.blocks.is_empty() || levels.any(|level| self.claimable(level) > 0)
    }
}

/// State of a class of work.
#[derive(Debug)]
pub(crate) struct Class {
    pub(crate) declared: bool,
    pub(crate) urgency: Urgency,
    pub(crate) grace_ms: u64,
}

/// Organisations, classes and bound blocks.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    pub(crate) organisations: Vec<Organisation>,
    pub(crate) classes: Vec<Class>,
    pub(crate) blocks: SlotMap<BlockKey, Block>,
    /// Number of blocks of each level that guarantees need which are neither bound nor missing; a
    /// block counts as two of the level below.
    pub(crate) demand: LevelCounts,
    organisation_names: HashMap<OrganisationName, OrganisationKey>,
    class_names: HashMap<ClassName, ClassKey>,
}

impl Registry {
    /// Returns the organisation with this key.
    pub(crate) fn organisation(&self, key: OrganisationKey) -> &Organisation {
        &self.organisations[key.0 as usize]
    }

    /// Returns the organisation with this key.
    pub(crate) fn organisation_mut(&mut self, key: OrganisationKey) -> &mut Organisation {
        &mut self.organisations[key.0 as usize]
    }

    /// Returns the class with this key.
    pub(crate) fn class(&self, key: ClassKey) -> &Class {
        &self.classes[key.0 as usize]
    }

    /// Returns the keys of all organisations, in the order of their first declaration.
    pub(crate) fn organisation_keys(&self) -> impl Iterator<Item = OrganisationKey> + use<> {
        (0..self.organisations.len() as u32).map(OrganisationKey)
    }

    /// Returns the declared organisation with this name.
    pub(crate) fn find_organisation(&self, name: &OrganisationName) -> Option<OrganisationKey> {
        let key = self.organisation_names.get(name).copied()?;
        self.organisation(key).declared.then_some(key)
    }

    /// Returns the declared class with this name.
    pub(crate) fn find_class(&self, name: &ClassName) -> Option<ClassKey> {
        let key = self.class_names.get(name).copied()?;
        self.class(key).declared.then_some(key)
    }

    /// Returns the key of the organisation with this name, which is added undeclared if it is
    /// unknown.
    pub(crate) fn intern_organisation(&mut self, name: &OrganisationName) -> OrganisationKey {
        let next = OrganisationKey(self.organisations.len() as u32);
        let key = *self.organisation_names.entry(name.clone()).or_insert(next);
        if key == next {
            self.organisations.push(Organisation::new(name.clone()));
        }
        key
    }

    /// Returns the key of the class with this name, which is added undeclared if it is unknown.
    pub(crate) fn intern_class(&mut self, name: &ClassName) -> ClassKey {
        let next = ClassKey(self.classes.len() as u32);
        let key = *self.class_names.entry(name.clone()).or_insert(next);
        if key == next {
            self.classes.push(Class {
                declared: false,
                urgency: Urgency::Normal,
                grace_ms: UNDECLARED_GRACE_MS,
            });
        }
        key
    }

    /// Replaces the declarations; returns whether they are more restrictive in any respect.
    pub(crate) fn declare(
        &mut self,
        data_centre: &DataCentreName,
        organisations: &[OrganisationSpec],
        classes: &[ClassSpec],
        guarantees: bool,
    ) -> bool {
        let classes_before: Vec<bool> = self.classes.iter().map(|class| class.declared).collect();
        let allowed = |organisation: &Organisation| {
            let classes = organisation.classes.clone();
            (
                organisation.declared,
                organisation.quota_accelerators,
                classes,
            )
        };
        let allowed_before: Vec<_> = self.organisations.iter().map(allowed).collect();
        for class in &mut self.classes {
            class.declared = false;
        }
        for spec in classes {
            let key = self.intern_class(&spec.name);
            self.classes[key.0 as usize] = Class {
                declared: true,
                urgency: spec.urgency,
                grace_ms: spec.grace_ms,
            };
        }
        for organisation in &mut self.organisations {
            organisation.declared = false;
            organisation.guaranteed = Default::default();
        }
        for spec in organisations {
            self.declare_organisation(data_centre, spec, guarantees);
        }
        self.count_demand();
        let mut classes = classes_before.iter().zip(&self.classes);
        let mut organisations = allowed_before.iter().zip(&self.organisations);
        classes.any(|(before, class)| *before && !class.declared)
            || organisations.any(|((declared, quota, classes), now)| {
                *declared && !now.declared
                    || *quota > now.quota_accelerators
                    || classes.iter().any(|class| !now.classes.contains(class))
            })
    }

    fn declare_organisation(
        &mut self,
        data_centre: &DataCentreName,
        spec: &OrganisationSpec,
        guarantees: bool,
    ) {
        let classes = spec.classes.iter().map(|name| self.intern_class(name));
        let classes = classes.collect();
        let key = self.intern_organisation(&spec.name);
        let organisation = self.organisation_mut(key);
        organisation.declared = true;
        organisation.suspended = spec.suspended;
        organisation.quota_accelerators = spec.quota.accelerators;
        organisation.classes = classes;
        if !guarantees {
            return;
        }
        let here = spec.guarantees.iter();
        for guarantee in here.filter(|guarantee| guarantee.data_centre == *data_centre) {
            organisation.guaranteed[guarantee.level as usize] += guarantee.count;
        }
    }

    /// Recounts the demand.
    pub(crate) fn count_demand(&mut self) {
        let mut demand = LevelCounts::default();
        for organisation in &self.organisations {
            for level in Level::ALL {
                let blocks = i64::from(organisation.claimable(level));
                add_demand(&mut demand, level, blocks);
            }
        }
        self.demand = demand;
    }
}

/// Adds `blocks` blocks of `level` to a demand, at this level and at every smaller one.
pub(crate) fn add_demand(demand: &mut LevelCounts, level: Level, blocks: i64) {
    for smaller in &Level::ALL[..=level as usize] {
        demand[*smaller as usize] += blocks << (level as u32 - *smaller as u32);
    }
}
