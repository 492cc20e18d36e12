//! Progress of a take-over: every worker is queried, fenced with the new term and queried again.
//!
//! The first answers determine a term that is higher than all earlier ones. A command of that term
//! then makes the worker refuse earlier planners, so they can no longer change what the second
//! answer reports.

use std::collections::{BTreeMap, BTreeSet};

use model::prelude::*;

use super::found::FoundGangs;
use super::gang::Gang;

/// Progress of one worker in the take-over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Contact {
    /// It was queried for the highest term that it has seen.
    TermQueried {
        /// Send time of the query.
        queried_ms: u64,
    },
    /// It has answered the first query.
    TermReported,
    /// A command of the new term is queued or in flight to it.
    RaisingTerm,
    /// It has accepted the new term and was queried for its leases, which no earlier planner can
    /// change any more.
    LeasesQueried {
        /// Send time of the query.
        queried_ms: u64,
    },
    /// Its leases are known.
    Done,
    /// It did not answer and is queried again later.
    Unreachable {
        /// Time of the next query.
        retry_ms: u64,
    },
}

/// State of a take-over.
#[derive(Debug, Clone)]
pub(super) struct TakeOver {
    /// Progress of every worker.
    pub contacts: BTreeMap<WorkerName, Contact>,
    /// Gangs that were found on the workers.
    pub found: FoundGangs,
    /// Gangs that this planner had before the take-over; a decision to stop one still holds when it
    /// is found again.
    pub earlier: Vec<Gang>,
    /// Stops that were requested before the job was found, with their grace in milliseconds.
    pub stops: BTreeMap<JobId, u64>,
    /// Time of [`super::GangOutput::TakeOverDone`].
    pub done_ms: Option<u64>,
    open: usize,
    raised: usize,
    workers_len: usize,
    unanswered: usize,
    not_done: usize,
    term_reported: Vec<WorkerName>,
    deadlines: BTreeSet<(u64, WorkerName)>,
    timeout_ms: u64,
}

impl TakeOver {
    /// Starts a take-over in which every worker was queried at `now_ms`; a query times out after
    /// `timeout_ms`.
    pub fn new(now_ms: u64, workers: &[WorkerName], earlier: Vec<Gang>, timeout_ms: u64) -> Self {
        let mut take_over = Self {
            contacts: BTreeMap::new(),
            found: FoundGangs::default(),
            earlier,
            stops: BTreeMap::new(),
            done_ms: None,
            open: 0,
            raised: 0,
            workers_len: workers.len(),
            unanswered: 0,
            not_done: 0,
            term_reported: Vec::new(),
            deadlines: BTreeSet::new(),
            timeout_ms,
        };
        let queried = Contact::TermQueried { queried_ms: now_ms };
        for worker in workers {
            take_over.insert(worker, queried);
        }
        take_over
    }

    /// Sets the progress of a worker; workers that are not part of the take-over are ignored.
    pub fn set(&mut self, worker: &WorkerName, contact: Contact) {
        let Some(old) = self.contacts.remove(worker) else {
            return;
        };
        self.open -= usize::from(is_pending(old));
        self.raised -= usize::from(has_raised_term(old));
        self.unanswered -= usize::from(matches!(old, Contact::TermQueried { .. }));
        self.not_done -= usize::from(old != Contact::Done);
        if let Some(at_ms) = self.deadline_ms(old) {
            self.deadlines.remove(&(at_ms, worker.clone()));
        }
        self.insert(worker, contact);
    }

    fn insert(&mut self, worker: &WorkerName, contact: Contact) {
        self.open += usize::from(is_pending(contact));
        self.raised += usize::from(has_raised_term(contact));
        self.unanswered += usize::from(matches!(contact, Contact::TermQueried { .. }));
        self.not_done += usize::from(contact != Contact::Done);
        if let Some(at_ms) = self.deadline_ms(contact) {
            self.deadlines.insert((at_ms, worker.clone()));
        }
        if contact == Contact::TermReported {
            self.term_reported.push(worker.clone());
        }
        self.contacts.insert(worker.clone(), contact);
    }

    const fn deadline_ms(&self, contact: Contact) -> Option<u64> {
        match contact {
            Contact::TermQueried { queried_ms } | Contact::LeasesQueried { queried_ms } => {
                Some(queried_ms + self.timeout_ms)
            }
            Contact::Unreachable { retry_ms } => Some(retry_ms),
            Contact::TermReported | Contact::RaisingTerm | Contact::Done => None,
        }
    }

    /// Returns whether every worker has answered the first query or is unreachable.
    pub const fn may_choose_term(&self) -> bool {
        self.unanswered == 0
    }

    /// Returns whether no worker is pending and a majority has accepted the new term.
    pub const fn is_done(&self) -> bool {
        self.open == 0 && self.has_majority()
    }

    /// Returns whether a majority of the workers refuses earlier terms.
    pub const fn has_majority(&self) -> bool {
        2 * self.raised > self.workers_len || self.workers_len == 0
    }

    /// Returns whether the leases of some worker are not known yet.
    pub const fn has_unreported(&self) -> bool {
        self.not_done > 0
    }

    /// Takes the workers that have answered the first query since the last call.
    pub fn take_term_reported(&mut self) -> Vec<WorkerName> {
        std::mem::take(&mut self.term_reported)
    }

    /// Returns the workers whose query has timed out, or whose next query is due.
    pub fn due(&self, now_ms: u64) -> Vec<(WorkerName, Contact)> {
        let due = self
            .deadlines
            .iter()
            .take_while(|(at_ms, _)| *at_ms <= now_ms);
        let contact = |(_, worker): &(u64, WorkerName)| {
            let contact = self.contacts.get(worker)?;
            Some((worker.clone(), *contact))
        };
        due.filter_map(contact).collect()
    }

    /// Returns the time of the next deadline, if there is one.
    pub fn wake_ms(&self, lease_ms: u64) -> Option<u64> {
        let contact = self.deadlines.first().map(|(at_ms, _)| *at_ms);
        let Some(done_ms) = self.done_ms else {
            return contact;
        };
        let incomplete = self.found.incomplete();
        let settled = incomplete.is_empty().then_some(done_ms + lease_ms);
        let expiries = incomplete
            .into_iter()
            .map(|(_, in_force_until_ms)| in_force_until_ms);
        expiries.chain(contact).chain(settled).min()
    }
}

/// Returns whether the worker has neither completed the take-over nor become unreachable.
const fn is_pending(contact: Contact) -> bool {
    !matches!(contact, Contact::Done | Contact::Unreachable { .. })
}

/// Returns whether the worker refuses earlier terms.
const fn has_raised_term(contact: Contact) -> bool {
    matches!(contact, Contact::LeasesQueried { .. } | Contact::Done)
}
