//! Client of the public interface of a site: sends requests and returns what the caller received,
//! checked.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use model::prelude::*;
use reqwest::{RequestBuilder, Response};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::site::{CheckError, NodeDescription, SiteDescription};
use super::ticket_outcomes::TicketOutcomes;

/// Timeout of a call other than a request, in milliseconds.
const CALL_MS: u64 = 20_000;

/// Interval between two checks of a condition that is awaited, in milliseconds.
const POLL_MS: u64 = 50;

/// A request of a caller.
#[derive(Debug, Clone)]
pub(super) struct CallerRequest {
    /// Organisation that it runs for.
    pub(super) organisation: OrganisationName,
    /// Class of the work.
    pub(super) class: ClassName,
    /// Time until its deadline, in milliseconds.
    pub(super) deadline_ms: u64,
    /// Time after which the caller disconnects, in milliseconds.
    pub(super) timeout_ms: u64,
    /// Ticket of once-only work.
    pub(super) ticket: Option<Ticket>,
    /// Input.
    pub(super) body: Value,
}

/// Outcome that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum CallerOutcome {
    /// An answer that is whole and belongs to the caller's input.
    Answer {
        /// The work that was run.
        work_id: String,
    },
    /// An answer that is not whole or belongs to another input.
    WrongAnswer,
    /// The work was not run.
    Refused {
        /// Reason code of the reply.
        reason: String,
    },
    /// The work ran and failed.
    Failed,
    /// It is unknown whether the work ran.
    Unknown {
        /// Reason code of the reply.
        reason: String,
    },
    /// No reply: the connection failed or the caller disconnected.
    NoReply,
}

impl CallerOutcome {
    /// Returns whether it is a whole answer to the caller's input.
    pub(super) const fn is_answer(&self) -> bool {
        matches!(self, Self::Answer { .. })
    }
}

impl fmt::Display for CallerOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answer { .. } => f.write_str("answered"),
            Self::WrongAnswer => f.write_str("wrong answer"),
            Self::Refused { reason } => write!(f, "refused ({reason})"),
            Self::Failed => f.write_str("failed"),
            Self::Unknown { reason } => write!(f, "unknown ({reason})"),
            Self::NoReply => f.write_str("no reply"),
        }
    }
}

/// Client of a site.
#[derive(Debug)]
pub(super) struct SiteClient {
    /// The site.
    pub(super) site: SiteDescription,
    /// Outcomes that callers received for once-only work.
    pub(super) ticket_outcomes: TicketOutcomes,
    /// Last revision of each node, and how often one was lower than before.
    pub(super) revisions: Mutex<Revisions>,
    http: reqwest::Client,
}

/// Revisions that nodes returned.
#[derive(Debug, Default)]
pub(super) struct Revisions {
    /// Last revision of each node.
    pub(super) last: BTreeMap<NodeName, u64>,
    /// Reads so far.
    pub(super) reads: usize,
    /// Reads that returned a lower revision than the previous read at the same node.
    pub(super) reverted: usize,
}

impl SiteClient {
    /// Creates a client of `site`.
    pub(super) fn new(site: SiteDescription) -> Result<Self, CheckError> {
        Ok(Self {
            site,
            ticket_outcomes: TicketOutcomes::default(),
            revisions: Mutex::default(),
            http: reqwest::Client::builder().no_proxy().build()?,
        })
    }

    /// Sends a request, checks the reply and records its outcome.
    pub(super) async fn request(
        &self,
        node: &NodeDescription,
        request: &CallerRequest,
    ) -> CallerOutcome {
        let outcome = match self.send_request(node, request).await {
            Ok(outcome) => outcome,
            Err(_) => CallerOutcome::NoReply,
        };
        if let Some(ticket) = &request.ticket {
            self.ticket_outcomes.record(ticket, &outcome);
        }
        outcome
    }

    /// Sends a request and checks the reply.
    async fn send_request(
        &self,
        node: &NodeDescription,
        request: &CallerRequest,
    ) -> Result<CallerOutcome, reqwest::Error> {
        let input = request.body.to_string();
        let mut call = self
            .http
            .post(format!("http://{}/v1/requests", node.http))
            .bearer_auth(self.token_of(&request.organisation))
            .header("hemlock-class", request.class.as_str())
            .header("hemlock-deadline-ms", request.deadline_ms)
            .timeout(Duration::from_millis(request.timeout_ms))
            .body(input.clone());
        if let Some(ticket) = &request.ticket {
            call = call.header("hemlock-ticket", ticket.to_string());
        }
        let response = call.send().await?;
        if !response.status().is_success() {
            return Ok(read_no_answer(response).await);
        }
        read_answer(response, &input).await
    }

    /// Returns the token of an organisation.
    fn token_of(&self, organisation: &OrganisationName) -> &str {
        let token = self.site.tokens.organisations.get(organisation);
        token.map_or("", String::as_str)
    }

    /// Requests tickets.
    pub(super) async fn tickets(
        &self,
        node: &NodeDescription,
        organisation: &OrganisationName,
        count: u32,
    ) -> Result<Vec<Ticket>, CheckError> {
        let call = self
            .http
            .post(format!("http://{}/v1/tickets", node.http))
            .bearer_auth(self.token_of(organisation))
            .json(&json!({ "count": count }));
        let mut reply: Value = read_json("tickets", call).await?;
        Ok(serde_json::from_value(reply["tickets"].take())?)
    }

    /// Submits a job.
    pub(super) async fn submit(
        &self,
        node: &NodeDescription,
        spec: &JobSpec,
    ) -> Result<Value, CheckError> {
        let call = self
            .http
            .post(format!("http://{}/v1/jobs", node.http))
            .bearer_auth(self.token_of(&spec.organisation))
            .json(spec);
        read_json("jobs", call).await
    }

    /// Reads the status of a job.
    pub(super) async fn job(&self, node: &NodeDescription, job: &str) -> Result<Value, CheckError> {
        let url = format!("http://{}/v1/jobs/{job}", node.http);
        let call = self.http.get(url).bearer_auth(&self.site.tokens.operator);
        read_json("job", call).await
    }

    /// Cancels a job.
    pub(super) async fn cancel(
        &self,
        node: &NodeDescription,
        job: &str,
    ) -> Result<Value, CheckError> {
        let url = format!("http://{}/v1/jobs/{job}", node.http);
        let call = self
            .http
            .delete(url)
            .bearer_auth(&self.site.tokens.operator);
        read_json("cancel", call).await
    }

    /// Reads the active declarations of a node and records their revision.
    pub(super) async fn declarations(&self, node: &NodeDescription) -> Result<Value, CheckError> {
        let url = format!("http://{}/v1/declarations", node.http);
        let call = self.http.get(url).bearer_auth(&self.site.tokens.operator);
        let reply: Value = read_json("declarations", call).await?;
        self.record_revision(node, reply["revision"].as_u64().unwrap_or(0));
        Ok(reply)
    }

    /// Records a revision that a node returned.
    fn record_revision(&self, node: &NodeDescription, revision: u64) {
        let mut revisions = self
            .revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        revisions.reads += 1;
        let last = revisions.last.insert(node.name.clone(), revision);
        if last.is_some_and(|last| last > revision) {
            revisions.reverted += 1;
        }
    }

    /// Changes the declarations.
    pub(super) async fn declare(
        &self,
        node: &NodeDescription,
        change: &Value,
    ) -> Result<Value, CheckError> {
        let url = format!("http://{}/v1/declarations", node.http);
        let call = self.http.put(url).bearer_auth(&self.site.tokens.operator);
        read_json("declare", call.json(change)).await
    }

    /// Reads the readiness of a node as an HTTP status; `None` if the node does not answer.
    pub(super) async fn readiness(&self, node: &NodeDescription) -> Option<u16> {
        let call = self.http.get(format!("http://{}/readyz", node.http));
        let response = call.timeout(Duration::from_millis(CALL_MS)).send().await;
        response.ok().map(|r| r.status().as_u16())
    }

    /// Reads a report of the stand-in platform.
    pub(super) async fn report<T: DeserializeOwned>(&self, path: &str) -> Result<T, CheckError> {
        let url = format!("http://{}{path}", self.site.platform);
        read_json(path, self.http.get(url)).await
    }

    /// Switches a fault on or off.
    pub(super) async fn switch(
        &self,
        fault: &str,
        target: &str,
        on: bool,
    ) -> Result<(), CheckError> {
        let call = json!({ "fault": fault, "target": target, "on": on });
        self.post_fault(&call).await
    }

    /// Cuts the network between two places, or restores it.
    pub(super) async fn cut(&self, a: &str, b: &str, on: bool) -> Result<(), CheckError> {
        let call = json!({ "fault": "cut", "between": [a, b], "on": on });
        self.post_fault(&call).await
    }

    /// Sends a call to the fault switches.
    async fn post_fault(&self, call: &Value) -> Result<(), CheckError> {
        let url = format!("http://{}/v1/faults", self.site.platform);
        let _: Value = read_json("faults", self.http.post(url).json(call)).await?;
        Ok(())
    }
}

/// Sends a call and reads its JSON reply.
async fn read_json<T: DeserializeOwned>(name: &str, call: RequestBuilder) -> Result<T, CheckError> {
    let response = call.timeout(Duration::from_millis(CALL_MS)).send().await?;
    let status = response.status();
    if status.is_success() {
        return Ok(response.json().await?);
    }
    Err(CheckError::Refused {
        call: name.to_owned(),
        status: status.as_u16(),
        detail: response.text().await?,
    })
}

/// Reads a reply that is not an answer.
async fn read_no_answer(response: Response) -> CallerOutcome {
    let body: Value = response.json().await.unwrap_or_default();
    let reason = body["reason"].as_str().unwrap_or_default().to_owned();
    match body["outcome"].as_str() {
        Some("refused") => CallerOutcome::Refused { reason },
        Some("failed") => CallerOutcome::Failed,
        Some("outcome_unknown") => CallerOutcome::Unknown { reason },
        _ => CallerOutcome::NoReply,
    }
}

/// Reads an answer and checks that it is whole and belongs to `input`.
async fn read_answer(response: Response, input: &str) -> Result<CallerOutcome, reqwest::Error> {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let work_id = header("hemlock-work-id").unwrap_or_default();
    let digest = header("content-digest").unwrap_or_default();
    let body = response.bytes().await?;
    let is_whole = digest == ContentDigest::of_bytes(&body).to_string();
    if is_whole && belongs_to(&body, input, &work_id) {
        Ok(CallerOutcome::Answer { work_id })
    } else {
        Ok(CallerOutcome::WrongAnswer)
    }
}

/// Returns whether an answer has the digest of `input` and the work id of the header.
fn belongs_to(body: &Bytes, input: &str, work_id: &str) -> bool {
    let Ok(answer) = serde_json::from_slice::<Value>(body) else {
        return false;
    };
    let expected = hex::encode(Sha256::digest(input.as_bytes()));
    answer["sha256"] == expected && answer["work_id"] == work_id
}

/// Waits until `check` returns a value.
pub(super) async fn await_some<T>(
    what: &str,
    within_ms: u64,
    mut check: impl AsyncFnMut() -> Option<T>,
) -> Result<T, CheckError> {
    let start = Instant::now();
    loop {
        if let Some(found) = check().await {
            return Ok(found);
        }
        if start.elapsed() >= Duration::from_millis(within_ms) {
            return Err(CheckError::TooLate {
                what: what.to_owned(),
                within_ms,
            });
        }
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}
