//! Accepts the connections of one address, within a number of connections, and serves HTTP/1.1 on them.
//!
//! A connection over the number takes the place of one that waits for its client: an idle one, or one whose client has
//! stopped in the middle of a request or does not read its answer. Without such a one it is closed at once.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use poem::http::uri::Scheme;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, Response};
use serde_json::Value;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Sleep;

use crate::metrics::Counter;
use crate::node::Node;

/// Delay before the next connection is taken after one could not be taken.
const RETRY_PAUSE_MS: u64 = 100;

/// How long a client may send nothing in the middle of a request before its connection may give way: longer than a few
/// lost packets hold a link up.
const STALLED_REQUEST_MS: u64 = 5_000;

/// How long a client may take nothing of its answer before its connection may give way.
const STALLED_ANSWER_MS: u64 = 30_000;

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Nothing of a request has arrived.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// A body is being collected.
    Body,
    /// A request is being answered.
    Answering,
    /// An answer is being written.
    Writing,
}

/// A connection's phase, shared between its stream, its requests and its door.
#[derive(Debug)]
pub(crate) struct Connection(Mutex<Progress>);

#[derive(Debug)]
struct Progress {
    phase: Phase,
    /// When the phase began.
    since: Instant,
    /// When bytes passed last.
    last: Instant,
    must_close: bool,
    waker: Option<Waker>,
}

impl Connection {
    fn new() -> Arc<Connection> {
        let now = Instant::now();
        Arc::new(Connection(Mutex::new(Progress {
            phase: Phase::Idle,
            since: now,
            last: now,
            must_close: false,
            waker: None,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a phase.
    pub fn begin(&self, phase: Phase) {
        let mut progress = self.lock();
        progress.phase = phase;
        progress.since = Instant::now();
        progress.last = progress.since;
    }

    /// Records that bytes have passed.
    pub fn record_bytes(&self) {
        let mut progress = self.lock();
        progress.last = Instant::now();
        if progress.phase == Phase::Idle {
            progress.phase = Phase::Head;
            progress.since = progress.last;
        }
    }

    /// Returns whether a head is being received, and when the phase began.
    fn head_since(&self) -> (bool, Instant) {
        let progress = self.lock();
        (progress.phase == Phase::Head, progress.since)
    }

    /// Returns for how long the connection has waited for its client, if it may give way.
    fn waits(&self, now: Instant) -> Option<Duration> {
        let progress = self.lock();
        let waits = now.saturating_duration_since(progress.last);
        let least_ms = match progress.phase {
            Phase::Idle => 0,
            Phase::Head | Phase::Body => STALLED_REQUEST_MS,
            Phase::Writing => STALLED_ANSWER_MS,
            Phase::Answering => return None,
        };
        (waits >= Duration::from_millis(least_ms)).then_some(waits)
    }

    /// Is ready once the connection has to close.
    pub fn poll_must_close(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut progress = self.lock();
        if progress.must_close {
            return Poll::Ready(());
        }
        let known = progress.waker.as_ref();
        if !known.is_some_and(|waker| waker.will_wake(cx.waker())) {
            progress.waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    fn close(&self) {
        let mut progress = self.lock();
        progress.must_close = true;
        progress.waker.take().into_iter().for_each(Waker::wake);
    }
}

/// The connections of one address.
#[derive(Debug)]
pub(crate) struct Door {
    node: Arc<Node>,
    listener: TcpListener,
    max_connections: usize,
    open: Arc<Mutex<Vec<Arc<Connection>>>>,
}

/// A connection's place among those of its door, until dropped.
#[derive(Debug)]
pub(crate) struct Place {
    pub connection: Arc<Connection>,
    open: Arc<Mutex<Vec<Arc<Connection>>>>,
}

impl Drop for Place {
    fn drop(&mut self) {
        remove(&self.open, &self.connection);
    }
}

fn remove(open: &Mutex<Vec<Arc<Connection>>>, connection: &Arc<Connection>) {
    let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(at) = open.iter().position(|c| Arc::ptr_eq(c, connection)) {
        open.swap_remove(at);
    }
}

impl Door {
    /// Takes the connections of a socket, at most this many at a time.
    pub fn new(
        node: Arc<Node>,
        listener: std::net::TcpListener,
        max_connections: usize,
    ) -> std::io::Result<Door> {
        listener.set_nonblocking(true)?;
        Ok(Door {
            node,
            listener: TcpListener::from_std(listener)?,
            max_connections,
            open: Arc::default(),
        })
    }

    /// Waits for a connection that finds a place.
    pub async fn accept(&self) -> (TcpStream, SocketAddr, Place) {
        loop {
            match self.listener.accept().await {
                Ok((stream, remote)) => {
                    if let Some(place) = self.find_place() {
                        return (stream, remote, place);
                    }
                    self.node.metrics.count(Counter::ConnectionsNotTaken);
                }
                // The connection failed before it was accepted, or no descriptors are left; the next one may succeed.
                Err(e) => {
                    let fields = [("why", Value::from(e.to_string()))];
                    self.node
                        .log
                        .general("node", "connection not taken", &fields);
                    tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                }
            }
            // Connections that have to close do so before the next one is taken.
            tokio::task::yield_now().await;
        }
    }

    fn find_place(&self) -> Option<Place> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if open.len() >= self.max_connections {
            let now = Instant::now();
            let waiting = open.iter().enumerate();
            let (at, _) = waiting
                .filter_map(|(at, connection)| Some((at, connection.waits(now)?)))
                .max_by_key(|(_, waits)| *waits)?;
            open.swap_remove(at).close();
            self.node.metrics.count(Counter::ConnectionsGaveWay);
        }
        let connection = Connection::new();
        open.push(connection.clone());
        Some(Place {
            connection,
            open: self.open.clone(),
        })
    }
}

/// Serves HTTP/1.1 on the connections of a door until the process ends.
pub(crate) async fn serve_http(
    door: Door,
    endpoint: impl Endpoint<Output = Response> + 'static,
) -> std::io::Result<()> {
    let endpoint = Arc::new(endpoint);
    let local = LocalAddr(door.listener.local_addr()?.into());
    let mut http = http1::Builder::new();
    http.max_buf_size(door.node.settings.limits.head_bytes as usize);
    loop {
        let (stream, remote, place) = door.accept().await;
        let remote = RemoteAddr(remote.into());
        let (endpoint, local) = (endpoint.clone(), local.clone());
        let connection = place.connection.clone();
        let service = service_fn(move |mut request: hyper::Request<Incoming>| {
            let (endpoint, connection) = (endpoint.clone(), connection.clone());
            let (local, remote) = (local.clone(), remote.clone());
            async move {
                connection.begin(Phase::Answering);
                request.extensions_mut().insert(connection.clone());
                let request = (request, local, remote, Scheme::HTTP).into();
                let response = endpoint.get_response(request).await;
                connection.begin(Phase::Writing);
                Ok::<hyper::Response<_>, Infallible>(response.into())
            }
        });
        let stream = WatchedStream::new(stream, place.connection.clone());
        let served = http.serve_connection(TokioIo::new(stream), service);
        tokio::spawn(serve_connection(door.node.clone(), place, served));
    }
}

/// Drives a connection until it ends, has to close, or takes too long over a head.
async fn serve_connection<F: Future>(node: Arc<Node>, place: Place, served: F) {
    let head_time = Duration::from_millis(node.settings.limits.head_ms);
    let mut served = pin!(served);
    let mut timer: Option<Pin<Box<Sleep>>> = None;
    std::future::poll_fn(|cx| {
        if served.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        if place.connection.poll_must_close(cx).is_ready() {
            return Poll::Ready(());
        }
        let (in_head, since) = place.connection.head_since();
        if !in_head {
            timer = None;
            return Poll::Pending;
        }
        let deadline = tokio::time::Instant::from_std(since + head_time);
        let timer = timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        // Another head may have begun since the timer was set.
        if timer.deadline() != deadline {
            timer.as_mut().reset(deadline);
        }
        ready!(timer.as_mut().poll(cx));
        node.metrics.count(Counter::HeadsCutOff);
        Poll::Ready(())
    })
    .await;
}

/// A stream that tells its connection's phase.
#[derive(Debug)]
struct WatchedStream {
    stream: TcpStream,
    connection: Arc<Connection>,
}

impl WatchedStream {
    fn new(stream: TcpStream, connection: Arc<Connection>) -> WatchedStream {
        WatchedStream { stream, connection }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        if buffer.filled().len() > before {
            self.connection.record_bytes();
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes));
        self.connection.lock().last = Instant::now();
        Poll::Ready(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, slices));
        self.connection.lock().last = Instant::now();
        Poll::Ready(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Is called once all of an answer has been written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        let result = ready!(Pin::new(&mut self.stream).poll_flush(cx));
        let is_written = self.connection.lock().phase == Phase::Writing;
        if is_written {
            self.connection.begin(Phase::Idle);
        }
        Poll::Ready(result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
