//! HTTP interface of the simulated platform: store, VM list, fault switches and reports.

use std::sync::Arc;

use platform::wire::VM_LIST;
use poem::http::{Method, StatusCode};
use poem::{Body, Endpoint, Request, Response};

use crate::faults::{FaultCall, RawFaultCall};
use crate::respond::{Refusal, ok_reply, read_json};
use crate::site::SiteState;
use crate::worker::lock;
use crate::worker_server::remote_address;

/// Path of the fault switches.
const FAULTS: &str = "/v1/faults";
/// Path of the run counts of requests.
const RUNS: &str = "/v1/runs";
/// Path of the reports of gangs.
const GANGS: &str = "/v1/gangs";
/// Path of the byte counts of the links.
const LINKS: &str = "/v1/links";
/// Path of the call counts of the store.
const CALLS: &str = "/v1/calls";

/// Serves the interface of the platform.
#[derive(Debug)]
pub(crate) struct PlatformEndpoint(pub(crate) Arc<SiteState>);

impl Endpoint for PlatformEndpoint {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let inner = &self.0;
        let remote = remote_address(&request);
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        if parts.method == Method::POST && path != FAULTS {
            let served = inner.store.serve(path, body, remote).await;
            return Ok(served.unwrap_or_else(|| Refusal::not_found().into_reply()));
        }
        let response = match (&parts.method, path) {
            (&Method::POST, FAULTS) => switch_fault(inner, body).await,
            (&Method::GET, FAULTS) => Ok(ok_reply(&lock(&inner.faults).active())),
            (&Method::GET, RUNS) => Ok(list_runs(inner)),
            (&Method::GET, GANGS) => Ok(list_gangs(inner)),
            (&Method::GET, LINKS) => Ok(ok_reply(&inner.network.bytes())),
            (&Method::GET, CALLS) => Ok(ok_reply(&inner.store.counts())),
            (&Method::GET, _) => list_vms(inner, path),
            _ => Err(Refusal::not_found()),
        };
        Ok(response.unwrap_or_else(Refusal::into_reply))
    }
}

/// Switches a fault on or off.
async fn switch_fault(inner: &Arc<SiteState>, body: Body) -> Result<Response, Refusal> {
    let raw: RawFaultCall = read_json(body).await?;
    let call = FaultCall::try_from(raw).map_err(|e| Refusal::malformed(e.to_string()))?;
    inner
        .switch_fault(&call)
        .map_err(|e| Refusal::new(StatusCode::BAD_REQUEST, "not_found", e.to_string()))?;
    Ok(ok_reply(&call))
}

/// Lists the run counts of requests.
fn list_runs(inner: &SiteState) -> Response {
    let runs = lock(&inner.shared.runs);
    let counts: Vec<_> = runs.counts().collect();
    ok_reply(&counts)
}

/// Lists the reports of all gangs.
fn list_gangs(inner: &SiteState) -> Response {
    inner.tick();
    let now_ms = inner.shared.clock.now_ms();
    let reports = lock(&inner.shared.gangs).reports(now_ms);
    ok_reply(&reports)
}

/// Lists the VMs as seen from a data centre.
fn list_vms(inner: &SiteState, path: &str) -> Result<Response, Refusal> {
    let name = path
        .strip_prefix(VM_LIST)
        .and_then(|rest| rest.strip_prefix('/'))
        .ok_or_else(Refusal::not_found)?;
    let data_centre = name.parse().map_err(|_| Refusal::not_found())?;
    let listing = inner.listing(&data_centre).ok_or_else(Refusal::not_found)?;
    Ok(ok_reply(&listing))
}
