//! The callers' HTTP interface: reads a call, determines its queue, checks whether it is permitted, and answers it.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use adapter::{decode_job, read_headers};
use poem::http::{Method, StatusCode};
use poem::{Endpoint, Request, Response};
use scheduler::{JobId, JobRequest, StepSpec};
use serde_json::Value;

use crate::body::{CollectedBody, collect_body, has_body};
use crate::call::{Call, Target, admit};
use crate::cancels::cancel_job;
use crate::clock::now_ms;
use crate::intake::accept_job;
use crate::job_calls::{count_waiting, read_state};
use crate::metrics::{Counter, Timing};
use crate::node::Node;
use crate::peers::pass_on;
use crate::reply::Reply;
use crate::returns::{MIN_RETRY_AFTER_S, Refused, acceptances_per_s};
use crate::settle::{Settling, heed_earlier_doubt};

/// How long a caller waits that sends no timeout; all kinds of request have this budget today.
pub(crate) const DEFAULT_WAIT_MS: u64 = 3_000;

/// Part of a caller's timeout reserved for the way back.
const ANSWER_MARGIN_MS: u64 = 250;

/// An answer that takes longer than this is logged even if it is a success.
const LATE_ANSWER_MS: u64 = 500;

/// Serves callers.
pub(crate) struct CallerEndpoint(pub Arc<Node>);

impl Endpoint for CallerEndpoint {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let node = &self.0;
        let _active = ActiveRequest::begin(node);
        let response = answer(node, request).await;
        Ok(response)
    }
}

/// Counts a request as in flight until dropped.
pub(crate) struct ActiveRequest<'n>(&'n Node);

impl ActiveRequest<'_> {
    /// Counts a request that has arrived.
    pub fn begin(node: &Node) -> ActiveRequest<'_> {
        node.active_requests.fetch_add(1, Ordering::Relaxed);
        ActiveRequest(node)
    }
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Logs a call if it is dropped before it is answered, which happens when its caller closes the connection.
struct AbandonedCall<'c> {
    node: &'c Node,
    call: &'c Call,
    method: &'c Method,
}

impl<'c> AbandonedCall<'c> {
    /// Begins to watch a call.
    fn watch(node: &'c Node, call: &'c Call, method: &'c Method) -> AbandonedCall<'c> {
        AbandonedCall { node, call, method }
    }

    /// Ends the watch of a call that is answered.
    fn finish(self) {
        std::mem::forget(self);
    }
}

impl Drop for AbandonedCall<'_> {
    fn drop(&mut self) {
        let took_ms = now_ms().saturating_sub(self.call.arrived_ms);
        let fields = [
            ("method", Value::from(self.method.as_str())),
            ("path", Value::from(self.call.target.name())),
            ("took_ms", Value::from(took_ms)),
        ];
        let id = self.call.target.last_part();
        self.node
            .log
            .request("intake", "caller left unanswered", id, &fields);
    }
}

async fn answer(node: &Arc<Node>, mut request: Request) -> Response {
    let headers = request.headers().clone();
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let caller_headers = read_headers(header);
    let arrived_ms = now_ms();
    let caller_timeout_ms = caller_headers.caller_timeout_ms.unwrap_or(DEFAULT_WAIT_MS);
    let call = Call {
        arrived_ms,
        answer_by_ms: arrived_ms.saturating_add(caller_timeout_ms.saturating_sub(ANSWER_MARGIN_MS)),
        key: caller_headers.key,
        target: Target::Path {
            host: header("host").unwrap_or_default().to_string(),
            path: request.uri().path().to_string(),
        },
        passed_on: false,
    };
    let method = request.method().clone();
    let abandoned = AbandonedCall::watch(node, &call, &method);
    let body = match refuse_before_body(node, &call, &request) {
        Some(reply) => Err(reply),
        None => read_body(node, &mut request).await,
    };
    let (reply, retry_after_s) = match body {
        Ok(body) => match node.permit_answer(&call).await {
            Ok(_permit) => {
                let reply = answer_and_settle(node, &call, &method, &body.bytes).await;
                let reply = heed_earlier_doubt(node, &call, &method, reply);
                let retry_after_s = match method == Method::POST && reply.is_refused_in_outage() {
                    true => spread_return(node, &call, caller_timeout_ms, &body.bytes),
                    false => MIN_RETRY_AFTER_S,
                };
                (reply, retry_after_s)
            }
            Err(reply) => (reply, MIN_RETRY_AFTER_S),
        },
        Err(reply) => (reply, MIN_RETRY_AFTER_S),
    };
    abandoned.finish();
    log_reply(node, &call, &method, &reply);
    let mut response = reply.into_response(retry_after_s);
    if node.is_stopping() {
        response
            .headers_mut()
            .insert("connection", poem::http::HeaderValue::from_static("close"));
    }
    response
}

/// Returns the refusal of a call that has a body but is not permitted, so that its body need not be collected. None while
/// a peer may have to answer it.
fn refuse_before_body(node: &Node, call: &Call, request: &Request) -> Option<Reply> {
    if !has_body(request.headers()) || !node.is_store_reachable() {
        return None;
    }
    let confirmed_ms = node.oldest_confirmation_ms(now_ms());
    let active = node.configuration.confirmed_since(confirmed_ms)?;
    admit(&active.configuration, call).err()
}

/// Reads a call's body, up to the limit in the configuration.
async fn read_body(node: &Node, request: &mut Request) -> Result<CollectedBody, Reply> {
    // Without a configuration the limit is unknown. The caller may retry after this refusal, which it would not after a
    // 413.
    let Some(active) = node.configuration.latest() else {
        let detail = "no configuration is known";
        return Err(Reply::refused(Counter::RefusedNoConfiguration, detail));
    };
    collect_body(node, request, active.configuration.limits.body_bytes).await
}

/// Answers a call, after settling it if its outcome is in doubt.
async fn answer_and_settle(node: &Arc<Node>, call: &Call, method: &Method, body: &[u8]) -> Reply {
    let mut settling = Settling::begin(node, call);
    loop {
        let reply = answer_or_pass_on(node, call, method, body).await;
        if let Some(reply) = settling.judge(reply).await {
            return reply;
        }
    }
}

/// Returns after how many seconds the caller of a submission that was refused in an outage comes back.
fn spread_return(node: &Node, call: &Call, caller_timeout_ms: u64, body: &[u8]) -> u64 {
    let nodes = node.peers.count() + 1;
    let per_s = acceptances_per_s(node.settings.writes_per_s, nodes);
    let (Some(per_s), false) = (per_s, node.is_store_reachable()) else {
        return MIN_RETRY_AFTER_S;
    };
    let active = node.configuration.latest();
    let priority = active.and_then(|active| {
        let admitted = admit(&active.configuration, call).ok()?;
        Some(admitted.queue?.priority)
    });
    let refused = Refused {
        urgent: priority == Some(0),
        work_ms: decode_job(body).map_or(0, |job| sum_estimates_ms(&job)),
        deadline_ms: caller_timeout_ms,
    };
    let Ok(mut returns) = node.returns.lock() else {
        return MIN_RETRY_AFTER_S;
    };
    let after_s = returns.choose_retry_after_s(refused, per_s, now_ms());
    drop(returns);
    if after_s > MIN_RETRY_AFTER_S {
        node.metrics.count(Counter::ReturnsSpread);
        let fields = [
            ("retry_after_s", Value::from(after_s)),
            ("urgent", Value::from(refused.urgent)),
            ("work_ms", Value::from(refused.work_ms)),
            ("returns_per_s", Value::from(per_s)),
        ];
        let id = call.target.last_part();
        node.log
            .request("intake", "told to come back later", id, &fields);
    }
    after_s
}

fn sum_estimates_ms(job: &JobRequest) -> u64 {
    let work_ms = |step: &StepSpec| step.estimate_ms.saturating_mul(u64::from(step.count));
    job.steps.iter().map(work_ms).fold(0, u64::saturating_add)
}

/// Answers a call on this node, or through a peer while this node cannot reach the store.
async fn answer_or_pass_on(node: &Arc<Node>, call: &Call, method: &Method, body: &[u8]) -> Reply {
    let known_unreachable = !node.is_store_reachable();
    if known_unreachable && let Some(reply) = pass_on(node, call, method, body).await {
        return reply;
    }
    let reply = handle_locally(node, call, method, body).await;
    if !reply.is_store_failure() || node.peers.is_empty() {
        return reply;
    }
    let through_peer = match known_unreachable {
        true => None,
        false => pass_on(node, call, method, body).await,
    };
    match through_peer {
        // This node's own write may still take effect, so a refusal by a peer does not show that nothing was done.
        Some(Reply::Refused { .. }) if reply == Reply::OutcomeUnknown => reply,
        Some(through_peer) => through_peer,
        None => reply.after_asking_peers(),
    }
}

/// Determines what a call asks for, and answers it with what this node knows and can reach.
pub(crate) async fn handle_locally(
    node: &Arc<Node>,
    call: &Call,
    method: &Method,
    body: &[u8],
) -> Reply {
    let Some(active) = node
        .configuration
        .confirmed_since(node.oldest_confirmation_ms(now_ms()))
    else {
        return Reply::refused(
            Counter::RefusedNoConfiguration,
            "the configuration was not confirmed lately",
        );
    };
    let caller = match admit(&active.configuration, call) {
        Ok(admitted) => admitted,
        Err(reply) => return reply,
    };
    if let Some(queue) = caller.queue
        && caller.rest.is_empty()
        && method == Method::GET
    {
        return count_waiting(node, &queue.name, call).await;
    }
    let Ok(id) = caller.rest.parse::<JobId>() else {
        let detail = "a job's id is 16 lower-case hexadecimal digits";
        return Reply::refused(Counter::RefusedMalformed, detail);
    };
    match *method {
        Method::POST => accept_job(node, call, id, body).await,
        Method::GET => read_state(node, call, &caller, id).await,
        Method::DELETE => cancel_job(node, call, id).await,
        _ => Reply::refused(Counter::RefusedMethod, "GET, POST or DELETE"),
    }
}

/// Counts and logs the outcome of a call.
pub(crate) fn log_reply(node: &Node, call: &Call, method: &Method, reply: &Reply) {
    let took_ms = now_ms().saturating_sub(call.arrived_ms);
    let id = call.target.last_part();
    let (what, why, counter) = match reply {
        Reply::State(_) | Reply::Waiting(_) => {
            match *method {
                Method::POST => node.metrics.record(Timing::Accept, took_ms),
                Method::GET => node.metrics.record(Timing::Query, took_ms),
                _ => {}
            }
            if took_ms <= LATE_ANSWER_MS {
                return;
            }
            ("answered late", String::new(), None)
        }
        Reply::Gone => ("no such job", String::new(), None),
        Reply::Refused { reason, detail, .. } => {
            ("refused, not run", detail.clone(), Some(*reason))
        }
        Reply::OutcomeUnknown => (
            "outcome unknown",
            String::new(),
            Some(Counter::OutcomeUnknown),
        ),
    };
    if let Some(counter) = counter {
        node.metrics.count(counter);
    }
    let reason: &str = counter.map_or("", Into::into);
    let (version, confirmed_ms) = node.configuration.version_and_confirmation();
    let fields = [
        ("configuration", Value::from(version)),
        (
            "confirmed_ms_ago",
            Value::from(now_ms().saturating_sub(confirmed_ms)),
        ),
        ("method", Value::from(method.as_str())),
        ("path", Value::from(call.target.name())),
        ("reason", Value::from(reason)),
        ("why", Value::from(why)),
        ("took_ms", Value::from(took_ms)),
    ];
    node.log.request("intake", what, id, &fields);
}

/// Tells the load balancer whether to send new callers.
pub(crate) struct Readiness(pub Arc<Node>);

impl Endpoint for Readiness {
    type Output = Response;

    async fn call(&self, _: Request) -> poem::Result<Response> {
        let node = &self.0;
        let confirmed = node
            .configuration
            .confirmed_since(node.oldest_confirmation_ms(now_ms()))
            .is_some();
        let ready = confirmed && !node.is_stopping();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Ok(Response::builder().status(status).finish())
    }
}

/// Serves the metrics.
pub(crate) struct MetricsPage(pub Arc<Node>);

impl Endpoint for MetricsPage {
    type Output = Response;

    async fn call(&self, _: Request) -> poem::Result<Response> {
        Ok(Response::builder()
            .content_type("text/plain; version=0.0.4")
            .body(self.0.metrics.render()))
    }
}
