//! Entry nodes as separate processes.
//!
//! Guards against a program that doesn't start from a settings file, doesn't share declarations
//! between processes, or doesn't end with exit code 0 after SIGTERM.

#[path = "../../hemlockd/tests/support/mod.rs"]
mod support;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};

use model::prelude::*;
use serde_json::json;
use standins::site::{Site, SiteSpec};
use support::{OPERATOR, POLL};

/// A node process; dropping it kills the process and removes its settings.
struct Process {
    child: Child,
    settings: PathBuf,
    http: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        // The child may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns a free loopback address.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Starts a node of the site as a process.
async fn start_process(site: &Site, name: &str) -> Process {
    let data_centre: DataCentreName = "gyor".parse().unwrap();
    let (http, peer) = (free_address(), free_address());
    let settings = json!({
        "node": name,
        "data_centre": "gyor",
        "data_centres": [{ "name": "gyor", "region": "dunantul" }],
        "http_address": http,
        "peer_address": peer,
        "platform_address": site.platform_address_for(&data_centre).unwrap(),
        "operator_token_digests": [String::from(TokenDigest::of_token(OPERATOR))],
        "log": { "level": "warn", "format": "json" },
    });
    let path = std::env::temp_dir().join(format!("hemlockd-{name}-{}.jsonc", http.port()));
    std::fs::write(&path, settings.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_hemlockd"));
    let child = command
        .arg("run")
        .arg("--settings")
        .arg(&path)
        .spawn()
        .unwrap();
    site.register_node(name.parse().unwrap(), data_centre, peer)
        .await
        .unwrap();
    Process {
        child,
        settings: path,
        http,
    }
}

/// Waits until the readiness of the node has `status`.
async fn wait_for_status(client: &reqwest::Client, http: SocketAddr, status: u16) {
    loop {
        let ready = client.get(format!("http://{http}/readyz")).send().await;
        if ready.is_ok_and(|reply| reply.status() == status) {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn run_two_processes() {
    let spec = SiteSpec::of_deployment("kovacsne").unwrap();
    let site = Site::start(spec).await.unwrap();
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let mut first = start_process(&site, "gyor-1").await;
    let second = start_process(&site, "gyor-2").await;
    wait_for_status(&client, first.http, 503).await;
    let digest = String::from(TokenDigest::of_token("caller"));
    let text = include_str!("../../../examples/kovacsne/declarations.jsonc").replacen(
        r#""token_digests": []"#,
        &format!(r#""token_digests": ["{digest}"]"#),
        1,
    );
    let body = json!({ "files": [{ "name": "declarations.jsonc", "text": text }] });
    let put = client.put(format!("http://{}/v1/declarations", first.http));
    let reply = put.bearer_auth(OPERATOR).json(&body).send().await.unwrap();
    assert_eq!(reply.status(), 200, "{}", reply.text().await.unwrap());
    wait_for_status(&client, second.http, 200).await;
    for http in [first.http, second.http] {
        let call = client
            .post(format!("http://{http}/v1/requests"))
            .bearer_auth("caller")
            .header("Hemlock-Class", "leak-report")
            .body(json!({ "run_ms": 5 }).to_string());
        assert_eq!(call.send().await.unwrap().status(), 200);
    }
    let pid = first.child.id().to_string();
    let signalled = Command::new("kill").arg("-TERM").arg(pid).status().unwrap();
    assert!(signalled.success());
    let exit = loop {
        if let Some(exit) = first.child.try_wait().unwrap() {
            break exit;
        }
        tokio::time::sleep(POLL).await;
    };
    assert_eq!(exit.code(), Some(0));
}
