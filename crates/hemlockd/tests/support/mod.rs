//! Test harness: a small site of stand-ins with entry nodes, driven over HTTP.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use declarations::{
    ChangeId, ChangeRequest, DeclarationSet, SourceFile, edits_between, parse_files,
};
use hemlockd::Node;
use hemlockd::settings::{Limits, LogFormat, LogSettings, Settings, Topology};
use model::prelude::*;
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use standins::site::{Site, SiteSpec};

/// Token of the operator.
pub const OPERATOR: &str = "operator-token";

/// Token of the organisation `county-desks`.
pub const CALLER: &str = "county-desks-token";

/// Token of the organisation `planning`.
pub const OTHER: &str = "planning-token";

/// Interval between two checks of an awaited condition.
pub const POLL: Duration = Duration::from_millis(20);

/// Maximum number of checks of an awaited condition.
const POLLS_MAX: u32 = 3_000;

/// A site with its nodes, in order of name.
pub struct TestSite {
    pub site: Site,
    pub nodes: Vec<Option<Node>>,
    pub client: Client,
}

impl TestSite {
    /// Starts a site of `nodes` entry nodes in the data centre `gyor` and 16 workers in each data
    /// centre.
    pub async fn start(nodes: usize) -> Self {
        let mut spec = SiteSpec::of_deployment("kovacsne").unwrap();
        spec.nodes = u32::try_from(nodes).unwrap();
        let site = Site::start(spec).await.unwrap();
        let client = Client::builder().no_proxy().build().unwrap();
        let mut test = Self {
            site,
            nodes: Vec::new(),
            client,
        };
        for index in 0..nodes {
            test.nodes.push(None);
            test.start_node(index).await;
        }
        test.declare().await;
        for index in 0..nodes {
            test.wait_for(async |test: &Self| test.node(index).is_ready())
                .await;
        }
        test
    }

    /// Starts a node, with a new incarnation.
    pub async fn start_node(&mut self, index: usize) {
        let settings = self.settings(index);
        let (name, data_centre) = (settings.node.clone(), settings.data_centre.clone());
        let node = Node::start(settings).await.unwrap();
        let peer_address = node.peer_address();
        self.site
            .register_node(name, data_centre, peer_address)
            .await
            .unwrap();
        self.nodes[index] = Some(node);
    }

    /// Builds the settings of a node on free loopback ports.
    pub fn settings(&self, index: usize) -> Settings {
        let data_centre: DataCentreName = "gyor".parse().unwrap();
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Settings {
            node: format!("gyor-{}", index + 1).parse().unwrap(),
            platform_address: self.site.platform_address_for(&data_centre).unwrap(),
            data_centre,
            topology: Topology::new(self.site.spec().data_centres.iter().cloned()),
            http_address: any_port,
            peer_address: any_port,
            peers: Vec::new(),
            operator_token_digests: vec![TokenDigest::of_token(OPERATOR)],
            metrics_address: None,
            log: LogSettings {
                level: "warn".to_owned(),
                format: LogFormat::Text,
            },
            limits: Limits::default(),
        }
    }

    /// Declares the sample of the deployment through the first node.
    async fn declare(&self) {
        let name = "declarations.jsonc".to_owned();
        let text = include_str!("../../../../examples/kovacsne/declarations.jsonc").to_owned();
        let mut set = parse_files(&[SourceFile { name, text }]).unwrap().value;
        for (organisation, token) in [("county-desks", CALLER), ("planning", OTHER)] {
            let name = organisation.parse().unwrap();
            let spec = set.organisations.get_mut(&name).unwrap();
            spec.token_digests.push(TokenDigest::of_token(token));
        }
        let request = ChangeRequest {
            id: ChangeId(1),
            base: None,
            author: "test".to_owned(),
            at_ms: 0,
            why: String::new(),
            edits: edits_between(&DeclarationSet::default(), &set),
            places: BTreeMap::new(),
            allow_delete: false,
            repeated: false,
        };
        self.node(0).declare(request).await.unwrap();
    }

    /// Returns a running node.
    pub fn node(&self, index: usize) -> &Node {
        self.nodes[index].as_ref().unwrap()
    }

    /// Builds a call of a node.
    pub fn post(&self, index: usize, path: &str, token: &str) -> RequestBuilder {
        let address = self.node(index).http_address();
        self.client
            .post(format!("http://{address}{path}"))
            .bearer_auth(token)
    }

    /// Builds a request of a class.
    pub fn request(&self, index: usize, class: &str) -> RequestBuilder {
        self.post(index, "/v1/requests", CALLER)
            .header("Hemlock-Class", class)
    }

    /// Requests tickets.
    pub async fn tickets(&self, index: usize, count: u32) -> Vec<String> {
        let draw = self
            .post(index, "/v1/tickets", CALLER)
            .json(&json!({ "count": count }));
        let reply: Value = draw.send().await.unwrap().json().await.unwrap();
        let tickets = reply["tickets"].as_array().unwrap();
        tickets
            .iter()
            .map(|ticket| ticket.as_str().unwrap().to_owned())
            .collect()
    }

    /// Submits a job of `planning`; returns its identifier and whether its record is stored.
    pub async fn submit(&self, index: usize, members: u32, run_ms: u64) -> (String, bool) {
        let job = json!({
            "class": "rota-rebuild",
            "organisation": "planning",
            "gang": { "members": members, "accelerators_per_member": 8, "adjacency": "rack" },
            "run_ms_declared": run_ms,
            "checkpointable": true,
        });
        let reply = self
            .post(index, "/v1/jobs", OTHER)
            .json(&job)
            .send()
            .await
            .unwrap();
        assert_eq!(reply.status(), 202);
        let reply: Value = reply.json().await.unwrap();
        (
            reply["job"].as_str().unwrap().to_owned(),
            reply["durable"].as_bool().unwrap(),
        )
    }

    /// Reads the state of a job, as a node reports it.
    pub async fn state(&self, index: usize, job: &str) -> String {
        let address = self.node(index).http_address();
        let get = self
            .client
            .get(format!("http://{address}/v1/jobs/{job}"))
            .bearer_auth(OTHER);
        let status: Value = get.send().await.unwrap().json().await.unwrap();
        status["state"].as_str().unwrap_or("unknown").to_owned()
    }

    /// Switches a fault on or off.
    pub async fn fault(&self, fault: &str, target: &str, on: bool) {
        let url = format!("http://{}/v1/faults", self.site.platform_address());
        let body = json!({ "fault": fault, "target": target, "on": on });
        let reply = self.client.post(url).json(&body).send().await.unwrap();
        assert_eq!(reply.status(), 200, "{}", reply.text().await.unwrap());
    }

    /// Reads a report of the stand-in platform.
    pub async fn report(&self, path: &str) -> Vec<Value> {
        let url = format!("http://{}{path}", self.site.platform_address());
        self.client
            .get(url)
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap()
    }

    /// Reads how often the work of a ticket ran.
    pub async fn runs_of(&self, ticket: &str) -> u64 {
        let runs = self.report("/v1/runs").await;
        let of_ticket = runs.iter().filter(|run| run["ticket"] == ticket);
        of_ticket.map(|run| run["runs"].as_u64().unwrap()).sum()
    }

    /// Sends a statement of the operators' language; returns the answer.
    pub async fn console(&self, index: usize, query: &str) -> Value {
        let call = self
            .post(index, "/v1/console", OPERATOR)
            .json(&json!({ "query": query }));
        call.send().await.unwrap().json().await.unwrap()
    }

    /// Reads the name of the leader, as a node reports it.
    pub async fn leader(&self, index: usize) -> Option<String> {
        let query = "show nodes where planner = true and data_centre = gyor";
        let reply = self.console(index, query).await;
        reply["rows"].as_array()?.first()?[0]
            .as_str()
            .map(str::to_owned)
    }

    /// Waits until `condition` holds.
    pub async fn wait_for(&self, condition: impl AsyncFn(&Self) -> bool) {
        for _ in 0..POLLS_MAX {
            if condition(self).await {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("the condition was not met");
    }
}

/// Reads status, `outcome` and `reason` of a reply.
pub async fn outcome_of(response: Response) -> (u16, String, String) {
    let status = response.status().as_u16();
    let body: Value = response.json().await.unwrap();
    let field = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
    assert!(!field("detail").is_empty(), "{body}");
    (status, field("outcome"), field("reason"))
}
