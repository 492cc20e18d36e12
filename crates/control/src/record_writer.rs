//! Writes the planner's job records to the store. Each write is conditional on this node still holding the lead and on
//! no other write having been made since its own last one.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use adapter::{CallError, Precondition, Put, Txn, TxnOutcome};
use scheduler::{Flush, JobId, PolicyRecord, RecordPart, RecordWrite};

use crate::clock::{now_ms, unix_ms};
use crate::keys;
use crate::metrics::{Counter, Timing};
use crate::term::Term;

/// Timeout of a write, besides the time for its values, after which it is retried on a new connection.
const CALL_TIMEOUT_MS: u64 = 900;

/// What the narrowest link of a VM carries, 2 Mbit/s.
const NARROWEST_LINK_BYTES_PER_S: u64 = 250_000;

/// Most bytes of the encoded values in one write: what the narrowest link carries in half of [`CALL_TIMEOUT_MS`], as it
/// carries the planner's other calls, too. A value that is larger has a write of its own.
const MAX_WRITE_BYTES: usize = (NARROWEST_LINK_BYTES_PER_S * CALL_TIMEOUT_MS / 2_000) as usize;

/// A planner steps down if its writes, or the reads of its takeover, fail for this long while its lead is being renewed.
/// This leaves time for several attempts at a store that is 80 times slower than usual.
pub(crate) const STEP_DOWN_AFTER_MS: u64 = 4_000;

/// Delay before a write is retried.
const RETRY_PAUSE_MS: u64 = 50;

/// How much longer an ended job's record is kept than the time during which callers can ask for it.
const KEEP_MARGIN_MS: u64 = 60_000;

/// Most records of ended jobs removed in one write, so that a backlog of them does not delay other writes.
const MAX_REMOVALS_PER_WRITE: usize = 8;

/// Reason for stepping down: the lead can be renewed, but writes get no answer.
pub(crate) const UNANSWERED_WRITES: &str = "writes get no answer";

/// Reason for stepping down: a worker refused an order because it has seen a later term.
pub(crate) const LATER_TERM: &str = "a worker has seen a later term";

/// Writes records one after the other, in order.
#[derive(Debug)]
pub(crate) struct RecordWriter {
    /// The revision of the last write.
    chain_revision: u64,
    /// Number of this planner's last write.
    write_number: u64,
    /// Jobs already removed from the store's list of waiting jobs.
    not_waiting: HashSet<JobId>,
    /// Ended jobs with the time of their end, oldest first.
    ended_jobs: VecDeque<(JobId, u64)>,
    /// Those of them that were cancelled before their submission.
    unsubmitted: HashSet<JobId>,
    /// The parts of records that the store has.
    parts: StoredParts,
}

/// The encoded parts of records in the store, by job and number.
pub(crate) type StoredParts = HashMap<JobId, BTreeMap<u32, Vec<u8>>>;

/// Values and removals that must be in the same write.
#[derive(Debug, Default)]
struct Entries {
    puts: Vec<Put>,
    removals: Vec<String>,
}

impl Entries {
    fn put(key: String, value: Vec<u8>) -> Entries {
        let put = Put {
            key,
            value,
            lease: None,
        };
        Entries {
            puts: vec![put],
            removals: Vec::new(),
        }
    }

    fn removal(key: String) -> Entries {
        Entries {
            puts: Vec::new(),
            removals: vec![key],
        }
    }

    fn len(&self) -> usize {
        self.puts.len() + self.removals.len()
    }
}

impl RecordWriter {
    /// Creates a writer that continues from the predecessor's last write, at revision `chain_revision`; `parts` are those
    /// in the store.
    pub fn new(chain_revision: u64, parts: StoredParts) -> RecordWriter {
        RecordWriter {
            chain_revision,
            write_number: 0,
            not_waiting: HashSet::new(),
            ended_jobs: VecDeque::new(),
            unsubmitted: HashSet::new(),
            parts,
        }
    }

    /// Adds ended jobs, with the time of their end, whose records are to be removed later.
    pub fn add_ended_jobs(&mut self, mut ended: Vec<(JobId, u64)>) {
        ended.sort_by_key(|(_, ended_unix_ms)| *ended_unix_ms);
        self.ended_jobs.extend(ended);
    }

    /// Writes the records of a flush to the store; an error is the reason why this planner has to step down.
    pub async fn write(&mut self, term: &Term, flush: &Flush) -> Result<(), String> {
        let mut txn = self.start_txn(term);
        for write in &flush.writes {
            for entries in self.build_entries(write)? {
                txn = self.add_entries(term, txn, entries).await?;
            }
        }
        if let Some(policy) = &flush.policy {
            txn = self.add_entries(term, txn, build_policy(policy)?).await?;
        }
        for name in &flush.taken_in {
            if txn.entries() == Txn::MAX_ENTRIES {
                self.commit(term, txn).await?;
                txn = self.start_txn(term);
            }
            txn.removals.push(keys::hand_over(*name));
        }
        for job in &flush.unsubmitted {
            // A read of all requests names it again.
            if self.unsubmitted.insert(*job) {
                self.ended_jobs.push_back((*job, unix_ms()));
            }
        }
        let keep_ms = term.node.settings.bounds.keep_ended_s * 1000 + KEEP_MARGIN_MS;
        let due = |ended: &VecDeque<(JobId, u64)>| {
            ended
                .front()
                .is_some_and(|(_, at)| at.saturating_add(keep_ms) < unix_ms())
        };
        let mut removed = 0;
        while removed < MAX_REMOVALS_PER_WRITE
            && txn.entries() < Txn::MAX_ENTRIES
            && due(&self.ended_jobs)
        {
            if let Some((id, _)) = self.ended_jobs.pop_front() {
                for entries in self.remove_parts(id) {
                    txn = self.add_entries(term, txn, entries).await?;
                }
                self.unsubmitted.remove(&id);
                let mut entries = Entries::removal(keys::record(id));
                // That of a job which was never accepted is still there.
                entries.removals.push(keys::cancel(id));
                txn = self.add_entries(term, txn, entries).await?;
                removed += 1;
            }
        }
        match txn.puts.len() + txn.removals.len() > 1 {
            true => self.commit(term, txn).await,
            false => Ok(()),
        }
    }

    /// Adds entries to a write. If they do not fit, that write is made first, and they begin the next one.
    async fn add_entries(
        &mut self,
        term: &Term,
        mut txn: Txn,
        entries: Entries,
    ) -> Result<Txn, String> {
        let has_room = txn.entries() + entries.len() <= Txn::MAX_ENTRIES
            && encoded_len(&txn.puts) + encoded_len(&entries.puts) <= MAX_WRITE_BYTES;
        // The chain key alone is no write.
        if !has_room && txn.puts.len() + txn.removals.len() > 1 {
            self.commit(term, txn).await?;
            txn = self.start_txn(term);
        }
        txn.puts.extend(entries.puts);
        txn.removals.extend(entries.removals);
        Ok(txn)
    }

    /// Builds a write without records: its conditions, and the new value of the chain key.
    fn start_txn(&self, term: &Term) -> Txn {
        Txn {
            conditions: vec![
                Precondition {
                    key: keys::LEAD.to_string(),
                    revision: term.lead.revision,
                },
                Precondition {
                    key: keys::CHAIN.to_string(),
                    revision: self.chain_revision,
                },
            ],
            puts: vec![Put {
                key: keys::CHAIN.to_string(),
                value: Vec::new(),
                lease: None,
            }],
            removals: Vec::new(),
        }
    }

    /// Builds the values and removals that one job's record needs, in the order in which they have to be made. A record
    /// follows its parts: with a state of its own but older parts, tasks that were started would be missing from it. It
    /// precedes the removal of parts, which are removed only once the job is over.
    fn build_entries(&mut self, write: &RecordWrite) -> Result<Vec<Entries>, String> {
        let value = encode(write.job, &write.record)?;
        let mut record = Entries::put(keys::record(write.job), value);
        match write.record.begun {
            true if self.not_waiting.insert(write.job) => {
                record.removals.push(keys::waiting(write.job));
            }
            // Its start may never have been carried out.
            false if self.not_waiting.remove(&write.job) => record.puts.push(Put {
                key: keys::waiting(write.job),
                value: write.record.queue.clone().into_bytes(),
                lease: None,
            }),
            _ => {}
        }
        if write.over {
            self.not_waiting.remove(&write.job);
            self.ended_jobs
                .push_back((write.job, write.record.ended_unix_ms));
            record.removals.push(keys::job(write.job));
            record.removals.push(keys::cancel(write.job));
        }
        let mut entries = self.build_parts(write.job, &write.parts)?;
        entries.push(record);
        if write.over {
            entries.extend(self.remove_parts(write.job));
        }
        Ok(entries)
    }

    /// Builds the values of those parts of a record that differ from the stored ones.
    fn build_parts(&mut self, job: JobId, parts: &[RecordPart]) -> Result<Vec<Entries>, String> {
        let mut entries = Vec::new();
        for part in parts {
            let value = encode(job, part)?;
            let stored = self.parts.entry(job).or_default();
            if stored.get(&part.number) != Some(&value) {
                stored.insert(part.number, value.clone());
                entries.push(Entries::put(keys::record_part(job, part.number), value));
            }
        }
        Ok(entries)
    }

    /// Returns the removals of all parts of a record.
    fn remove_parts(&mut self, job: JobId) -> Vec<Entries> {
        let parts = self.parts.remove(&job).unwrap_or_default();
        parts
            .into_keys()
            .map(|number| Entries::removal(keys::record_part(job, number)))
            .collect()
    }

    /// Makes one write, and repeats it until its outcome is known.
    async fn commit(&mut self, term: &Term, mut txn: Txn) -> Result<(), String> {
        self.write_number += 1;
        let name = format!("{}:{}", term.lead.term, self.write_number).into_bytes();
        if let Some(link) = txn.puts.first_mut() {
            link.value = name.clone();
        }
        let node = &term.node;
        let mut new_connection = false;
        let transfer_ms = encoded_len(&txn.puts) as u64 * 1_000 / NARROWEST_LINK_BYTES_PER_S;
        let began_ms = now_ms();
        loop {
            let sent_ms = now_ms();
            node.metrics.count(Counter::StoreCalls);
            let result = node
                .store
                .commit(&txn, CALL_TIMEOUT_MS + transfer_ms, new_connection)
                .await;
            node.metrics
                .record(Timing::StoreCall, now_ms().saturating_sub(sent_ms));
            match result {
                Ok(TxnOutcome::Done(revision)) => {
                    self.chain_revision = revision;
                    return Ok(());
                }
                Ok(TxnOutcome::NoLease) => return Err("the store's lease has ended".to_string()),
                Ok(TxnOutcome::Conflict(items)) => {
                    let lead_held = items
                        .iter()
                        .any(|i| i.key == keys::LEAD && i.revision == term.lead.revision);
                    let link = items
                        .iter()
                        .find(|i| i.key == keys::CHAIN && i.value == name);
                    match (lead_held, link) {
                        // An earlier attempt at the same write took effect after all.
                        (true, Some(link)) => {
                            self.chain_revision = link.revision;
                            return Ok(());
                        }
                        (true, None) => return Err("another write was made in between".to_string()),
                        (false, _) if items.iter().any(|i| i.key == keys::LEAD) => {
                            return Err("another node has the lead".to_string());
                        }
                        (false, _) => return Err("the lead's key has been removed".to_string()),
                    }
                }
                Err(CallError::NotDone(_)) => node.metrics.count(Counter::StoreRetriesNotDone),
                Err(_) => node.metrics.count(Counter::StoreRetriesUnknown),
            }
            if term.lock_planner().is_superseded() {
                return Err(LATER_TERM.to_string());
            }
            if term.is_lead_valid() && now_ms() > began_ms + STEP_DOWN_AFTER_MS + transfer_ms {
                return Err(UNANSWERED_WRITES.to_string());
            }
            new_connection = true;
            tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
    }
}

/// Builds the value of what the decisions under load rest on.
fn build_policy(record: &PolicyRecord) -> Result<Entries, String> {
    let (key, value) = match record {
        PolicyRecord::Shares(shares) => (keys::SHARES, serde_json::to_vec(shares)),
        PolicyRecord::Learned(learned) => (keys::LEARNED, serde_json::to_vec(learned)),
    };
    let value = value.map_err(|e| format!("encoding {key}: {e}"))?;
    Ok(Entries::put(key.to_string(), value))
}

/// Returns the number of bytes of all values on the wire, in base64.
fn encoded_len(puts: &[Put]) -> usize {
    puts.iter().map(|put| put.value.len().div_ceil(3) * 4).sum()
}

fn encode(job: JobId, value: &impl serde::Serialize) -> Result<Vec<u8>, String> {
    serde_json::to_vec(value).map_err(|e| format!("encoding the record of {job}: {e}"))
}
