//! What a node reads from the store over a link that is slow because many VMs share it.
//!
//! Guards against a node that begins the same read anew for ever, because the answer never arrives as a whole within
//! the timeout, and thereby keeps the link full for everybody.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rstest::rstest;
use support::Site;
use support::slow_link::start_slow_link;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Organisations declared besides the caller's; their configuration is some 280 KB on the wire.
const MANY_ORGANISATIONS: usize = 4_000;

/// What the slow link carries.
const SLOW_BYTES_PER_S: usize = 80_000;

/// What a relay that stalls passes on at once.
const PART_BYTES: usize = 4_000;

const STALLS_AFTER_BYTES: usize = 40_000;

/// How answers are delivered.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Delivery {
    /// Over a slow link.
    Slow,
    /// The first connection that has passed on [`STALLS_AFTER_BYTES`] passes on nothing more.
    FirstStalls,
}

/// Returns the address of a relay to `target` whose first connection stalls.
async fn start_stalling_relay(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stalled = Arc::new(AtomicBool::new(false));
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(target).await.unwrap();
            let (mut near_read, near_write) = near.into_split();
            let (far_read, mut far_write) = far.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut near_read, &mut far_write).await });
            tokio::spawn(deliver(far_read, near_write, stalled.clone()));
        }
    });
    address
}

/// Passes on what the target sends on one connection.
async fn deliver(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, stalled: Arc<AtomicBool>) {
    let mut part = [0; PART_BYTES];
    let mut passed_bytes = 0;
    while let Ok(length) = from.read(&mut part).await {
        if length == 0 || to.write_all(&part[..length]).await.is_err() {
            return;
        }
        passed_bytes += length;
        if passed_bytes >= STALLS_AFTER_BYTES && !stalled.swap(true, Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}

/// Returns a configuration that takes some 4 s over the relay, with one caller's key.
fn large_configuration(version: u64, key: &str) -> String {
    let names: Vec<String> = (0..MANY_ORGANISATIONS)
        .map(|number| format!("organisation-{number}"))
        .collect();
    let keys = [key];
    let mut organisations: Vec<(&str, &[&str])> = vec![("desk", &keys)];
    organisations.extend(names.iter().map(|name| (name.as_str(), &[][..])));
    platform_standin::configuration_with(version, &organisations)
}

/// The key that only the large configuration permits.
const NEW_KEY: &str = "new-key";

#[rstest]
#[case::at_start(false, Delivery::Slow, 12)]
#[case::after_a_change(true, Delivery::Slow, 12)]
#[case::answer_stalls(false, Delivery::FirstStalls, 6)]
#[tokio::test(flavor = "multi_thread")]
async fn large_configuration_comes_into_force(
    #[case] node_runs: bool,
    #[case] delivery: Delivery,
    #[case] within_s: u64,
) {
    let mut site = Site::start(1, Duration::from_millis(30)).await;
    let store = match delivery {
        Delivery::Slow => start_slow_link(site.store.address(), SLOW_BYTES_PER_S).await,
        Delivery::FirstStalls => start_stalling_relay(site.store.address()).await,
    };
    let at = match node_runs {
        true => Some(site.add_node_at(store).await),
        false => None,
    };
    // No peer answers in its stead.
    site.nodes[0].kill();
    site.store
        .write("op/config", &large_configuration(2, NEW_KEY));
    let at = at.unwrap_or_else(|| site.start_node_at(store));
    // A submission would learn of the change from its conditional write.
    let accepted = site.wait("the new key is permitted", async |site| {
        let response = site.call(at, "GET", "/q/", NEW_KEY, String::new()).await;
        response.is_some_and(|response| response.status() == 200)
    });
    let in_time = tokio::time::timeout(Duration::from_secs(within_s), accepted).await;
    assert!(in_time.is_ok(), "not in force after {within_s} s");
}
