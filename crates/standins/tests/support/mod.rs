//! Test harness: a simulated site with the clients of one entry node.
#![allow(dead_code)]

use bytes::Bytes;
use model::prelude::*;
use platform::http_store::{HttpStore, Timeouts};
use platform::http_vm_list::HttpVmList;
use platform::http_worker::{HttpWorkerApi, WorkerLimits};
use platform::vm_list::{EntryVm, VmList, WorkerVm};
use serde_json::{Value, json};
use standins::site::{Site, SiteSpec};

/// Number of attempts of [`eventually`], 10 ms apart.
pub const ATTEMPTS_MAX: u32 = 3_000;

/// Waits until a condition holds; fails the test if it does not within [`ATTEMPTS_MAX`] attempts.
#[macro_export]
macro_rules! eventually {
    ($condition:expr) => {
        let mut attempts_left = $crate::support::ATTEMPTS_MAX;
        while !$condition {
            attempts_left -= 1;
            assert!(attempts_left > 0, "never: {}", stringify!($condition));
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    };
}

/// Timeout of a call, in milliseconds; no test result depends on it.
pub const CALL_MS: u64 = 20_000;

/// A simulated site and the clients of one entry node in `gyor`.
pub struct Harness {
    pub site: Site,
    pub store: HttpStore,
    pub list: HttpVmList,
    pub api: HttpWorkerApi,
    http: reqwest::Client,
    sequence: u64,
}

impl Harness {
    /// Starts a site of three data centres with six workers and short lags.
    pub async fn start() -> Self {
        let mut spec = SiteSpec::of_deployment("kovacsne").unwrap();
        spec.workers = 6;
        spec.seed = 7;
        spec.delays.list_lag_ms = 200;
        spec.delays.list_lag_step_ms = 100;
        let site = Site::start(spec).await.unwrap();
        let at = site.platform_address_for(&gyor()).unwrap();
        let node: NodeName = "gyor-e1".parse().unwrap();
        let timeouts = Timeouts::default();
        let limits = WorkerLimits::default();
        Self {
            store: HttpStore::new(at, node.clone(), timeouts).unwrap(),
            list: HttpVmList::new(at, node.clone(), timeouts).unwrap(),
            api: HttpWorkerApi::new(node, limits).unwrap(),
            http: reqwest::Client::builder().no_proxy().build().unwrap(),
            site,
            sequence: 0,
        }
    }

    /// Reads the workers of `gyor` from the VM list.
    pub async fn workers(&self) -> Vec<WorkerVm> {
        self.list.listing(&gyor()).await.unwrap().workers
    }

    /// Reads the entry VMs from the VM list as seen from `gyor`.
    pub async fn site_entries(&self) -> Vec<EntryVm> {
        self.list.listing(&gyor()).await.unwrap().entries
    }

    /// Creates a request with a new work identifier.
    pub fn request(&mut self, body: &Value) -> RunRequest<Bytes> {
        self.sequence += 1;
        RunRequest {
            work_id: format!("w.gyor.gyor-e1.1.{}", self.sequence)
                .parse()
                .unwrap(),
            ticket: None,
            organisation: "north".parse().unwrap(),
            class: "roster-query".parse().unwrap(),
            remaining_ms: CALL_MS,
            body: body.to_string().into(),
        }
    }

    /// Creates a request with a new work identifier and a ticket.
    pub fn once_only(&mut self, body: &Value) -> RunRequest<Bytes> {
        let request = self.request(body);
        let ticket = format!("gyor.gyor-e1.1.{}", self.sequence);
        RunRequest {
            ticket: Some(ticket.parse().unwrap()),
            ..request
        }
    }

    /// Reads a report of the site.
    pub async fn report(&self, path: &str) -> Value {
        let url = format!("http://{}{path}", self.site.platform_address());
        self.http
            .get(url)
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap()
    }

    /// Sends a call to the fault switches; returns the status and the body of the reply.
    pub async fn post_fault(&self, body: &Value) -> (u16, Value) {
        let url = format!("http://{}/v1/faults", self.site.platform_address());
        let reply = self.http.post(url).json(body).send().await.unwrap();
        (reply.status().as_u16(), reply.json().await.unwrap())
    }

    /// Switches a fault on or off.
    pub async fn switch(&self, fault: &str, target: &str, on: bool) {
        let call = json!({ "fault": fault, "target": target, "on": on });
        let (status, body) = self.post_fault(&call).await;
        assert_eq!(status, 200, "{body}");
    }
}

/// Returns the name of the data centre of the entry node.
pub fn gyor() -> DataCentreName {
    "gyor".parse().unwrap()
}
