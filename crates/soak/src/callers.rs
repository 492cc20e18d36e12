//! Callers and the operator: hand jobs in, ask for them, cancel some, and record what they saw.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use platform_standin::{Caller, OTHER_ORGANISATION_KEY, Reply, declared_queues, steady_ms};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::claims::Claim;
use crate::plan::{JobCall, PlannedJob};
use crate::site::{KEY, NODES, Site, lock};

/// Time between two attempts.
const RETRY_GAP: Duration = Duration::from_millis(300);

/// Time between two questions for a job's state.
const ASK_GAP: Duration = Duration::from_millis(400);

/// How often a caller asks for a job that it has cancelled; longer than late changes take, and contact after that.
const LOOKS_AFTER_CANCEL: u32 = 40;

/// The key that is withdrawn by the operator.
pub(crate) const WITHDRAWN_KEY: &str = "other-key";

/// What calls about no job name.
const NO_JOB: JobCall<'static> = JobCall {
    prefix: "",
    id: "",
    steps: &[],
    claim: None,
};

/// What a call asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// To accept a job.
    Submit,
    /// For a job's state.
    State,
    /// To cancel a job.
    Cancel,
    /// For the count of a queue that only versions from this one on have.
    Mark(u64),
    /// For the count of a queue, with a key that was withdrawn.
    WithdrawnKey,
}

/// A call as its caller saw it.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// When it was sent, on the steady clock.
    pub sent_ms: u64,
    /// When the answer or its absence was seen.
    pub answered_ms: u64,
    /// The node.
    pub node: usize,
    /// The node's process, counted.
    pub incarnation: u32,
    /// The job; empty for calls about none.
    pub job: String,
    /// What was asked.
    pub asked: Asked,
    /// The answer.
    pub reply: Reply,
}

impl CallRecord {
    /// Returns whether the call was accepted.
    pub(crate) fn is_accepted(&self) -> bool {
        matches!(self.reply, Reply::Accepted(_))
    }
}

/// What all callers of a site saw.
#[derive(Debug)]
pub(crate) struct Callers {
    caller: Caller,
    withdrawn: Caller,
    /// Of the organisation without a guarantee.
    other: Caller,
    calls: Mutex<Vec<CallRecord>>,
}

impl Callers {
    pub(crate) fn new() -> reqwest::Result<Callers> {
        Ok(Callers {
            caller: Caller::new(KEY)?,
            withdrawn: Caller::new(WITHDRAWN_KEY)?,
            other: Caller::new(OTHER_ORGANISATION_KEY)?,
            calls: Mutex::default(),
        })
    }

    pub(crate) fn calls(&self) -> Vec<CallRecord> {
        lock(&self.calls).clone()
    }

    async fn call(&self, site: &Site, node: usize, job: JobCall<'_>, asked: Asked) -> Reply {
        let JobCall {
            prefix,
            id,
            steps,
            claim,
        } = job;
        let caller = match claim {
            Some(Claim::Holder { .. }) => &self.other,
            Some(Claim::Guaranteed) | None => &self.caller,
        };
        let (sent_ms, at) = (steady_ms(), node % NODES);
        let address = site.nodes[at].callers;
        let incarnation = site.nodes[at].incarnation.load(Ordering::SeqCst);
        let reply = match asked {
            Asked::Submit => match claim {
                Some(Claim::Holder {
                    lasting: true,
                    most_away,
                    ..
                }) => {
                    let count = steps.first().map_or(0, |step| step.count);
                    caller
                        .submit_lasting(address, prefix, id, count, most_away)
                        .await
                }
                _ => caller.submit(address, prefix, id, steps).await,
            },
            Asked::State => caller.state(address, prefix, id).await,
            Asked::Cancel => caller.cancel(address, prefix, id).await,
            Asked::Mark(version) => self.caller.count(address, &format!("/v-{version}/")).await,
            Asked::WithdrawnKey => self.withdrawn.count(address, "/q/").await,
        };
        lock(&self.calls).push(CallRecord {
            sent_ms,
            answered_ms: steady_ms(),
            node: at,
            incarnation,
            job: id.to_string(),
            asked,
            reply: reply.clone(),
        });
        reply
    }

    /// Asks all nodes for what the newest configuration changed, until the play is over.
    pub(crate) async fn watch_configuration(
        self: Arc<Callers>,
        site: Arc<Site>,
        operator: Arc<Operator>,
        over: watch::Receiver<bool>,
    ) {
        while !*over.borrow() {
            let confirmed = operator.confirmed();
            let mut asked: Vec<Asked> = confirmed
                .last()
                .map(|newest| Asked::Mark(newest.version))
                .into_iter()
                .collect();
            if confirmed.iter().any(|version| version.withdraws_key) {
                asked.push(Asked::WithdrawnKey);
            }
            let calls = asked
                .iter()
                .flat_map(|asked| (0..NODES).map(|node| self.call(&site, node, NO_JOB, *asked)));
            // Nodes that don't answer hold nobody up but this round.
            futures::future::join_all(calls).await;
            sleep(ASK_GAP).await;
        }
    }

    /// Hands a job in; returns whether it was accepted.
    async fn submit(&self, site: &Site, job: &PlannedJob) -> bool {
        for attempt in 0..job.attempts {
            match self
                .call(site, job.node + attempt, job.call(), Asked::Submit)
                .await
            {
                Reply::Accepted(_) => return true,
                _ => sleep(RETRY_GAP).await,
            }
        }
        false
    }

    /// Cancels a job that was not accepted until that is acknowledged, and then looks at it for some time.
    async fn give_up(&self, site: &Site, job: &PlannedJob, over: watch::Receiver<bool>) {
        let (mut node, mut looks) = (job.node, 0);
        let mut is_acknowledged = false;
        while !*over.borrow() && looks < LOOKS_AFTER_CANCEL {
            node += 1;
            if is_acknowledged {
                looks += 1;
                self.call(site, node, job.call(), Asked::State).await;
            } else {
                let reply = self.call(site, node, job.call(), Asked::Cancel).await;
                is_acknowledged = matches!(reply, Reply::Accepted(_) | Reply::Unknown);
            }
            sleep(ASK_GAP).await;
        }
    }

    /// Sees a job through: until its end is shown, or `over` says that it is late.
    pub(crate) async fn see_through(
        self: Arc<Callers>,
        site: Arc<Site>,
        job: PlannedJob,
        over: watch::Receiver<bool>,
    ) {
        if !self.submit(&site, &job).await {
            if job.cancels_in_doubt {
                self.give_up(&site, &job, over).await;
            }
            return;
        }
        let accepted_ms = steady_ms();
        let (mut repeat, cancel) = (job.repeat_after_ms, job.cancel_after_ms);
        let due = |after: &Option<u64>| after.is_some_and(|ms| steady_ms() >= accepted_ms + ms);
        let mut node = job.node;
        while !*over.borrow() {
            node += 1;
            if due(&repeat) {
                repeat = None;
                self.call(&site, node, job.call(), Asked::Submit).await;
            }
            if due(&cancel) {
                match self.call(&site, node, job.call(), Asked::Cancel).await {
                    Reply::Accepted(_) | Reply::Unknown => return,
                    _ => {}
                }
            }
            if let Reply::Accepted(state) = self.call(&site, node, job.call(), Asked::State).await
                && matches!(state.as_str(), "completed" | "failed" | "cancelled")
                && repeat.is_none()
            {
                return;
            }
            sleep(ASK_GAP).await;
        }
    }
}

/// A version of the configuration that the store has confirmed.
#[derive(Debug, Clone)]
pub struct Confirmed {
    /// When, on the steady clock.
    pub at_ms: u64,
    /// The version.
    pub version: u64,
    /// Whether it is the first that lacks the withdrawn key.
    pub withdraws_key: bool,
}

/// The operator, who writes configurations.
#[derive(Debug, Default)]
pub(crate) struct Operator {
    confirmed: Mutex<Vec<Confirmed>>,
    /// Held while a version is written.
    writing: tokio::sync::Mutex<()>,
}

impl Operator {
    pub(crate) fn confirmed(&self) -> Vec<Confirmed> {
        lock(&self.confirmed).clone()
    }

    /// Writes a new version, which adds a queue, and lacks the other key from the first that withdraws it.
    pub(crate) async fn change(&self, site: &Site, withdraws: bool) -> String {
        let _writing = self.writing.lock().await;
        let before = self.confirmed();
        let last = before.last().map_or(1, |confirmed| confirmed.version);
        let version = last + 1 + last % 3;
        let withdrawn = before.iter().any(|confirmed| confirmed.withdraws_key);
        let keys: &[&str] = match withdrawn || withdraws {
            true => &[KEY],
            false => &[KEY, WITHDRAWN_KEY],
        };
        let mut marks = vec![1, version];
        marks.extend(before.iter().map(|confirmed| confirmed.version));
        let text = declared_queues(version, keys, &marks, site.policy.as_ref());
        site.note(format!("the operator writes version {version}"));
        while !site.write_to_store("op/config", Some(&text)).await {
            sleep(RETRY_GAP).await;
        }
        lock(&self.confirmed).push(Confirmed {
            at_ms: steady_ms(),
            version,
            withdraws_key: withdraws && !withdrawn,
        });
        format!("version {version}")
    }
}
