//! Parses the text of a settings file into checked settings.

use std::ops::RangeInclusive;

use model::document::{Document, Fields, Node};
use model::prelude::*;

use super::{Limits, LogFormat, LogSettings, PeerSettings, Settings, Topology};

/// Accepted range of the maximum body length, in bytes.
const BODY_BYTES: RangeInclusive<u64> = 1..=1_000_000;

/// Accepted range of the maximum number of open requests.
const OPEN_REQUESTS: RangeInclusive<u64> = 1..=1_000_000;

/// Accepted range of the validity of a ticket, in milliseconds.
const TICKET_VALID_MS: RangeInclusive<u64> = 1_000..=86_400_000;

/// Accepted range of the maximum wait of a planned stop, in milliseconds.
const STOP_WAIT_MS: RangeInclusive<u64> = 1_000..=3_600_000;

/// Accepted range of the byte rate to other regions, in bytes per second.
const REGION_BYTES_PER_S: RangeInclusive<u64> = 1_000..=10_000_000;

impl Settings {
    /// Parses settings from the text of a file; `file` names it in findings.
    ///
    /// # Errors
    ///
    /// All faults of the text, each with file, line and column.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let document = Document::parse(file, text)?;
        let mut findings = Findings::default();
        match parse_settings(document.root(), &mut findings) {
            Some(settings) => findings.into_result(settings),
            None => Err(findings),
        }
    }
}

/// Parses the whole settings; `None` only if there is a finding.
fn parse_settings(node: Node<'_>, findings: &mut Findings) -> Option<Settings> {
    let mut fields = node.fields(findings)?;
    let name = fields
        .required("node", findings)
        .and_then(|n| n.checked(findings));
    let data_centre_node = fields.required("data_centre", findings);
    let data_centre = data_centre_node.and_then(|n| n.checked(findings));
    let topology = fields
        .required("data_centres", findings)
        .map(|n| parse_topology(n, findings));
    let http_address = fields
        .required("http_address", findings)
        .and_then(|n| n.checked(findings));
    let peer_address = fields
        .required("peer_address", findings)
        .and_then(|n| n.checked(findings));
    let platform_address = fields
        .required("platform_address", findings)
        .and_then(|n| n.checked(findings));
    let peers = fields
        .optional("peers")
        .map(|n| parse_peers(n, findings))
        .unwrap_or_default();
    let operator_token_digests = parse_digests(&mut fields, findings);
    let metrics_address = fields
        .optional("metrics_address")
        .and_then(|n| n.checked(findings));
    let log = parse_log(fields.optional("log"), findings);
    let limits = parse_limits(fields.optional("limits"), findings);
    fields.finish(findings);
    check_data_centre(
        data_centre_node,
        data_centre.as_ref(),
        topology.as_ref(),
        findings,
    );
    Some(Settings {
        node: name?,
        data_centre: data_centre?,
        topology: topology?,
        http_address: http_address?,
        peer_address: peer_address?,
        platform_address: platform_address?,
        peers,
        operator_token_digests,
        metrics_address,
        log: log?,
        limits: limits?,
    })
}

/// Reports a data centre that is missing in the list of data centres.
fn check_data_centre(
    node: Option<Node<'_>>,
    data_centre: Option<&DataCentreName>,
    topology: Option<&Topology>,
    findings: &mut Findings,
) {
    let (Some(node), Some(data_centre), Some(topology)) = (node, data_centre, topology) else {
        return;
    };
    if topology.region_of(data_centre).is_none() {
        node.report(
            findings,
            format!("{data_centre} is not one of the field data_centres"),
        );
    }
}

/// Parses the list of data centres.
fn parse_topology(node: Node<'_>, findings: &mut Findings) -> Topology {
    let elements: Vec<_> = node.elements(findings).collect();
    let pairs: Vec<_> = elements
        .into_iter()
        .filter_map(|n| parse_data_centre(n, findings))
        .collect();
    Topology::new(pairs)
}

/// Parses one data centre with its region.
fn parse_data_centre(
    node: Node<'_>,
    findings: &mut Findings,
) -> Option<(DataCentreName, RegionName)> {
    let mut fields = node.fields(findings)?;
    let name = fields
        .required("name", findings)
        .and_then(|n| n.checked(findings));
    let region = fields
        .required("region", findings)
        .and_then(|n| n.checked(findings));
    fields.finish(findings);
    Some((name?, region?))
}

/// Parses the list of nodes to contact first.
fn parse_peers(node: Node<'_>, findings: &mut Findings) -> Vec<PeerSettings> {
    let elements: Vec<_> = node.elements(findings).collect();
    elements
        .into_iter()
        .filter_map(|n| parse_peer(n, findings))
        .collect()
}

/// Parses one node to contact first.
fn parse_peer(node: Node<'_>, findings: &mut Findings) -> Option<PeerSettings> {
    let mut fields = node.fields(findings)?;
    let name = fields
        .required("node", findings)
        .and_then(|n| n.checked(findings));
    let data_centre = fields
        .required("data_centre", findings)
        .and_then(|n| n.checked(findings));
    let address = fields
        .required("address", findings)
        .and_then(|n| n.checked(findings));
    fields.finish(findings);
    Some(PeerSettings {
        node: name?,
        data_centre: data_centre?,
        address: address?,
    })
}

/// Parses the digests of the operators' tokens.
fn parse_digests(fields: &mut Fields<'_>, findings: &mut Findings) -> Vec<TokenDigest> {
    let Some(node) = fields.optional("operator_token_digests") else {
        return Vec::new();
    };
    let elements: Vec<_> = node.elements(findings).collect();
    elements
        .into_iter()
        .filter_map(|n| n.checked(findings))
        .collect()
}

/// Parses the settings of the log.
fn parse_log(node: Option<Node<'_>>, findings: &mut Findings) -> Option<LogSettings> {
    let mut log = LogSettings {
        level: "info".to_owned(),
        format: LogFormat::Text,
    };
    let Some(node) = node else {
        return Some(log);
    };
    let mut fields = node.fields(findings)?;
    if let Some(node) = fields.optional("level") {
        log.level = parse_level(node, findings)?;
    }
    if let Some(node) = fields.optional("format") {
        log.format = node.checked(findings)?;
    }
    fields.finish(findings);
    Some(log)
}

/// Parses a log level or a filter by target.
fn parse_level(node: Node<'_>, findings: &mut Findings) -> Option<String> {
    let level = node.string(findings)?;
    match flexi_logger::LogSpecification::parse(level) {
        Ok(_) => Some(level.to_owned()),
        Err(e) => {
            node.report(findings, format!("{level:?}: {e}"));
            None
        }
    }
}

/// Parses the limits; a missing limit keeps its default.
fn parse_limits(node: Option<Node<'_>>, findings: &mut Findings) -> Option<Limits> {
    let mut limits = Limits::default();
    let Some(node) = node else {
        return Some(limits);
    };
    let mut fields = node.fields(findings)?;
    let mut read = |name, range| {
        fields
            .optional(name)
            .and_then(|n| n.number(range, findings))
    };
    if let Some(bytes) = read("body_bytes_max", BODY_BYTES) {
        limits.body_bytes_max = usize::try_from(bytes).unwrap_or(usize::MAX);
    }
    if let Some(count) = read("open_requests_max", OPEN_REQUESTS) {
        limits.open_requests_max = usize::try_from(count).unwrap_or(usize::MAX);
    }
    if let Some(valid_ms) = read("ticket_valid_ms", TICKET_VALID_MS) {
        limits.ticket_valid_ms = valid_ms;
    }
    if let Some(wait_ms) = read("stop_wait_ms", STOP_WAIT_MS) {
        limits.stop_wait_ms = wait_ms;
    }
    if let Some(bytes_per_s) = read("region_bytes_per_s", REGION_BYTES_PER_S) {
        limits.region_bytes_per_s = bytes_per_s;
    }
    fields.finish(findings);
    Some(limits)
}
