//! What a successor needs to know of the turns: what each organisation was lately given.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Shares;

/// Turns are recorded for this long after they were last decided by shares. What was given before then counts less than
/// a quarter.
const RECORD_AFTER_MS: u64 = 12_000;

/// The most bytes of a record, counting names and figures: it goes along with writes of some kilobytes each.
const MAX_BYTES: usize = 2_000;

/// The most organisations in a record.
const MAX_ROWS: usize = 64;

/// The bytes of a row without its name: quotes, brackets, commas, and three figures of some seven digits.
const ROW_BYTES: usize = 28;

/// What was given is recorded in thousandths.
const THOUSANDTHS: f64 = 1_000.0;

/// What each organisation was lately given, for a successor. The amounts are decayed up to the time of the write and hold
/// no time themselves, so that they mean the same by another VM's clock.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SharesRecord {
    /// For each service and organisation: cores, gigabytes of memory and accelerators, each in thousandths.
    pub given: BTreeMap<String, BTreeMap<String, [u64; 3]>>,
}

impl Shares {
    /// Returns the record for a successor; none if it would not differ from the last one, or if turns are not decided by
    /// shares.
    pub fn take_record(&mut self, now_ms: u64) -> Option<SharesRecord> {
        let contested_ms = self.contested_ms?;
        if !self.is_outdated || now_ms > contested_ms + RECORD_AFTER_MS {
            return None;
        }
        self.is_outdated = false;
        let mut rows: Vec<_> = self
            .accounts
            .values()
            .map(|account| {
                let [cpu_millis, memory_mb, accelerators] = account.given_lately(now_ms);
                let given = [cpu_millis, memory_mb, accelerators * THOUSANDTHS];
                (given.map(|amount| amount as u64), account)
            })
            .filter(|(given, _)| given.iter().any(|amount| *amount > 0))
            .collect();
        rows.sort_by_key(|(given, account)| {
            (Reverse(given[2]), Reverse(given[0]), &account.organisation)
        });
        let mut record = SharesRecord::default();
        let mut bytes_left = MAX_BYTES;
        for (given, account) in rows.into_iter().take(MAX_ROWS) {
            let mut bytes = ROW_BYTES + account.organisation.len();
            if !record.given.contains_key(&account.service) {
                bytes += ROW_BYTES + account.service.len();
            }
            let Some(left) = bytes_left.checked_sub(bytes) else {
                continue;
            };
            bytes_left = left;
            record
                .given
                .entry(account.service.clone())
                .or_default()
                .insert(account.organisation.clone(), given);
        }
        Some(record)
    }

    /// Goes on with what a predecessor has written. The time since then is unknown; it is the same for all.
    pub fn restore(&mut self, record: SharesRecord, now_ms: u64) {
        for (service, rows) in record.given {
            for (organisation, [cpu_millis, memory_mb, accelerators]) in rows {
                let key = self.open_account(&organisation, &service);
                let account = &mut self.accounts[key];
                account.given = [
                    cpu_millis as f64,
                    memory_mb as f64,
                    accelerators as f64 / THOUSANDTHS,
                ];
                account.given_ms = now_ms;
                self.contested_ms = Some(now_ms);
            }
        }
    }
}
