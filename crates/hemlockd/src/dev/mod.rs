//! `hemlockd dev`: a whole site on loopback, with stand-in platform, workers and entry nodes in one
//! process.

mod host;
mod sample;
mod tokens;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use clap::Args;
use declarations::{ChangeId, ChangeRequest, DeclarationSet, edits_between};
use model::prelude::*;
use serde::Serialize;
use standins::site::{NodeFault, Site, SiteSpec};
use tokio::signal::unix::{SignalKind, signal};

use self::host::NodeHost;
use self::tokens::SiteTokens;
use crate::dev_check;
use crate::settings::{LogFormat, LogSettings};

/// Arguments of `hemlockd dev`.
#[derive(Debug, Clone, Args)]
pub struct DevArgs {
    /// Deployment to run: kovacsne or blue-mahoe.
    #[arg(long, default_value = "kovacsne")]
    pub deployment: String,
    /// Port of the stand-in platform; 0 selects a free port.
    #[arg(long, default_value_t = 0)]
    pub port: u16,
    /// Random seed of the stand-ins and the tokens.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of entry nodes, spread over the data centres.
    #[arg(long, default_value_t = 9)]
    pub nodes: u32,
    /// Number of workers, spread over the data centres.
    #[arg(long)]
    pub workers: Option<u32>,
    /// Log level on standard error.
    #[arg(long, default_value = "warn")]
    pub log: String,
    /// Drive a short workload, print whether each promise was kept, and exit.
    #[arg(long)]
    pub check: bool,
}

/// Exit code for a runtime failure.
const EXIT_FAILED: u8 = 1;

/// Interval between two checks of the nodes' readiness, in milliseconds.
const READY_POLL_MS: u64 = 20;

/// An entry node in the description of the site.
#[derive(Debug, Serialize)]
struct NodeLine {
    name: NodeName,
    data_centre: DataCentreName,
    region: RegionName,
    http: SocketAddr,
}

/// The description of the site, printed as one line of JSON.
#[derive(Debug, Serialize)]
struct SiteLine<'a> {
    deployment: &'a str,
    nodes: Vec<NodeLine>,
    platform: SocketAddr,
    tokens: &'a SiteTokens,
}

/// A running site.
pub(crate) struct DevSite {
    site: Site,
    hosts: Vec<NodeHost>,
    tokens: SiteTokens,
}

/// Runs the site until a signal; returns the exit code.
pub async fn run(args: DevArgs) -> u8 {
    let log = LogSettings {
        level: args.log.clone(),
        format: LogFormat::Text,
    };
    let _logger = match crate::start_logs(&log) {
        Ok(logger) => logger,
        Err(e) => return fail(&e.to_string()),
    };
    let site = match DevSite::start(&args).await {
        Ok(site) => site,
        Err(e) => return fail(&e),
    };
    let description = site.print();
    if args.check {
        return site.run_check(&description).await;
    }
    site.run_until_signal().await
}

/// Prints an error and returns the exit code.
fn fail(message: &str) -> u8 {
    eprintln!("hemlockd dev: {message}");
    EXIT_FAILED
}

impl DevSite {
    /// Starts the stand-ins and the nodes, and waits until all nodes are ready.
    async fn start(args: &DevArgs) -> Result<Self, String> {
        let mut spec = SiteSpec::of_deployment(&args.deployment).map_err(|e| e.to_string())?;
        spec.seed = args.seed;
        spec.port = args.port;
        spec.nodes = args.nodes;
        spec.workers = args.workers.unwrap_or(spec.workers);
        let mut set = sample::declarations(&args.deployment)?;
        let tokens = SiteTokens::generate(args.seed, &mut set);
        let site = Site::start(spec).await.map_err(|e| e.to_string())?;
        let hosts = NodeHost::for_site(&site, &tokens).map_err(|e| e.to_string())?;
        let mut dev = Self {
            site,
            hosts,
            tokens,
        };
        for index in 0..dev.hosts.len() {
            dev.start_node(index).await?;
        }
        dev.declare(set, args.seed).await?;
        dev.wait_ready().await;
        Ok(dev)
    }

    /// Starts one node and registers it with the platform.
    async fn start_node(&mut self, index: usize) -> Result<(), String> {
        let host = &mut self.hosts[index];
        let peer_address = host.start().await?;
        self.site
            .register_node(
                host.name().clone(),
                host.data_centre().clone(),
                peer_address,
            )
            .await
            .map_err(|e| e.to_string())
    }

    /// Declares the sample organisations and classes through the first node.
    async fn declare(&self, set: DeclarationSet, seed: u64) -> Result<(), String> {
        let request = ChangeRequest {
            id: ChangeId(seed),
            base: None,
            author: "dev".to_owned(),
            at_ms: crate::clock::Clock::start().now_ms(),
            why: "the sample of the deployment".to_owned(),
            edits: edits_between(&DeclarationSet::default(), &set),
            places: BTreeMap::new(),
            allow_delete: false,
            repeated: false,
        };
        match self.hosts.first() {
            Some(host) => host.declare(request).await.map_err(|e| e.to_string()),
            None => Err("a site has at least one node".to_owned()),
        }
    }

    /// Waits until every node has the declarations.
    async fn wait_ready(&self) {
        while !self.hosts.iter().all(NodeHost::is_ready) {
            tokio::time::sleep(std::time::Duration::from_millis(READY_POLL_MS)).await;
        }
    }

    /// Prints the description of the site and an example command; returns the description.
    fn print(&self) -> String {
        let spec = self.site.spec();
        let nodes = self.hosts.iter().filter_map(|host| {
            Some(NodeLine {
                name: host.name().clone(),
                data_centre: host.data_centre().clone(),
                region: spec.region_of(host.data_centre())?.clone(),
                http: host.http_address()?,
            })
        });
        let line = SiteLine {
            deployment: &spec.deployment,
            nodes: nodes.collect(),
            platform: self.site.platform_address(),
            tokens: &self.tokens,
        };
        // Serialisation cannot fail: the types have string keys and no fallible serialisers.
        let description = serde_json::to_string(&line).unwrap_or_default();
        println!("{description}");
        self.print_hint(&line);
        description
    }

    /// Prints an example command.
    fn print_hint(&self, line: &SiteLine<'_>) {
        let (Some(node), Some((organisation, token))) =
            (line.nodes.first(), self.tokens.organisations.iter().next())
        else {
            return;
        };
        let class = sample::urgent_class(line.deployment);
        eprintln!("Send work as {organisation}:");
        eprintln!(
            "  curl -i http://{}/v1/requests -H 'Authorization: Bearer {token}' \
             -H 'Hemlock-Class: {class}' -d '{{\"run_ms\":50}}'",
            node.http
        );
        eprintln!("Stop the site with Ctrl-C or SIGTERM.");
    }

    /// Applies faults of nodes until a signal, then performs a planned stop of the site.
    async fn run_until_signal(mut self) -> u8 {
        let mut faults = self.site.subscribe_node_faults();
        let (Ok(mut terminate), Ok(mut interrupt)) = (
            signal(SignalKind::terminate()),
            signal(SignalKind::interrupt()),
        ) else {
            return fail("cannot wait for signals");
        };
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                Ok(fault) = faults.recv() => self.apply_fault(fault).await,
            }
        }
        tokio::select! {
            () = self.stop() => 0,
            _ = terminate.recv() => fail("stopped at once by a second signal"),
            _ = interrupt.recv() => fail("stopped at once by a second signal"),
        }
    }

    /// Runs the checks, applies the faults that they request, then stops the site.
    async fn run_check(mut self, description: &str) -> u8 {
        let mut faults = self.site.subscribe_node_faults();
        let check = dev_check::run(description);
        tokio::pin!(check);
        let code = loop {
            tokio::select! {
                code = &mut check => break code,
                Ok(fault) = faults.recv() => self.apply_fault(fault).await,
            }
        };
        self.stop().await;
        code
    }

    /// Kills, restarts or stops the node that a fault names.
    async fn apply_fault(&mut self, fault: NodeFault) {
        let (NodeFault::Kill { node, .. } | NodeFault::Stop { node }) = &fault;
        let Some(index) = self.hosts.iter().position(|host| host.name() == node) else {
            return;
        };
        match fault {
            NodeFault::Kill { on: true, .. } => self.hosts[index].kill(),
            NodeFault::Kill { on: false, .. } => {
                if let Err(e) = self.start_node(index).await {
                    log::error!(target: "dev", "Cannot restart a node: {e}.");
                }
            }
            NodeFault::Stop { .. } => self.hosts[index].stop_in_background(),
        }
    }

    /// Performs a planned stop of all nodes, at the same time.
    async fn stop(self) {
        let stops = self.hosts.into_iter().map(NodeHost::stop);
        futures::future::join_all(stops).await;
        self.site.shutdown();
    }
}
