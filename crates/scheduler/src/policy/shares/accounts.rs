//! The accounts: what each organisation holds in a service, and what it was lately given.

use std::collections::{BTreeMap, HashMap};

use slotmap::{SlotMap, new_key_type};

use super::{Room, amounts, dominant_share};
use crate::spec::Resources;

new_key_type! {
    /// What one organisation has in one service.
    pub(crate) struct AccountKey;
}

/// What was given counts half after this time: the longest burst of the users' load sheets.
const HALF_LIFE_MS: f64 = 6_000.0;

/// What an organisation holds above its entitlement lessens the weight of its loss by this much at most, in hundredths.
/// A stop therefore discards at most a ninth more than the stop that discards least: work that is discarded serves nobody.
const MAX_YIELD_PERCENT: i64 = 10;

/// What one organisation has in one service.
#[derive(Debug, Default)]
pub(super) struct Account {
    pub organisation: String,
    pub service: String,
    /// What its tasks and reservations occupy.
    pub held: Resources,
    /// What it was given for first runs, decayed up to `given_ms`, in the units of [`Resources`].
    pub given: [f64; 3],
    pub given_ms: u64,
    /// How far it is above its entitlement in this pass, in hundredths of the entitlement; 0 while the service's room is
    /// not contested.
    pub above_percent: i64,
}

impl Account {
    /// Returns what it was lately given.
    pub fn given_lately(&self, now_ms: u64) -> [f64; 3] {
        let age_ms = now_ms.saturating_sub(self.given_ms) as f64;
        let factor = (-age_ms / HALF_LIFE_MS).exp2();
        self.given.map(|amount| amount * factor)
    }

    /// Returns the share of the service that it holds or was lately given, whichever is more.
    pub fn share(&self, capacity: &Resources, now_ms: u64) -> f64 {
        dominant_share(&amounts(&self.held), capacity)
            .max(dominant_share(&self.given_lately(now_ms), capacity))
    }
}

/// What each organisation holds and has lately had.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    pub(super) accounts: SlotMap<AccountKey, Account>,
    by_service: HashMap<String, BTreeMap<String, AccountKey>>,
    /// When turns were last decided by shares.
    pub(super) contested_ms: Option<u64>,
    /// Whether something was given that the last record lacks.
    pub(super) is_outdated: bool,
}

impl Shares {
    /// Returns the account of an organisation in a service.
    pub fn open_account(&mut self, organisation: &str, service: &str) -> AccountKey {
        if let Some(key) = self
            .by_service
            .get(service)
            .and_then(|accounts| accounts.get(organisation))
        {
            return *key;
        }
        let key = self.accounts.insert(Account {
            organisation: organisation.to_string(),
            service: service.to_string(),
            ..Account::default()
        });
        self.by_service
            .entry(service.to_string())
            .or_default()
            .insert(organisation.to_string(), key);
        key
    }

    /// Records that an organisation occupies more.
    pub fn hold(&mut self, key: AccountKey, need: Resources) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.held += need;
        }
    }

    /// Records that an organisation occupies less.
    pub fn release(&mut self, key: AccountKey, need: Resources) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.held -= need;
        }
    }

    /// Records that a task was given room for its first run. A run that is repeated, after a stop or a failure, is not
    /// given anew.
    pub fn give(&mut self, key: AccountKey, need: Resources, now_ms: u64) {
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        account.given = account.given_lately(now_ms);
        account.given_ms = now_ms;
        for (sum, amount) in account.given.iter_mut().zip(amounts(&need)) {
            *sum += amount;
        }
        self.is_outdated = true;
    }

    /// Returns the accounts of a service with the names of their organisations, in the order of the names.
    pub(super) fn list_accounts(&self, service: &str) -> impl Iterator<Item = AccountKey> {
        self.by_service
            .get(service)
            .into_iter()
            .flat_map(|accounts| accounts.values().copied())
    }

    /// Forgets how far organisations are above their entitlements.
    pub(super) fn clear_excess(&mut self) {
        for account in self.accounts.values_mut() {
            account.above_percent = 0;
        }
    }

    /// Records how far each organisation of a service whose room is contested is above its entitlement.
    pub(super) fn record_excess(
        &mut self,
        service: &str,
        entitlements: &HashMap<AccountKey, f64>,
        room: &Room,
        now_ms: u64,
    ) {
        let keys: Vec<AccountKey> = self.list_accounts(service).collect();
        for key in keys {
            let account = &mut self.accounts[key];
            account.above_percent = entitlements.get(&key).map_or(0, |entitlement| {
                let share = account.share(&room.capacity, now_ms);
                ((share / entitlement - 1.0) * 100.0).max(0.0) as i64
            });
        }
    }

    /// Returns whether two accounts are in the same service.
    pub fn share_service(&self, one: AccountKey, other: AccountKey) -> bool {
        let service = |key| self.accounts.get(key).map(|a: &Account| a.service.as_str());
        service(one) == service(other)
    }

    /// Returns how far an organisation is above its entitlement, in hundredths; 0 while room is not contested.
    pub fn above_percent(&self, key: AccountKey) -> i64 {
        self.accounts.get(key).map_or(0, |a| a.above_percent)
    }

    /// Returns the loss that counts when work is chosen that yields room, in hundredths of `loss`: less than 100 of them if
    /// its organisation is above its entitlement.
    pub fn weigh_loss(&self, key: AccountKey, loss: i64) -> i64 {
        let yields_percent = self.above_percent(key).min(MAX_YIELD_PERCENT);
        loss.saturating_mul(100 - yields_percent)
    }
}
