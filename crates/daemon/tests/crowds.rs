//! `hemlockd serve` as a process, beside crowds of clients that do not behave.
//!
//! Guards against clients that make a process exceed the memory or the descriptors of its machine, or keep it from
//! answering others.

mod support;

use rstest::rstest;
use support::{BODY_LIMIT_BYTES, Door, KEY, Message, Node, SMALL, USUAL};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// Held by each test, so that no two crowds are sent at once.
static ONE_CROWD: Mutex<()> = Mutex::const_new(());

/// Clients in a crowd.
const CROWD: usize = 300;

/// Clients in a crowd that has more connections than its machine has descriptors.
const LARGE_CROWD: usize = 600;

/// Length of a head that stops short of the HTTP server's own limit of some 400 KB, in bytes.
const LONG_HEAD_BYTES: usize = 380_000;

/// Length of a head over that limit, in bytes.
const HEAD_OVER_LIMIT_BYTES: usize = 1_000_000;

/// A request after whose answer a connection is idle.
const IDLE_AFTER: &[u8] = b"GET /none HTTP/1.1\r\nhost: none.example\r\n\r\n";

/// Returns the head of a call without the empty line after it.
fn begin_head(path: &str, number: usize) -> Vec<u8> {
    format!(
        "POST {path}{number:016x} HTTP/1.1\r\nhost: desk.example\r\nhemlockloft-credential: {KEY}\r\n\
         authorization: Bearer {KEY}\r\n"
    )
    .into_bytes()
}

fn head_with(path: &str, number: usize, line: &str) -> Vec<u8> {
    [&begin_head(path, number), line.as_bytes(), b"\r\n\r\n"].concat()
}

/// A head of this length that has no end.
fn long_head(bytes: usize) -> impl Fn(usize) -> Message {
    let line = format!("x-filler: {}\r\n", "x".repeat(988));
    move |number| {
        Message::pieces(
            begin_head("/q/", number),
            line.as_bytes(),
            bytes / 1_000,
            20,
        )
    }
}

/// A body that stops one byte short of its end, in pieces of this length.
fn short_body(path: &'static str, length: usize, piece: usize) -> impl Fn(usize) -> Message {
    move |number| {
        let mut head = head_with(path, number, &format!("content-length: {length}"));
        head.extend(vec![b' '; piece - 1]);
        Message::pieces(head, &vec![b' '; piece], length / piece - 1, 1)
    }
}

/// A body in chunks of this length that stops short of its end.
fn short_chunks(path: &'static str, chunk: usize, chunks: usize) -> impl Fn(usize) -> Message {
    move |number| {
        let head = head_with(path, number, "transfer-encoding: chunked");
        let piece = format!("{chunk:x}\r\n{}\r\n", " ".repeat(chunk));
        Message::pieces(head, piece.as_bytes(), chunks, 4_096usize.div_ceil(chunk))
    }
}

#[rstest]
#[case::over_the_limit(Door::Callers, HEAD_OVER_LIMIT_BYTES)]
#[case::without_end(Door::Callers, LONG_HEAD_BYTES)]
#[case::without_end_at_the_jobs_api(Door::Own, LONG_HEAD_BYTES)]
#[case::without_end_at_readiness(Door::Readiness, LONG_HEAD_BYTES)]
#[case::without_end_at_metrics(Door::Metrics, LONG_HEAD_BYTES)]
#[tokio::test(flavor = "multi_thread")]
async fn long_heads_exceed_the_memory(#[case] door: Door, #[case] bytes: usize) {
    let _alone = ONE_CROWD.lock().await;
    let mut node = Node::start(SMALL).await;
    node.bear(door, CROWD, long_head(bytes)).await;
}

#[rstest]
#[case::callers(Door::Callers)]
#[case::readiness(Door::Readiness)]
#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_before_a_request_exceed_the_memory(#[case] door: Door) {
    let _alone = ONE_CROWD.lock().await;
    let mut node = Node::start(SMALL).await;
    let lines = |_| Message::pieces(Vec::new(), b"\r\n", HEAD_OVER_LIMIT_BYTES / 2, 2_048);
    node.bear(door, CROWD, lines).await;
}

#[rstest]
#[case::whole(Door::Callers, "/q/", BODY_LIMIT_BYTES)]
#[case::in_pieces(Door::Callers, "/q/", 1_024)]
#[case::without_a_queue(Door::Callers, "/none/", BODY_LIMIT_BYTES)]
#[case::at_the_jobs_api(Door::Own, "/v1/jobs/", BODY_LIMIT_BYTES)]
#[case::at_readiness(Door::Readiness, "/readyz/", BODY_LIMIT_BYTES)]
#[case::at_metrics(Door::Metrics, "/metrics/", BODY_LIMIT_BYTES)]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_without_end_exceed_the_memory(
    #[case] door: Door,
    #[case] path: &'static str,
    #[case] piece: usize,
) {
    let _alone = ONE_CROWD.lock().await;
    let mut node = Node::start(SMALL).await;
    node.bear(door, CROWD, short_body(path, BODY_LIMIT_BYTES, piece))
        .await;
}

#[rstest]
#[case::large(Door::Callers, "/q/", 65_536, 3)]
#[case::of_one_byte(Door::Callers, "/q/", 1, 20_000)]
#[case::large_at_the_jobs_api(Door::Own, "/v1/jobs/", 65_536, 3)]
#[tokio::test(flavor = "multi_thread")]
async fn chunks_without_end_exceed_the_memory(
    #[case] door: Door,
    #[case] path: &'static str,
    #[case] chunk: usize,
    #[case] chunks: usize,
) {
    let _alone = ONE_CROWD.lock().await;
    let mut node = Node::start(SMALL).await;
    node.bear(door, CROWD, short_chunks(path, chunk, chunks))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_frames_without_end_exceed_the_memory() {
    let _alone = ONE_CROWD.lock().await;
    let mut node = Node::start(SMALL).await;
    let announced_bytes: u32 = 8 * 1_024 * 1_024;
    let frame = |_| {
        let piece = [0; 65_536];
        Message::pieces(announced_bytes.to_be_bytes().to_vec(), &piece, 16, 1)
    };
    node.bear(Door::Peers, CROWD, frame).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_frames_of_legal_size_exceed_the_memory() {
    let _alone = ONE_CROWD.lock().await;
    let mut node = Node::start(SMALL).await;
    let frame = |_| {
        let announced_bytes = BODY_LIMIT_BYTES as u32;
        let mut bytes = announced_bytes.to_be_bytes().to_vec();
        bytes.extend(vec![0; BODY_LIMIT_BYTES - 1]);
        Message::whole(bytes)
    };
    node.bear(Door::Peers, CROWD, frame).await;
}

/// Each connection carries something, since a connection without it may never have been accepted.
#[rstest]
#[case::callers(Door::Callers, IDLE_AFTER)]
#[case::jobs_api(Door::Own, IDLE_AFTER)]
#[case::readiness(Door::Readiness, IDLE_AFTER)]
#[case::metrics(Door::Metrics, IDLE_AFTER)]
#[case::peers(Door::Peers, b"\0")]
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_use_up_the_descriptors(#[case] door: Door, #[case] first: &[u8]) {
    let _alone = ONE_CROWD.lock().await;
    let mut node = Node::start(SMALL).await;
    node.bear(door, LARGE_CROWD, |_| Message::whole(first.to_vec()))
        .await;
}

#[rstest]
#[case::heads(|number| Message::whole(begin_head("/q/", number)))]
#[case::bodies(|number| Message::whole(head_with("/q/", number, "content-length: 100")))]
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_requests_use_up_the_descriptors(#[case] message: fn(usize) -> Message) {
    let _alone = ONE_CROWD.lock().await;
    let mut node = Node::start(SMALL).await;
    node.bear(Door::Callers, LARGE_CROWD, message).await;
}

#[rstest]
#[case::callers(Door::Callers, "/q/", 1_000)]
#[case::metrics(Door::Metrics, "/metrics", 300)]
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_exceed_the_memory(
    #[case] door: Door,
    #[case] path: &str,
    #[case] requests: usize,
) {
    let _alone = ONE_CROWD.lock().await;
    let mut node = Node::start(SMALL).await;
    let request = format!("GET {path} HTTP/1.1\r\nhost: none.example\r\n\r\n");
    let many = |_| Message::pieces(Vec::new(), request.as_bytes(), requests, 100);
    node.bear(door, CROWD, many).await;
}

/// Returns a job whose encoding has exactly the length of the body limit.
fn longest_job() -> Vec<u8> {
    let mut body = br#"{"spec":"text","steps":[{"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":100}]}"#.to_vec();
    body.resize(BODY_LIMIT_BYTES, b' ');
    body
}

async fn read_status(connection: &mut TcpStream) -> String {
    let mut answer = vec![0; 4_096];
    let length = connection.read(&mut answer).await.unwrap();
    let text = String::from_utf8_lossy(&answer[..length]);
    text.lines().next().unwrap_or_default().to_string()
}

/// The body arrives at 2 Mbit/s, with a pause as after lost packets.
#[tokio::test(flavor = "multi_thread")]
async fn longest_body_over_a_slow_link_is_refused() {
    let _alone = ONE_CROWD.lock().await;
    let mut node = Node::start(SMALL).await;
    let mut connection = TcpStream::connect(node.address(Door::Callers))
        .await
        .unwrap();
    let head = head_with(
        "/q/",
        9,
        &format!("hemlockloft-deadline-ms: 20000\r\ncontent-length: {BODY_LIMIT_BYTES}"),
    );
    for piece in head.chunks(10) {
        connection.write_all(piece).await.unwrap();
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    for (number, piece) in longest_job().chunks(2_500).enumerate() {
        connection.write_all(piece).await.unwrap();
        let pause_ms = if number == 50 { 3_000 } else { 10 };
        tokio::time::sleep(std::time::Duration::from_millis(pause_ms)).await;
    }
    assert_eq!(read_status(&mut connection).await, "HTTP/1.1 200 OK");
    node.check_within_machine();
}

/// Ordinary callers keep their connections for later requests.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_of_ordinary_callers_are_closed() {
    let _alone = ONE_CROWD.lock().await;
    let mut node = Node::start(USUAL).await;
    let mut connections = Vec::new();
    for _ in 0..2_000 {
        connections.push(
            TcpStream::connect(node.address(Door::Callers))
                .await
                .unwrap(),
        );
    }
    for round in 0..2 {
        for connection in &mut connections {
            let request = format!(
                "GET /q/{:016x} HTTP/1.1\r\nhost: desk.example\r\nhemlockloft-credential: {KEY}\r\n\r\n",
                7
            );
            connection.write_all(request.as_bytes()).await.unwrap();
            assert_eq!(
                read_status(connection).await,
                "HTTP/1.1 200 OK",
                "round {round}"
            );
        }
    }
    node.check_within_machine();
}
