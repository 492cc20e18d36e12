//! The order of the claims of a planning pass.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use super::{AccountKey, Room, Shares, amounts, dominant_share};
use crate::group::GroupKey;
use crate::spec::Resources;

/// Step in which the share of an organisation above its entitlement counts, in hundredths of the entitlement. Within a
/// step, who can be on time goes first.
const BAND_PERCENT: f64 = 25.0;

/// The least time, in milliseconds, before work counts as worth nothing: on the users' load sheets no kind of work loses
/// all its worth by waiting less, and the estimates of single jobs are too low by up to 40 times.
const MIN_WORTHWHILE_MS: u64 = 8_000;

/// Work that has waited this many times as long as it could and be worth anything goes in front.
const AGE_FACTOR: u64 = 2;

/// A group that is ready to start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    /// The group.
    pub group: GroupKey,
    /// Its priority; 0 is the most urgent.
    pub priority: u32,
    /// Position of its job in the order of acceptance.
    pub order: u64,
    /// Its organisation and service.
    pub account: AccountKey,
    /// What all its tasks that can start need together.
    pub need: Resources,
    /// Whether the guarantee of its organisation covers it.
    pub is_guaranteed: bool,
    /// Whether an earlier pass found no room for it, though it may run anywhere on the service.
    pub is_left_waiting: bool,
    /// How long its first waiting task has waited.
    pub waited_ms: u64,
    /// How long ago it was first ready to start.
    pub ready_for_ms: u64,
    /// How long after it is ready it can start and still be on time.
    pub slack_ms: u64,
    /// How long after it is ready it can start and still be worth anything; none if it always is.
    pub worthwhile_ms: Option<u64>,
}

/// Why a claim has its turn where it has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TurnReason {
    /// Room is not scarce, or only one organisation waits for it: the order of acceptance.
    Acceptance,
    /// The guarantee of its organisation covers it.
    Guaranteed,
    /// It has waited far beyond the time in which it was worth something.
    Aged,
    /// What its organisation has is within its entitlement.
    Within,
    /// What its organisation has is above its entitlement, by this many steps.
    Above(u64),
    /// It can no longer be worth anything.
    Worthless,
}

/// A claim in its turn.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Turn {
    /// The claim.
    pub claim: Claim,
    /// The reason for its turn.
    pub reason: TurnReason,
}

/// Why a claim goes behind a later one of another organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum YieldReason {
    /// The guarantee of the other organisation covers the other claim.
    Guarantee,
    /// The other claim has waited far beyond the time in which it was worth something.
    Aged,
    /// The organisation of this claim is further above its entitlement.
    Share,
    /// The other claim can be on time and has less time left for it, or this one is late.
    Slack,
    /// This claim can no longer be worth anything.
    Worthless,
}

impl Turn {
    /// Returns whether the turn rests on anything but the order of acceptance.
    pub fn is_by_shares(&self) -> bool {
        self.reason != TurnReason::Acceptance
    }

    /// Returns why the claim goes behind `other`, which has its turn before it.
    pub fn yield_reason(&self, other: &Turn) -> YieldReason {
        match (self.reason, other.reason) {
            (_, TurnReason::Guaranteed) => YieldReason::Guarantee,
            (_, TurnReason::Aged) => YieldReason::Aged,
            (TurnReason::Worthless, _) => YieldReason::Worthless,
            (own, other) if own != other => YieldReason::Share,
            _ => YieldReason::Slack,
        }
    }
}

/// The order of two claims of organisations that are equally far above their entitlements: those that can be on time, by
/// their remaining slack, then the others in the order of acceptance.
type Urgency = (bool, u64, u64, GroupKey);

impl Claim {
    fn urgency(&self) -> Urgency {
        match self.slack_ms.checked_sub(self.ready_for_ms) {
            Some(left_ms) => (false, left_ms, self.order, self.group),
            None => (true, 0, self.order, self.group),
        }
    }

    /// Returns the reason for its turn that does not rest on what its organisation has, if there is one.
    fn own_reason(&self) -> Option<TurnReason> {
        if self.is_guaranteed {
            return Some(TurnReason::Guaranteed);
        }
        let worthwhile_ms = self.worthwhile_ms?.max(MIN_WORTHWHILE_MS);
        if self.waited_ms > worthwhile_ms.saturating_mul(AGE_FACTOR) {
            Some(TurnReason::Aged)
        } else if self.ready_for_ms > worthwhile_ms {
            Some(TurnReason::Worthless)
        } else {
            None
        }
    }
}

impl Shares {
    /// Returns the claims in their turns: by priority, and then in the order of acceptance, but for the claims of one
    /// priority on a service whose room is contested. `rooms` has the services that several organisations wait for;
    /// `guaranteed` are the accelerators of an organisation.
    pub fn order_claims(
        &mut self,
        mut claims: Vec<Claim>,
        rooms: &HashMap<String, Room>,
        guaranteed: &HashMap<String, i64>,
        now_ms: u64,
    ) -> Vec<Turn> {
        claims.sort_unstable_by_key(|claim| (claim.priority, claim.order, claim.group));
        let mut turns: Vec<Turn> = claims
            .into_iter()
            .map(|claim| Turn {
                claim,
                reason: TurnReason::Acceptance,
            })
            .collect();
        self.clear_excess();
        for (service, room) in rooms {
            self.order_service(&mut turns, service, room, guaranteed, now_ms);
        }
        turns
    }

    /// Returns whether several organisations wait for one service, given the accounts of all claims.
    pub fn find_shared_services(&self, accounts: impl Iterator<Item = AccountKey>) -> Vec<String> {
        let mut first: HashMap<&str, AccountKey> = HashMap::new();
        let mut shared = Vec::new();
        for key in accounts {
            let service = self.accounts[key].service.as_str();
            if *first.entry(service).or_insert(key) != key
                && !shared.iter().any(|known| known == service)
            {
                shared.push(service.to_string());
            }
        }
        shared
    }

    /// Puts the claims on one service in their turns. They keep the places that claims on this service have among those
    /// on others.
    fn order_service(
        &mut self,
        turns: &mut [Turn],
        service: &str,
        room: &Room,
        guaranteed: &HashMap<String, i64>,
        now_ms: u64,
    ) {
        let mut by_priority: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        for (place, turn) in turns.iter().enumerate() {
            if self.accounts[turn.claim.account].service == service {
                by_priority
                    .entry(turn.claim.priority)
                    .or_default()
                    .push(place);
            }
        }
        let mut wanted = Resources::default();
        let mut entitlements = None;
        for (priority, places) in by_priority {
            let claims: Vec<Claim> = places.iter().map(|index| turns[*index].claim).collect();
            wanted = claims.iter().fold(wanted, |sum, claim| sum + claim.need);
            let free = match priority {
                0 => room.free,
                _ => room.free.minus(&room.headroom),
            };
            let is_contested = claims.iter().any(|c| c.account != claims[0].account);
            let found_no_room = claims.iter().any(|claim| claim.is_left_waiting);
            if !is_contested || !(found_no_room || is_scarce(&wanted, &free)) {
                continue;
            }
            self.contested_ms = Some(now_ms);
            let entitlements = entitlements
                .get_or_insert_with(|| self.list_entitlements(turns, service, room, guaranteed));
            let ordered = self.order_contested(&claims, entitlements, room, now_ms);
            for (place, turn) in places.iter().zip(ordered) {
                turns[*place] = turn;
            }
        }
        if let Some(entitlements) = entitlements {
            self.record_excess(service, &entitlements, room, now_ms);
        }
    }

    /// Returns the share of a service that each organisation is entitled to that holds or wants something of it: its
    /// guarantee, and an equal part of what all their guarantees leave.
    fn list_entitlements(
        &self,
        turns: &[Turn],
        service: &str,
        room: &Room,
        guaranteed: &HashMap<String, i64>,
    ) -> HashMap<AccountKey, f64> {
        let claiming = |key| turns.iter().any(|turn| turn.claim.account == key);
        let active: Vec<(AccountKey, f64)> = self
            .list_accounts(service)
            .filter(|key| self.accounts[*key].held != Resources::default() || claiming(*key))
            .map(|key| {
                let accelerators = guaranteed.get(&self.accounts[key].organisation);
                let accelerators = accelerators.copied().unwrap_or(0).max(0) as f64;
                let capacity = room.capacity.accelerators;
                (
                    key,
                    if capacity > 0 {
                        accelerators / capacity as f64
                    } else {
                        0.0
                    },
                )
            })
            .collect();
        let all_guaranteed: f64 = active.iter().map(|(_, share)| share).sum();
        // Guarantees of more than there is shrink together.
        let scale = 1.0 / all_guaranteed.max(1.0);
        let part = (1.0 - all_guaranteed * scale) / active.len().max(1) as f64;
        // Without any rest, who has no guarantee is entitled to next to nothing, but not to nothing.
        active
            .into_iter()
            .map(|(key, share)| (key, (share * scale + part).max(1e-3)))
            .collect()
    }

    /// Returns the claims of one priority on a contested service in their turns. Each turn counts for those after it as
    /// if its claim had been given what it needs.
    fn order_contested(
        &self,
        claims: &[Claim],
        entitlements: &HashMap<AccountKey, f64>,
        room: &Room,
        now_ms: u64,
    ) -> Vec<Turn> {
        let mut turns: Vec<Turn> = Vec::with_capacity(claims.len());
        let mut worthless = Vec::new();
        let mut queues: HashMap<AccountKey, Vec<Claim>> = HashMap::new();
        let mut shares: HashMap<AccountKey, f64> = HashMap::new();
        for claim in claims {
            let share = shares
                .entry(claim.account)
                .or_insert_with(|| self.accounts[claim.account].share(&room.capacity, now_ms));
            match claim.own_reason() {
                Some(TurnReason::Worthless) => worthless.push(*claim),
                Some(reason) => {
                    *share += dominant_share(&amounts(&claim.need), &room.capacity);
                    turns.push(Turn {
                        claim: *claim,
                        reason,
                    });
                }
                None => queues.entry(claim.account).or_default().push(*claim),
            }
        }
        turns.sort_by_key(|turn| turn.reason);
        let band = |account: AccountKey, share: f64| {
            let excess = share / entitlements.get(&account).copied().unwrap_or(1.0) - 1.0;
            (excess * 100.0 / BAND_PERCENT).ceil().max(0.0) as u64
        };
        let mut next: BinaryHeap<Reverse<(u64, Urgency, AccountKey)>> = BinaryHeap::new();
        for (account, queue) in &mut queues {
            queue.sort_by_key(|claim| Reverse(claim.urgency()));
            if let Some(first) = queue.last() {
                next.push(Reverse((
                    band(*account, shares[account]),
                    first.urgency(),
                    *account,
                )));
            }
        }
        while let Some(Reverse((above, _, account))) = next.pop() {
            let Some(queue) = queues.get_mut(&account) else {
                continue;
            };
            let Some(claim) = queue.pop() else {
                continue;
            };
            let reason = match above {
                0 => TurnReason::Within,
                _ => TurnReason::Above(above),
            };
            turns.push(Turn { claim, reason });
            let Some(share) = shares.get_mut(&account) else {
                continue;
            };
            *share += dominant_share(&amounts(&claim.need), &room.capacity);
            if let Some(first) = queue.last() {
                next.push(Reverse((band(account, *share), first.urgency(), account)));
            }
        }
        turns.extend(worthless.into_iter().map(|claim| Turn {
            claim,
            reason: TurnReason::Worthless,
        }));
        turns
    }
}

/// Returns whether more is wanted of a resource than is free.
fn is_scarce(wanted: &Resources, free: &Resources) -> bool {
    amounts(wanted)
        .iter()
        .zip(amounts(free))
        .any(|(wanted, free)| *wanted > free.max(0.0))
}
