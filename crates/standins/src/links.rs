//! Relays that simulate the links between data centres and to the platform.
//!
//! Each relay listens on loopback and forwards bytes to its target after the one-way delay of its
//! link. A cut delays the bytes in both directions, on open and on new connections, until the link
//! is restored, as TCP retransmission would.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use model::prelude::*;
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::worker::lock;

/// Longest chunk that is forwarded at a time, in bytes.
const CHUNK_BYTES_MAX: usize = 16_384;

/// Largest number of chunks in flight in one direction of one connection.
const CHUNKS_IN_FLIGHT_MAX: usize = 64;

/// One end of a link.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(into = "String")]
pub enum Place {
    /// A data centre.
    DataCentre(DataCentreName),
    /// The platform.
    Platform,
}

/// Name of the platform as one end of a link.
pub const PLATFORM_PLACE: &str = "platform";

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DataCentre(name) => name.fmt(f),
            Self::Platform => f.write_str(PLATFORM_PLACE),
        }
    }
}

impl From<Place> for String {
    fn from(place: Place) -> Self {
        place.to_string()
    }
}

/// Pair of places in ascending order.
pub type PlacePair = (Place, Place);

/// Returns the pair of two places in ascending order.
pub fn ordered_pair(a: Place, b: Place) -> PlacePair {
    if a <= b { (a, b) } else { (b, a) }
}

/// Bytes that were forwarded from one place to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LinkBytes {
    /// Place that sent the bytes.
    pub from: Place,
    /// Place that received the bytes.
    pub to: Place,
    /// Number of bytes.
    pub bytes: u64,
    /// Whether the link is cut now.
    pub cut: bool,
}

/// State of all links of a site.
#[derive(Debug)]
pub struct Network {
    cuts: watch::Sender<BTreeSet<PlacePair>>,
    counters: Mutex<BTreeMap<(Place, Place), Arc<AtomicU64>>>,
    shutdown: CancellationToken,
}

impl Network {
    /// Creates a network whose relays end when `shutdown` is cancelled.
    pub fn new(shutdown: CancellationToken) -> Self {
        Self {
            cuts: watch::Sender::new(BTreeSet::new()),
            counters: Mutex::default(),
            shutdown,
        }
    }

    /// Cuts or restores the link between a pair of places.
    pub fn set_cut(&self, pair: PlacePair, on: bool) {
        self.cuts.send_modify(|cuts| {
            if on {
                cuts.insert(pair);
            } else {
                cuts.remove(&pair);
            }
        });
    }

    /// Returns the bytes that were forwarded between each pair of places, by direction.
    pub fn bytes(&self) -> Vec<LinkBytes> {
        let cuts = self.cuts.borrow().clone();
        let counters = lock(&self.counters);
        let links = counters.iter().map(|((from, to), bytes)| LinkBytes {
            from: from.clone(),
            to: to.clone(),
            bytes: bytes.load(Ordering::Relaxed),
            cut: cuts.contains(&ordered_pair(from.clone(), to.clone())),
        });
        links.collect()
    }

    /// Returns the byte counter of one direction.
    fn counter(&self, from: &Place, to: &Place) -> Arc<AtomicU64> {
        let mut counters = lock(&self.counters);
        let counter = counters.entry((from.clone(), to.clone())).or_default();
        Arc::clone(counter)
    }
}

/// State of a relay: its target, and which of its connections are stalled or closed.
#[derive(Debug, Clone, Copy)]
struct RelayState {
    target: SocketAddr,
    stall_generation: u64,
    up: bool,
}

/// Relay from one place to one address in another.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    state: watch::Sender<RelayState>,
}

/// Link that a relay simulates.
#[derive(Debug, Clone)]
pub struct Link {
    /// Place of the callers.
    pub from: Place,
    /// Place of the target.
    pub to: Place,
    /// One-way delay, in milliseconds.
    pub delay_ms: u64,
}

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// No port can be opened.
    pub async fn start(network: &Arc<Network>, link: Link, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(RelayState {
            target,
            stall_generation: 0,
            up: true,
        });
        let acceptor = RelayAcceptor {
            listener,
            network: Arc::clone(network),
            link,
            state: state.clone(),
        };
        tokio::spawn(acceptor.run());
        Ok(Self { address, state })
    }

    /// Returns the address that callers connect to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards new connections to another target from now on, also if the relay was down.
    pub fn retarget(&self, target: SocketAddr) {
        self.state.send_modify(|state| {
            state.target = target;
            state.up = true;
        });
    }

    /// Closes every connection, including new ones, until [`Relay::retarget`] is called.
    pub fn set_down(&self) {
        self.state.send_modify(|state| state.up = false);
    }

    /// Stalls every open connection for good.
    pub fn stall_open(&self) {
        self.state.send_modify(|state| state.stall_generation += 1);
    }
}

/// Accepts the connections of a relay.
#[derive(Debug)]
struct RelayAcceptor {
    listener: TcpListener,
    network: Arc<Network>,
    link: Link,
    state: watch::Sender<RelayState>,
}

impl RelayAcceptor {
    /// Accepts connections until the site ends.
    async fn run(self) {
        let shutdown = self.network.shutdown.clone();
        loop {
            let accepted = tokio::select! {
                () = shutdown.cancelled() => return,
                accepted = self.listener.accept() => accepted,
            };
            if let Ok((stream, _)) = accepted {
                let connection = self.relay(stream);
                let shutdown = shutdown.clone();
                tokio::spawn(async move { shutdown.run_until_cancelled(connection).await });
            }
        }
    }

    /// Relays one connection until it is closed or the relay goes down.
    fn relay(&self, caller: TcpStream) -> impl Future<Output = io::Result<()>> + Send + use<> {
        let link = self.link.clone();
        let network = Arc::clone(&self.network);
        let mut state = self.state.subscribe();
        let gate = Gate {
            pair: ordered_pair(link.from.clone(), link.to.clone()),
            cuts: network.cuts.subscribe(),
            state: self.state.subscribe(),
            opened_generation: self.state.borrow().stall_generation,
        };
        let mut closing = gate.clone();
        let closed = async move {
            let _ = state.wait_for(|state| !state.up).await;
            closing.wait_open().await;
        };
        async move {
            tokio::select! {
                relayed = relay_connection(caller, gate, &link, &network) => relayed,
                () = closed => Ok(()),
            }
        }
    }
}

/// Blocks the bytes of one connection while its link is cut, and for good once it has stalled.
#[derive(Debug, Clone)]
struct Gate {
    pair: PlacePair,
    cuts: watch::Receiver<BTreeSet<PlacePair>>,
    state: watch::Receiver<RelayState>,
    opened_generation: u64,
}

impl Gate {
    /// Waits until bytes may pass; never returns for a connection that has stalled.
    async fn wait_open(&mut self) {
        let Self {
            pair,
            cuts,
            state,
            opened_generation,
        } = self;
        let _ = cuts.wait_for(|cuts| !cuts.contains(pair)).await;
        let _ = state
            .wait_for(|state| state.stall_generation <= *opened_generation)
            .await;
    }
}

/// Connects to the target and forwards bytes in both directions.
async fn relay_connection(
    caller: TcpStream,
    mut gate: Gate,
    link: &Link,
    network: &Network,
) -> io::Result<()> {
    gate.wait_open().await;
    let target = gate.state.borrow().target;
    let target_stream = TcpStream::connect(target).await?;
    caller.set_nodelay(true)?;
    target_stream.set_nodelay(true)?;
    let (caller_read, caller_write) = caller.into_split();
    let (target_read, target_write) = target_stream.into_split();
    let delay = Duration::from_millis(link.delay_ms);
    let outbound = network.counter(&link.from, &link.to);
    let inbound = network.counter(&link.to, &link.from);
    let outbound = relay_direction(caller_read, target_write, gate.clone(), delay, outbound);
    let inbound = relay_direction(target_read, caller_write, gate, delay, inbound);
    tokio::try_join!(outbound, inbound)?;
    Ok(())
}

/// Forwards bytes in one direction, each chunk after the delay of the link.
async fn relay_direction(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    gate: Gate,
    delay: Duration,
    counter: Arc<AtomicU64>,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(CHUNKS_IN_FLIGHT_MAX);
    let reading = read_chunks(from, sender, gate.clone(), delay);
    let writing = write_chunks(to, receiver, gate, counter);
    tokio::try_join!(reading, writing)?;
    Ok(())
}

/// Bytes with the time at which they arrive.
type Chunk = (Instant, Bytes);

/// Reads chunks until the end of the stream.
async fn read_chunks(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
    mut gate: Gate,
    delay: Duration,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES_MAX];
    loop {
        let read = from.read(&mut buffer).await;
        gate.wait_open().await;
        let len = read?;
        if len == 0 {
            return Ok(());
        }
        let chunk = Bytes::copy_from_slice(&buffer[..len]);
        let arrives_at = Instant::now() + delay;
        if sender.send((arrives_at, chunk)).await.is_err() {
            return Ok(());
        }
    }
}

/// Writes each chunk at its arrival time, then closes the stream.
async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Chunk>,
    mut gate: Gate,
    counter: Arc<AtomicU64>,
) -> io::Result<()> {
    while let Some((arrives_at, chunk)) = receiver.recv().await {
        tokio::time::sleep_until(arrives_at).await;
        gate.wait_open().await;
        let written = to.write_all(&chunk).await;
        gate.wait_open().await;
        written?;
        counter.fetch_add(chunk.len() as u64, Ordering::Relaxed);
    }
    to.shutdown().await
}
