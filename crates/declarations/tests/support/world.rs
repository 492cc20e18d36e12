//! Model of concurrent editors, a store with faults and two replicas, for exhaustive exploration.
//!
//! The state machines are those of the crate; only the store and the network are simulated.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use declarations::{
    AcceptedRevision, CallFailure, ChangeRequest, DeclarationSet, Editor, EditorLimits, EditorStep,
    Loader, LoaderStep, MANIFEST_KEY, Offer, Replica, StoredEntry, SwapResult,
};
use model::prelude::*;

use crate::support::{MemoryStore, load};

/// A fault in the code around the state machines that the exploration has to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeededFault {
    /// Unanswered calls are reported to the editor as calls without effect.
    LostPassedAsUnavailable,
    /// A client that got no answer retries under a new identifier.
    RetryUnderNewId,
    /// A restarted node installs a delayed offer without comparing revisions.
    LateOfferInstalled,
}

/// Changes and fault budgets of one exploration.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub requests: Vec<ChangeRequest>,
    pub limits: EditorLimits,
    pub call_faults: u8,
    pub crashes: u8,
    pub node_restarts: u8,
    pub has_replicas: bool,
    pub seeded: Option<SeededFault>,
}

/// One operator with a change in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Operator {
    editor: Editor,
}

/// An unanswered compare-and-swap that may still reach the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DelayedSwap {
    key: String,
    expected: u64,
    value: String,
}

/// One state of the exploration.
#[derive(Debug, Clone)]
pub struct World {
    scenario: Arc<Scenario>,
    store: MemoryStore,
    operators: Vec<Operator>,
    delayed: Vec<DelayedSwap>,
    old_manifest: Option<StoredEntry>,
    watcher: Replica,
    peer: Replica,
    delayed_offer: Option<Offer>,
    call_faults: u8,
    crashes: u8,
    node_restarts: u8,
    /// Configuration of each revision, from revision 0.
    accepted_sets: Arc<Vec<DeclarationSet>>,
    /// Identifier of the change of each revision, from revision 1.
    accepted_ids: Vec<u64>,
    /// Message about the first invariant that was broken.
    pub violation: Option<String>,
    /// The step that led here; not compared, so that equal states are explored once.
    pub action: String,
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.store == other.store
            && self.operators == other.operators
            && self.delayed == other.delayed
            && self.old_manifest == other.old_manifest
            && self.watcher == other.watcher
            && self.peer == other.peer
            && self.delayed_offer == other.delayed_offer
            && (self.call_faults, self.crashes, self.node_restarts)
                == (other.call_faults, other.crashes, other.node_restarts)
            && self.violation == other.violation
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.store.hash(state);
        for operator in &self.operators {
            operator.editor.retries().hash(state);
            operator.editor.known().revision.hash(state);
            std::mem::discriminant(&operator.editor.next()).hash(state);
        }
        self.delayed.hash(state);
        (self.watcher.revision(), self.peer.revision()).hash(state);
        (self.call_faults, self.crashes, self.node_restarts).hash(state);
    }
}

impl World {
    /// Creates the initial state.
    pub fn new(scenario: Scenario) -> Self {
        let operators = scenario
            .requests
            .iter()
            .map(|request| Operator {
                editor: Editor::with_limits(
                    request.clone(),
                    AcceptedRevision::default(),
                    scenario.limits,
                ),
            })
            .collect();
        Self {
            store: MemoryStore::default(),
            operators,
            delayed: Vec::new(),
            old_manifest: None,
            watcher: Replica::new(),
            peer: Replica::new(),
            delayed_offer: None,
            call_faults: scenario.call_faults,
            crashes: scenario.crashes,
            node_restarts: scenario.node_restarts,
            accepted_sets: Arc::new(vec![DeclarationSet::default()]),
            accepted_ids: Vec::new(),
            violation: None,
            action: "start".to_owned(),
            scenario: Arc::new(scenario),
        }
    }

    /// Returns every state that can follow this one.
    pub fn successors(&self) -> Vec<Self> {
        if self.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for index in 0..self.operators.len() {
            self.add_operator_steps(index, &mut next);
        }
        for index in 0..self.delayed.len() {
            let mut world =
                self.clone_with_action(format!("delayed swap {index} reaches the store"));
            let swap = world.delayed.remove(index);
            world.apply_swap(&swap.key, swap.expected, &swap.value);
            next.push(world);
        }
        if self.scenario.has_replicas {
            self.add_replica_steps(&mut next);
        }
        for world in &mut next {
            world.store.calls = 0;
            world.check_outcomes();
        }
        next
    }

    fn clone_with_action(&self, action: String) -> Self {
        let mut world = self.clone();
        world.action = action;
        world
    }

    fn record_violation(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    fn add_operator_steps(&self, index: usize, next: &mut Vec<Self>) {
        match self.operators[index].editor.next() {
            EditorStep::Read { keys } => self.add_reads(index, &keys, next),
            EditorStep::Swap {
                key,
                expected,
                value,
            } => {
                let swap = DelayedSwap {
                    key,
                    expected,
                    value,
                };
                self.add_swaps(index, &swap, next);
            }
            _ => return,
        }
        if self.crashes > 0 {
            let mut world =
                self.clone_with_action(format!("operator {index} crashes, its client asks again"));
            world.crashes -= 1;
            let mut request = self.scenario.requests[index].clone();
            request.repeated = true;
            if self.scenario.seeded == Some(SeededFault::RetryUnderNewId) {
                request.id.0 += 100;
                request.base = None;
            }
            let known = world.watcher.accepted().cloned().unwrap_or_default();
            world.operators[index].editor =
                Editor::with_limits(request, known, self.scenario.limits);
            next.push(world);
        }
    }

    fn add_reads(&self, index: usize, keys: &[String], next: &mut Vec<Self>) {
        let mut world = self.clone_with_action(format!("operator {index} reads {keys:?}"));
        let entries = world.store.read(keys);
        world.operators[index].editor.on_read(Ok(&entries));
        next.push(world);
        if self.call_faults == 0 {
            return;
        }
        let mut world =
            self.clone_with_action(format!("operator {index} gets no answer to a read"));
        world.call_faults -= 1;
        let failure = Err(CallFailure::Unavailable);
        world.operators[index].editor.on_read(failure);
        next.push(world);
        if keys == [MANIFEST_KEY] {
            let mut world =
                self.clone_with_action(format!("operator {index} reads a stale manifest"));
            world.call_faults -= 1;
            let stale: Vec<StoredEntry> = self.old_manifest.iter().cloned().collect();
            world.operators[index].editor.on_read(Ok(&stale));
            next.push(world);
        }
    }

    fn add_swaps(&self, index: usize, swap: &DelayedSwap, next: &mut Vec<Self>) {
        let DelayedSwap {
            key,
            expected,
            value,
        } = swap;
        let mut world = self.clone_with_action(format!("operator {index} swaps {key}"));
        let result = world.apply_swap(key, *expected, value);
        world.operators[index].editor.on_swap(Ok(result));
        next.push(world);
        if self.call_faults == 0 {
            return;
        }
        let unanswered = match self.scenario.seeded {
            Some(SeededFault::LostPassedAsUnavailable) => CallFailure::Unavailable,
            _ => CallFailure::Unanswered,
        };
        let mut world =
            self.clone_with_action(format!("operator {index} swaps {key}, the answer is lost"));
        world.call_faults -= 1;
        world.apply_swap(key, *expected, value);
        world.operators[index].editor.on_swap(Err(unanswered));
        next.push(world);

        let mut world =
            self.clone_with_action(format!("operator {index}'s swap of {key} is delayed"));
        world.call_faults -= 1;
        world.delayed.push(swap.clone());
        world.operators[index].editor.on_swap(Err(unanswered));
        next.push(world);

        let mut world =
            self.clone_with_action(format!("operator {index}'s swap of {key} is not served"));
        world.call_faults -= 1;
        let failure = Err(CallFailure::Unavailable);
        world.operators[index].editor.on_swap(failure);
        next.push(world);
    }

    /// Applies a swap to the store and checks the configuration that it makes accepted.
    fn apply_swap(&mut self, key: &str, expected: u64, value: &str) -> SwapResult {
        let before = self.store.entry(key);
        let result = self.store.swap(key, expected, value);
        if key != MANIFEST_KEY || result != SwapResult::Swapped {
            return result;
        }
        self.old_manifest = before;
        let accepted = load(&mut self.store, AcceptedRevision::default());
        self.check_accepted(&accepted);
        result
    }

    /// Checks that revisions grow by one, that no accepted change is lost and that none is applied
    /// twice.
    fn check_accepted(&mut self, accepted: &AcceptedRevision) {
        let ids: Vec<u64> = accepted.log.iter().map(|entry| entry.id.0).collect();
        if accepted.revision.0 != self.accepted_ids.len() as u64 + 1 {
            self.record_violation(format!(
                "revision {} does not follow {}",
                accepted.revision,
                self.accepted_ids.len()
            ));
        }
        if ids[..ids.len().saturating_sub(1)] != self.accepted_ids[..] {
            self.record_violation(format!("{ids:?} does not extend {:?}", self.accepted_ids));
        }
        let Some((last, earlier)) = ids.split_last() else {
            return;
        };
        if earlier.iter().any(|id| id % 100 == last % 100) {
            self.record_violation(format!("change {last} is applied twice"));
        }
        self.accepted_ids = ids;
        Arc::make_mut(&mut self.accepted_sets).push(accepted.set.clone());
    }

    /// Checks that the outcome of each editor agrees with the accepted changes.
    fn check_outcomes(&mut self) {
        for (operator, request) in self.operators.iter().zip(&self.scenario.requests) {
            let position = self
                .accepted_ids
                .iter()
                .position(|id| id % 100 == request.id.0);
            let is_wrong = match operator.editor.next() {
                EditorStep::Done(revision) => {
                    position.is_none_or(|position| position as u64 + 1 != revision.0)
                }
                EditorStep::Conflict(conflict) => {
                    position.is_some() || !self.accepted_ids.contains(&conflict.winner.id.0)
                }
                EditorStep::Rejected(_) | EditorStep::Unavailable { may_apply: false } => {
                    position.is_some()
                }
                _ => false,
            };
            if is_wrong {
                let id = request.id;
                let step = operator.editor.next();
                let ids = self.accepted_ids.clone();
                self.violation
                    .get_or_insert(format!("change {id} is told {step:?}, accepted {ids:?}"));
                return;
            }
        }
    }

    /// Returns the outcomes once every change has ended and no swap is delayed, or `None` before.
    pub fn final_outcomes(&self) -> Option<Vec<EditorStep>> {
        let outcomes: Vec<EditorStep> = self.operators.iter().map(|o| o.editor.next()).collect();
        let is_ended =
            |step: &EditorStep| !matches!(step, EditorStep::Read { .. } | EditorStep::Swap { .. });
        (outcomes.iter().all(is_ended) && self.delayed.is_empty()).then_some(outcomes)
    }

    fn add_replica_steps(&self, next: &mut Vec<Self>) {
        let mut world = self.clone_with_action("the watcher reads the store".to_owned());
        let entry = self.store.entry(MANIFEST_KEY);
        world.sync_watcher(entry.as_ref());
        next.push(world);

        let mut world = self.clone_with_action("the watcher gets a stale manifest".to_owned());
        world.sync_watcher(self.old_manifest.as_ref());
        next.push(world);

        if let Some(offer) = self.watcher.offer_for(self.peer.revision()) {
            let mut world = self.clone_with_action("the peer takes the watcher's offer".to_owned());
            world.deliver(offer.clone());
            next.push(world);
            if self.delayed_offer.is_none() {
                let mut world =
                    self.clone_with_action("an offer to the peer is delayed".to_owned());
                world.delayed_offer = Some(offer);
                next.push(world);
            }
        }
        if let Some(offer) = &self.delayed_offer {
            let mut world = self.clone_with_action("the delayed offer reaches the peer".to_owned());
            world.delayed_offer = None;
            world.deliver(offer.clone());
            next.push(world);
        }
        if self.node_restarts > 0 && self.peer.is_ready() {
            let mut world = self.clone_with_action("the peer restarts".to_owned());
            world.node_restarts -= 1;
            world.peer = Replica::new();
            next.push(world);
        }
    }

    /// Makes the watcher read the store, starting from `manifest`.
    fn sync_watcher(&mut self, manifest: Option<&StoredEntry>) {
        let Some(manifest) = manifest else {
            return;
        };
        let known = self.watcher.accepted().cloned().unwrap_or_default();
        let mut loader = Loader::from_manifest(known, manifest);
        while let LoaderStep::Read { keys } = loader.next() {
            let entries = self.store.read(&keys);
            loader.on_read(&entries);
        }
        let before = self.watcher.revision();
        let accepted = loader.into_known();
        self.watcher.offer(0, Offer::Full(Box::new(accepted)));
        let watcher = self.watcher.clone();
        self.check_replica("watcher", before, &watcher);
    }

    /// Delivers an offer to the peer.
    fn deliver(&mut self, offer: Offer) {
        let before = self.peer.revision();
        if self.scenario.seeded == Some(SeededFault::LateOfferInstalled)
            && matches!(offer, Offer::Full(_))
        {
            self.peer = Replica::new();
        }
        self.peer.offer(0, offer);
        let peer = self.peer.clone();
        self.check_replica("peer", before, &peer);
    }

    /// Checks that a replica never returns to an earlier revision, and that it holds exactly the
    /// configuration that was accepted at its revision.
    fn check_replica(&mut self, name: &str, before: Option<Revision>, replica: &Replica) {
        if replica.revision() < before {
            let now = replica.revision();
            self.record_violation(format!("the {name} went from {before:?} back to {now:?}"));
        }
        let Some(accepted) = replica.accepted() else {
            return;
        };
        let index = usize::try_from(accepted.revision.0).unwrap();
        if self.accepted_sets.get(index) != Some(&accepted.set) {
            self.record_violation(format!(
                "the {name} holds another configuration at revision {}",
                accepted.revision
            ));
        }
    }
}
