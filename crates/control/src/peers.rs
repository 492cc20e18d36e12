//! Passes callers' calls on to a node that can reach the store while this one cannot, and answers such calls for peers.
//!
//! Every node that serves peers has an entry in the store under a lease of its own. All nodes read these entries
//! regularly and keep the last list during an outage.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use adapter::{CallError, Item, Precondition, Put, Txn, TxnOutcome};
use futures::{Stream, StreamExt};
use poem::http::Method;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tarpc::client;
use tarpc::context::{self, Context};
use tarpc::serde_transport::{self, tcp};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;

use crate::advice::{AdviceQuery, AdviceReply, ask_service};
use crate::call::{Call, Target};
use crate::charged_stream::ChargedStream;
use crate::clock::now_ms;
use crate::door::{Door, Phase, Place};
use crate::keys;
use crate::lead::release_lead;
use crate::lead_preference::is_larger;
use crate::metrics::Counter;
use crate::node::Node;
use crate::reply::Reply;
use crate::requests::{ActiveRequest, handle_locally};
use crate::settle::heed_earlier_doubt;

/// How long a node's entry lasts after its last renewal: longer than the longest outage that the users list, so that
/// few entries have to be written again after one.
const ENTRY_TTL_MS: u64 = 30_000;

/// How often the entry is renewed and the list is read. A new VM takes up to this long to receive calls from its peers.
const REFRESH_EVERY_MS: u64 = 8_000;

/// Time between the first two refreshes, which doubles up to [`REFRESH_EVERY_MS`]: nodes that start at the same time miss each
/// other's entries at first.
const FIRST_REFRESH_MS: u64 = 1_000;

/// Delay before a failed refresh of the entry and the list is retried.
const RETRY_PAUSE_MS: u64 = 1_000;

/// Timeout of a store call in this module.
const CALL_TIMEOUT_MS: u64 = 900;

/// Timeout of connecting to a peer; the round trip between two regions takes 24 ms.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Timeout of a call to a peer, for its store call and the round trip.
const PASS_TIMEOUT_MS: u64 = 1_000;

/// How much longer than the peer itself a node waits for the answer of the advice service.
const ADVICE_ROUND_TRIP_MS: u64 = 100;

/// The longest wait for a peer's query, since a deadline has to be a time that the clock can hold.
const MAX_ADVICE_WAIT_MS: u64 = 3_600_000;

/// Most peers asked for one call, one after the other.
const MAX_PEERS_ASKED: usize = 3;

/// Most calls of one connection that are answered at once; a node makes one call a connection.
const MAX_CALLS_PER_PEER: usize = 4;

/// How long no peer is asked after none could answer, so that callers get their answer at once while the store is down
/// for all nodes.
const PEER_BACKOFF_MS: u64 = 300;

/// A caller's call as it is passed on to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PassedCall {
    /// The caller's key.
    key: Option<String>,
    target: Target,
    method: String,
    body: Vec<u8>,
    /// Time left until the caller's deadline.
    left_ms: u64,
    /// Version of the configuration known to the passing node; a peer with an older one must not answer.
    least_version: u64,
}

/// A peer's answer to a call that was passed on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PassedReply {
    reply: Reply,
    /// Version of the configuration by which the peer answered.
    version: u64,
}

/// The calls between nodes.
#[tarpc::service]
trait Peer {
    /// Answers a caller's call for a node that cannot reach the store; none if this node cannot answer either.
    async fn answer(call: PassedCall) -> Option<PassedReply>;

    /// Asks this node to release the lead to a node whose VM has this much processor, in thousandths of a core.
    async fn yield_lead(processor_millis: u32);

    /// Sends a query to the advice service for the leader; none if it is refused or not answered in time.
    async fn ask_advice(query: AdviceQuery) -> Option<AdviceReply>;
}

/// Another node, from its entry in the store.
#[derive(Debug, Clone)]
pub(crate) struct PeerEntry {
    pub name: String,
    /// Where it takes calls of its peers.
    pub address: SocketAddrV4,
    /// The processor of its VM, in thousandths of a core; 0 if unknown.
    pub processor_millis: u32,
}

impl PeerEntry {
    /// Parses an entry: the address and the processor, separated by a space. None if it names no address.
    fn parse(item: &Item) -> Option<PeerEntry> {
        let name = item.key.strip_prefix(keys::PEERS_PREFIX)?.to_string();
        let mut words = std::str::from_utf8(&item.value).ok()?.split(' ');
        Some(PeerEntry {
            name,
            address: words.next()?.parse().ok()?,
            processor_millis: words
                .next()
                .and_then(|millis| millis.parse().ok())
                .unwrap_or(0),
        })
    }
}

/// The other nodes that take calls that are passed on.
#[derive(Debug, Default)]
pub(crate) struct PeerList {
    entries: Mutex<Vec<PeerEntry>>,
    /// Index of the peer to ask first next time, so that calls are spread evenly.
    turn: AtomicUsize,
    /// No peer is asked before this time, because none could answer recently.
    backoff_until_ms: AtomicU64,
}

impl PeerList {
    fn set(&self, entries: Vec<PeerEntry>) {
        if let Ok(mut known) = self.entries.lock() {
            *known = entries;
        }
    }

    /// Returns the names of all peers.
    pub fn names(&self) -> Vec<String> {
        self.entries.lock().map_or_else(
            |_| Vec::new(),
            |known| known.iter().map(|peer| peer.name.clone()).collect(),
        )
    }

    /// Returns the entry of a node.
    pub fn find(&self, name: &str) -> Option<PeerEntry> {
        let known = self.entries.lock().ok()?;
        known.iter().find(|peer| peer.name == name).cloned()
    }

    /// Returns the processor of the largest VM among the peers, in thousandths of a core; none without peers.
    pub fn largest_processor_millis(&self) -> Option<u32> {
        let known = self.entries.lock().ok()?;
        known.iter().map(|peer| peer.processor_millis).max()
    }

    /// Returns how many peers are known.
    pub fn count(&self) -> u64 {
        self.entries.lock().map_or(0, |known| known.len() as u64)
    }

    /// Returns whether there is no peer to pass a call on to.
    pub fn is_empty(&self) -> bool {
        self.entries.lock().is_ok_and(|known| known.is_empty())
    }

    /// Starts a backoff after no peer could answer.
    fn back_off(&self) {
        self.backoff_until_ms
            .fetch_max(now_ms() + PEER_BACKOFF_MS, Ordering::Relaxed);
    }

    /// Returns the peers to ask for one call, beginning with another one each time; none during the backoff.
    fn next_peers(&self) -> Vec<SocketAddrV4> {
        if now_ms() < self.backoff_until_ms.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let first = self.turn.fetch_add(1, Ordering::Relaxed);
        self.entries.lock().map_or_else(
            |_| Vec::new(),
            |known| {
                let asked = known.len().min(MAX_PEERS_ASKED);
                (0..asked)
                    .map(|at| known[(first + at) % known.len()].address)
                    .collect()
            },
        )
    }
}

/// Passes a call on to peers, one after the other; none if no peer could answer it.
///
/// A call that a peer did not answer may have taken effect. Repeating it is harmless, since it carries the same id, but
/// the caller must not be told that it had no effect.
pub(crate) async fn pass_on(
    node: &Arc<Node>,
    call: &Call,
    method: &Method,
    body: &[u8],
) -> Option<Reply> {
    let changes = *method != Method::GET;
    let mut unknown = false;
    let peers = node.peers.next_peers();
    if peers.is_empty() {
        return None;
    }
    for address in peers {
        let left_ms = call.answer_by_ms.saturating_sub(now_ms());
        if left_ms == 0 {
            break;
        }
        node.metrics.count(Counter::PassedOn);
        let passed = PassedCall {
            key: call.key.clone(),
            target: call.target.clone(),
            method: method.to_string(),
            body: body.to_vec(),
            left_ms,
            least_version: node.configuration.least_version(),
        };
        let answer = ask_peer(address, passed, left_ms.min(PASS_TIMEOUT_MS)).await;
        let answer = answer.map(|answered| {
            node.configuration.record_peers_version(answered.version);
            answered.reply
        });
        match answer {
            PeerAnswer::Answered(Some(Reply::Refused { .. })) if unknown => break,
            PeerAnswer::Answered(Some(reply)) if !reply.is_store_failure() => return Some(reply),
            PeerAnswer::Answered(Some(Reply::OutcomeUnknown)) | PeerAnswer::NoAnswer => {
                unknown |= changes
            }
            PeerAnswer::Answered(_) | PeerAnswer::NotReached => {}
        }
    }
    node.metrics.count(Counter::PassedOnInVain);
    node.peers.back_off();
    unknown.then_some(Reply::OutcomeUnknown)
}

/// The outcome of asking one peer.
enum PeerAnswer<R> {
    /// The peer answered; none if it cannot answer the call either.
    Answered(Option<R>),
    /// Nothing was sent.
    NotReached,
    /// The call was sent but is unanswered.
    NoAnswer,
}

impl<R> PeerAnswer<R> {
    /// Applies a function to the answer, if there is one.
    fn map<S>(self, apply: impl FnOnce(R) -> S) -> PeerAnswer<S> {
        match self {
            PeerAnswer::Answered(reply) => PeerAnswer::Answered(reply.map(apply)),
            PeerAnswer::NotReached => PeerAnswer::NotReached,
            PeerAnswer::NoAnswer => PeerAnswer::NoAnswer,
        }
    }
}

/// Connects to a peer; none if that fails.
async fn connect_to_peer(address: SocketAddrV4) -> Option<PeerClient> {
    let connect = tcp::connect(address, Bincode::default);
    let connected = tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connect).await;
    let transport = connected.ok()?.ok()?;
    Some(PeerClient::new(client::Config::default(), transport).spawn())
}

/// Asks the leader to release the lead to this node, whose VM has this much processor. A failed call changes nothing;
/// the caller asks again while it waits for the lead.
pub(crate) async fn ask_to_yield(leader: &PeerEntry, processor_millis: u32) {
    if let Some(peer) = connect_to_peer(leader.address).await {
        let mut context = context::current();
        context.deadline = Instant::now() + Duration::from_millis(PASS_TIMEOUT_MS);
        let _ = peer.yield_lead(context, processor_millis).await;
    }
}

/// Sends a query to the advice service through a peer; none if the peer is not reached or has no answer in time.
pub(crate) async fn ask_peer_for_advice(
    peer: &PeerEntry,
    query: AdviceQuery,
) -> Option<AdviceReply> {
    let client = connect_to_peer(peer.address).await?;
    let timeout_ms = query.timeout_ms.saturating_add(ADVICE_ROUND_TRIP_MS);
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_millis(timeout_ms.min(MAX_ADVICE_WAIT_MS));
    client.ask_advice(context, query).await.ok()?
}

async fn ask_peer(
    address: SocketAddrV4,
    passed: PassedCall,
    timeout_ms: u64,
) -> PeerAnswer<PassedReply> {
    let Some(peer) = connect_to_peer(address).await else {
        return PeerAnswer::NotReached;
    };
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_millis(timeout_ms);
    match peer.answer(context, passed).await {
        Ok(reply) => PeerAnswer::Answered(reply),
        Err(_) => PeerAnswer::NoAnswer,
    }
}

/// Answers calls that peers pass on.
#[derive(Debug, Clone)]
struct PeerServer(Arc<Node>);

impl Peer for PeerServer {
    async fn answer(self, _: Context, passed: PassedCall) -> Option<PassedReply> {
        let node = &self.0;
        // A planned stop waits for passed calls too, not only for those of this node's own callers.
        let _active = ActiveRequest::begin(node);
        let can_answer = node.is_store_reachable()
            && !node.is_stopping()
            && node.configuration.version_and_confirmation().0 >= passed.least_version;
        if !can_answer {
            return None;
        }
        let method: Method = passed.method.parse().ok()?;
        let arrived_ms = now_ms();
        let call = Call {
            arrived_ms,
            answer_by_ms: arrived_ms.saturating_add(passed.left_ms),
            key: passed.key,
            target: passed.target,
            passed_on: true,
        };
        let reply = handle_locally(node, &call, &method, &passed.body).await;
        let reply = heed_earlier_doubt(node, &call, &method, reply);
        if !reply.is_store_failure() {
            node.metrics.count(Counter::AnsweredForPeer);
        }
        // A newer version may have come into force while the call was handled.
        let version = node.configuration.version_and_confirmation().0;
        Some(PassedReply { reply, version })
    }

    async fn ask_advice(self, _: Context, query: AdviceQuery) -> Option<AdviceReply> {
        match self.0.is_stopping() {
            true => None,
            false => ask_service(&self.0, query).await,
        }
    }

    async fn yield_lead(self, _: Context, processor_millis: u32) {
        let node = &self.0;
        if is_larger(processor_millis, node.settings.processor_millis) && node.holds_lead() {
            let fields = [("processor_millis", Value::from(processor_millis))];
            node.log
                .general("lead", "yielded to a node on a larger VM", &fields);
            release_lead(node).await;
        }
    }
}

/// Serves peers' calls until the process ends.
pub(crate) async fn serve_peers(node: Arc<Node>, door: Door) -> std::io::Result<()> {
    loop {
        let (stream, _, place) = door.accept().await;
        let frame_bytes = longest_frame_bytes(&node);
        let charge = node.byte_budget.start();
        let stream = ChargedStream::new(stream, place.connection.clone(), charge, frame_bytes);
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(frame_bytes)
            .new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        let calls = BaseChannel::with_defaults(transport)
            .max_concurrent_requests(MAX_CALLS_PER_PEER)
            .execute(PeerServer(node.clone()).serve());
        tokio::spawn(serve_peer(place, calls));
    }
}

/// Serves the calls of one connection until it ends or has to close.
async fn serve_peer<C>(place: Place, calls: impl Stream<Item = C>)
where
    C: Future<Output = ()> + Send + 'static,
{
    let connection = place.connection.clone();
    let serve = calls.for_each(|call| {
        let connection = connection.clone();
        tokio::spawn(async move {
            connection.begin(Phase::Answering);
            call.await;
            connection.begin(Phase::Idle);
        });
        std::future::ready(())
    });
    let closed = std::future::poll_fn(|cx| connection.poll_must_close(cx));
    tokio::select! {
        () = serve => {}
        () = closed => {}
    }
}

/// Returns the length of the longest frame: a call with the longest body, and what goes with it.
fn longest_frame_bytes(node: &Node) -> usize {
    let active = node.configuration.latest();
    let body_bytes = active.map_or(0, |active| active.configuration.limits.body_bytes);
    body_bytes + 4 * node.settings.limits.head_bytes as usize
}

/// Keeps this node's entry in the list of peers, and its copy of the list, up to date.
pub(crate) async fn follow_peers(node: Arc<Node>, address: SocketAddrV4) {
    let mut lease = None;
    let mut next_pause_ms = FIRST_REFRESH_MS;
    loop {
        let pause_ms = match refresh(&node, address, &mut lease).await {
            Ok(()) => {
                let doubled_ms = (2 * next_pause_ms).min(REFRESH_EVERY_MS);
                std::mem::replace(&mut next_pause_ms, doubled_ms)
            }
            Err(e) => {
                let fields = [("why", Value::from(e.to_string()))];
                node.log.general("peers", "list not refreshed", &fields);
                RETRY_PAUSE_MS
            }
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn refresh(
    node: &Node,
    address: SocketAddrV4,
    lease: &mut Option<u64>,
) -> Result<(), CallError> {
    let held = match *lease {
        Some(held) => node.store.renew_lease(held, CALL_TIMEOUT_MS, false).await?,
        None => false,
    };
    if !held {
        let (taken, _) = node
            .store
            .create_lease(ENTRY_TTL_MS, CALL_TIMEOUT_MS)
            .await?;
        write_entry(node, address, taken).await?;
        *lease = Some(taken);
    }
    let (items, _) = node
        .store
        .read_all(keys::PEERS_PREFIX, CALL_TIMEOUT_MS)
        .await?;
    let peers = items
        .iter()
        .filter_map(PeerEntry::parse)
        .filter(|peer| peer.address != address)
        .collect();
    node.peers.set(peers);
    Ok(())
}

/// Writes this node's entry; replaces one of an earlier incarnation.
async fn write_entry(node: &Node, address: SocketAddrV4, lease: u64) -> Result<(), CallError> {
    let key = keys::peer(&node.settings.name);
    let before = node.store.read(&key, CALL_TIMEOUT_MS, false).await?;
    let txn = Txn {
        conditions: vec![Precondition {
            key: key.clone(),
            revision: before.map_or(0, |item| item.revision),
        }],
        puts: vec![Put {
            key,
            value: format!("{address} {}", node.settings.processor_millis).into_bytes(),
            lease: Some(lease),
        }],
        removals: Vec::new(),
    };
    match node.store.commit(&txn, CALL_TIMEOUT_MS, false).await? {
        TxnOutcome::Done(_) => Ok(()),
        TxnOutcome::Conflict(_) | TxnOutcome::NoLease => Err(CallError::NotDone(
            "the entry changed meanwhile".to_string(),
        )),
    }
}
