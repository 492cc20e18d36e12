//! Hands what only the planner of a term that has ended knows over to the next planner, through the store.
//!
//! Between two terms, as in an outage of the store, nobody else hears what ends on the workers, and a worker may leave
//! before the next planner asks it. So the planner of the last term goes on listening. It neither renews a lease nor
//! confirms an end.

use std::sync::Arc;
use std::time::Duration;

use adapter::{Item, LeaseRenewal, Precondition, Put, Txn, TxnOutcome, WorkerReply};
use scheduler::{DoneRun, HandOverName, Planner, WorkerKey};
use serde_json::Value;
use tokio::task::JoinSet;

use crate::clock::now_ms;
use crate::keys;
use crate::metrics::Counter;
use crate::node::Node;
use crate::polling::listen_pause_ms;
use crate::takeover::log_unreadable_item;
use crate::term::Term;

/// How long a call waits at a worker for a run to end.
const WAIT_MS: u64 = 500;

/// How often what was heard is written.
const WRITE_EVERY_MS: u64 = 100;

/// Delay after a write that the store did not answer or carry out.
const RETRY_PAUSE_MS: u64 = 400;

/// Timeout of a write.
const CALL_TIMEOUT_MS: u64 = 900;

/// The most runs in one write: 45 KB, which a link of 2 Mbit/s carries in a quarter of the timeout.
const MAX_RUNS_PER_WRITE: usize = 1_000;

/// The most runs that one line of the log names.
const MAX_NAMED_RUNS: usize = 20;

/// Writes what was heard, in the order of its numbers.
#[derive(Debug)]
struct Writer {
    node: Arc<Node>,
    name: HandOverName,
    heard: Vec<DoneRun>,
    /// The part of what was heard that the next write holds. It stays the same until its outcome is known.
    writing: Vec<DoneRun>,
    new_connection: bool,
}

/// Goes on listening to the workers of a term that has ended, until they have heard the next planner or their leases must
/// have ended, and writes what they list as done.
pub(crate) async fn hand_over(term: Arc<Term>) {
    let mut writer = Writer::new(&term);
    let until_ms = now_ms() + term.node.settings.bounds.longest_lease_ms;
    let mut listeners = JoinSet::new();
    let workers = term.lock_planner().list_occupied_workers();
    let pause_ms = listen_pause_ms(workers.len());
    for worker in workers {
        listeners.spawn(listen(term.clone(), worker, pause_ms));
    }
    while !listeners.is_empty() && now_ms() < until_ms {
        writer.add(term.lock_planner().take_unstored_done());
        writer.write_once().await;
        while listeners.try_join_next().is_some() {}
    }
    writer.add(term.lock_planner().take_unstored_done());
    drop((listeners, term));
    while !writer.is_empty() {
        writer.write_once().await;
    }
}

/// Applies a worker's lists to the planner of a term that has ended, until nothing runs there or it has heard the next
/// planner.
async fn listen(term: Arc<Term>, key: WorkerKey, pause_ms: u64) {
    let mut new_connection = false;
    loop {
        let (entry, wait_ms) = {
            let planner = term.lock_planner();
            let Some(entry) = planner.entry(key).filter(|_| planner.is_occupied(key)) else {
                return;
            };
            let lists_ends = planner.has_unstored_ends(key);
            (entry.clone(), if lists_ends { 0 } else { WAIT_MS })
        };
        let call = LeaseRenewal {
            term: term.lead.term,
            lease_end_clock_ms: None,
            ends_confirmed: 0,
            wait_ms,
        };
        let workers = &term.node.workers;
        match workers
            .renew_lease(&entry, call, now_ms, new_connection)
            .await
        {
            Ok(Ok(report)) => {
                new_connection = false;
                term.lock_planner().apply_report(key, &report);
                if wait_ms > 0 {
                    continue;
                }
            }
            Ok(Err(WorkerReply::OlderTerm)) => return,
            _ => new_connection = true,
        }
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

impl Writer {
    fn new(term: &Term) -> Writer {
        Writer {
            node: term.node.clone(),
            name: HandOverName {
                term: term.lead.term,
                number: 1,
            },
            heard: Vec::new(),
            writing: Vec::new(),
            new_connection: false,
        }
    }

    fn is_empty(&self) -> bool {
        self.heard.is_empty() && self.writing.is_empty()
    }

    fn add(&mut self, heard: Vec<DoneRun>) {
        if heard.is_empty() {
            return;
        }
        let names: Vec<Value> = heard
            .iter()
            .take(MAX_NAMED_RUNS)
            .map(|done| Value::from(format!("{} run {}", done.task, done.run)))
            .collect();
        let fields = [
            ("term", Value::from(self.name.term)),
            ("count", Value::from(heard.len())),
            ("first", Value::from(names)),
        ];
        self.node
            .log
            .general("planner", "done, not stored", &fields);
        self.heard.extend(heard);
    }

    /// Writes the next part of what was heard, if there is any, and pauses.
    async fn write_once(&mut self) {
        if self.writing.is_empty() {
            let count = self.heard.len().min(MAX_RUNS_PER_WRITE);
            self.writing = self.heard.drain(..count).collect();
        }
        let pause_ms = match self.writing.is_empty() || self.write().await {
            true => WRITE_EVERY_MS,
            false => RETRY_PAUSE_MS,
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Makes one attempt at a write; returns whether it is in the store.
    async fn write(&mut self) -> bool {
        let key = keys::hand_over(self.name);
        let Ok(value) = serde_json::to_vec(&self.writing) else {
            return false;
        };
        let txn = Txn {
            conditions: vec![Precondition {
                key: key.clone(),
                revision: 0,
            }],
            puts: vec![Put {
                key,
                value,
                lease: None,
            }],
            removals: Vec::new(),
        };
        self.node.metrics.count(Counter::StoreCalls);
        let outcome = self
            .node
            .store
            .commit(&txn, CALL_TIMEOUT_MS, self.new_connection)
            .await;
        // A conflict shows an earlier attempt.
        let is_stored = matches!(outcome, Ok(TxnOutcome::Done(_) | TxnOutcome::Conflict(_)));
        self.new_connection = !is_stored;
        if is_stored {
            self.node
                .metrics
                .add(Counter::RunsHandedOver, self.writing.len() as u64);
            self.writing.clear();
            self.name.number += 1;
        }
        is_stored
    }
}

/// Passes what an earlier planner has handed over on to this one.
pub(crate) fn take_in_hand_over(planner: &mut Planner, node: &Node, item: &Item) {
    let name = item
        .key
        .strip_prefix(keys::HAND_OVERS_PREFIX)
        .and_then(|name| name.parse().ok());
    match (name, serde_json::from_slice::<Vec<DoneRun>>(&item.value)) {
        (Some(name), Ok(runs)) => planner.take_in_hand_over(name, &runs, now_ms()),
        (None, _) => log_unreadable_item(node, item, "not the name of a hand-over"),
        (_, Err(e)) => log_unreadable_item(node, item, &e.to_string()),
    }
}
