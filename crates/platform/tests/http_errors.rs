//! Tests of how the HTTP clients classify failures of a peer at each step of a call.
//!
//! A call that may have taken effect must never be reported as not sent, since a caller may
//! repeat a call that was not sent.

use std::net::SocketAddr;

use bytes::Bytes;
use model::prelude::*;
use platform::error::CallError;
use platform::http_store::{HttpStore, Timeouts};
use platform::http_worker::{HttpWorkerApi, WorkerLimits};
use platform::store::Store;
use platform::worker::WorkerApi;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Timeout of a call, in milliseconds.
const CALL_MS: u64 = 500;

/// What the peer does with a connection.
#[derive(Debug, Clone, Copy)]
enum Peer {
    /// Closes the connection at once.
    Closes,
    /// Reads the call and closes the connection.
    ReadsAndCloses,
    /// Reads the call and never replies.
    Unresponsive,
    /// Replies with this text and closes the connection.
    Replies(&'static str),
}

/// Serves one connection as `peer` does.
async fn serve_connection(mut stream: TcpStream, peer: Peer) -> std::io::Result<()> {
    let mut buffer = [0; 4_096];
    match peer {
        Peer::Closes => {}
        Peer::ReadsAndCloses => {
            let _ = stream.read(&mut buffer).await?;
        }
        Peer::Unresponsive => while stream.read(&mut buffer).await? > 0 {},
        Peer::Replies(text) => {
            let _ = stream.read(&mut buffer).await?;
            stream.write_all(text.as_bytes()).await?;
        }
    }
    Ok(())
}

/// Starts a peer and returns its address.
async fn start_peer(peer: Peer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, peer));
        }
    });
    address
}

/// Returns an address on which nothing listens.
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Creates a store client of an address.
fn store_at(address: SocketAddr) -> HttpStore {
    let timeouts = Timeouts {
        connect_ms: CALL_MS,
        call_ms: CALL_MS,
    };
    HttpStore::new(address, "gyor-e1".parse().unwrap(), timeouts).unwrap()
}

/// Creates a worker client with the given limits.
fn worker_client(limits: WorkerLimits) -> HttpWorkerApi {
    HttpWorkerApi::new("gyor-e1".parse().unwrap(), limits).unwrap()
}

/// Creates a request.
fn request() -> RunRequest<Bytes> {
    RunRequest {
        work_id: "w.gyor.gyor-e1.1.1".parse().unwrap(),
        ticket: None,
        organisation: "north".parse().unwrap(),
        class: "roster-query".parse().unwrap(),
        remaining_ms: CALL_MS,
        body: Bytes::from_static(b"query"),
    }
}

/// Returns the name of the kind of an error.
fn error_kind(error: &CallError) -> &'static str {
    match error {
        CallError::NotSent { .. } => "not_sent",
        CallError::ReplyLost { .. } => "reply_lost",
        CallError::Unavailable { .. } => "unavailable",
        CallError::Malformed { .. } => "malformed",
    }
}

const DOWN: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 4\r\n\r\ndown";
const TEAPOT: &str = "HTTP/1.1 418 I'm a teapot\r\ncontent-length: 0\r\n\r\n";
const NOT_JSON: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nyes";
const CUT_SHORT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nnull";
const TOO_LONG: &str = "HTTP/1.1 200 OK\r\ncontent-length: 900000000\r\n\r\nnull";
const NOT_HTTP: &str = "SSH-2.0-OpenSSH\r\n\r\n";
const REDIRECT: &str =
    "HTTP/1.1 307 x\r\nlocation: http://127.0.0.1:1/\r\ncontent-length: 0\r\n\r\n";

#[rstest]
#[case::closes(Peer::Closes, "reply_lost")]
#[case::reads_and_closes(Peer::ReadsAndCloses, "reply_lost")]
#[case::silent(Peer::Unresponsive, "reply_lost")]
#[case::down(Peer::Replies(DOWN), "unavailable")]
#[case::other_status(Peer::Replies(TEAPOT), "malformed")]
#[case::not_json(Peer::Replies(NOT_JSON), "malformed")]
#[case::cut_short(Peer::Replies(CUT_SHORT), "reply_lost")]
#[case::too_long(Peer::Replies(TOO_LONG), "malformed")]
#[case::not_http(Peer::Replies(NOT_HTTP), "reply_lost")]
#[case::redirect(Peer::Replies(REDIRECT), "malformed")]
#[tokio::test]
async fn store_get_maps_error(#[case] peer: Peer, #[case] expected: &str) {
    let store = store_at(start_peer(peer).await);
    let error = store.get("k").await.unwrap_err();
    assert_eq!(error_kind(&error), expected, "{error}");
}

#[tokio::test]
async fn store_get_is_not_sent_to_closed_port() {
    let store = store_at(closed_address().await);
    let error = store.get("k").await.unwrap_err();
    assert_eq!(error_kind(&error), "not_sent", "{error}");
}

#[tokio::test]
async fn store_get_is_not_sent_when_connect_times_out() {
    // Connection attempts to a listener with a full backlog time out.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut open = Vec::new();
    let pause = std::time::Duration::from_millis(CALL_MS);
    while let Ok(Ok(stream)) = tokio::time::timeout(pause, TcpStream::connect(address)).await {
        open.push(stream);
        assert!(open.len() < 1_000, "the backlog never fills");
    }
    let timeouts = Timeouts {
        connect_ms: CALL_MS,
        call_ms: 20 * CALL_MS,
    };
    let node = "gyor-e1".parse().unwrap();
    let store = HttpStore::new(address, node, timeouts).unwrap();
    let error = store.get("k").await.unwrap_err();
    assert_eq!(error_kind(&error), "not_sent", "{error}");
}

const UNMARKED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const NO_DIGEST: &str = "HTTP/1.1 200 OK\r\nhemlock-outcome: answered\r\n\
    hemlock-work-id: w.gyor.gyor-e1.1.1\r\ncontent-length: 0\r\n\r\n";
const STILL_RUNS: &str = "HTTP/1.1 200 OK\r\nhemlock-outcome: running\r\n\
    content-length: 12\r\n\r\n{\"run_ms\":5}";

#[rstest]
#[case::closes(Peer::Closes, "reply_lost")]
#[case::silent(Peer::Unresponsive, "reply_lost")]
#[case::down(Peer::Replies(DOWN), "unavailable")]
#[case::unmarked(Peer::Replies(UNMARKED), "malformed")]
#[case::no_digest(Peer::Replies(NO_DIGEST), "malformed")]
#[case::no_result(Peer::Replies(STILL_RUNS), "malformed")]
#[tokio::test]
async fn worker_run_maps_error(#[case] peer: Peer, #[case] expected: &str) {
    let client = worker_client(WorkerLimits::default());
    let address = start_peer(peer).await;
    let error = client.run(address, &request(), CALL_MS).await.unwrap_err();
    assert_eq!(error_kind(&error), expected, "{error}");
}

#[tokio::test]
async fn worker_run_is_not_sent_above_connection_bound() {
    let client = worker_client(WorkerLimits {
        connections_max: 1,
        ..WorkerLimits::default()
    });
    let address = start_peer(Peer::Unresponsive).await;
    let request = request();
    let first = client.run(address, &request, CALL_MS);
    let second = client.run(address, &request, CALL_MS);
    let (first, second) = tokio::join!(first, second);
    assert_eq!(error_kind(&first.unwrap_err()), "reply_lost");
    assert_eq!(error_kind(&second.unwrap_err()), "not_sent");
}

#[tokio::test]
async fn worker_status_opens_new_connection() {
    const UNKNOWN: &[u8] =
        b"HTTP/1.1 404 x\r\nhemlock-outcome: unknown\r\ncontent-length: 0\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = tokio::spawn(async move {
        let mut open = Vec::new();
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4_096];
            assert!(stream.read(&mut buffer).await.unwrap() > 0);
            stream.write_all(UNKNOWN).await.unwrap();
            open.push(stream);
        }
        open.len()
    });
    let client = worker_client(WorkerLimits::default());
    for _ in 0..2 {
        let status = client.status(address, &request().work_id).await.unwrap();
        assert_eq!(status, WorkStatus::Unknown);
    }
    assert_eq!(accepting.await.unwrap(), 2);
}
