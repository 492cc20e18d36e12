//! Server connections that faults can stall, reset or refuse.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Time between attempts to listen again after a crash, in milliseconds.
const BIND_RETRY_MS: u64 = 50;

/// State of one connection.
#[derive(Debug)]
struct Connection {
    stalled: AtomicBool,
    over_limit: bool,
    reset: CancellationToken,
}

/// The open connections of one server.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    open: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
    connections_max: usize,
    down: watch::Sender<bool>,
}

impl ConnectionTable {
    /// Creates a table for a server that serves at most `connections_max` connections at a time.
    pub(crate) fn new(connections_max: usize) -> Self {
        Self {
            open: Mutex::default(),
            connections_max,
            down: watch::Sender::new(false),
        }
    }

    /// Locks the open connections, also after a panic of another holder.
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Connection>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stalls every open connection for good; later connections are not affected.
    pub(crate) fn stall_open(&self) {
        for connection in self.lock().values() {
            connection.stalled.store(true, Ordering::Release);
        }
    }

    /// Resets the connection from `remote`.
    pub(crate) fn reset(&self, remote: SocketAddr) {
        if let Some(connection) = self.lock().get(&remote) {
            connection.reset.cancel();
        }
    }

    /// Returns whether the connection from `remote` was opened while the server was at its limit.
    pub(crate) fn is_over_limit(&self, remote: SocketAddr) -> bool {
        self.lock()
            .get(&remote)
            .is_some_and(|connection| connection.over_limit)
    }

    /// Stops listening and resets every connection, or listens again.
    pub(crate) fn set_down(&self, down: bool) {
        self.down.send_replace(down);
        if down {
            for connection in self.lock().values() {
                connection.reset.cancel();
            }
        }
    }

    /// Adds a connection; stalled ones do not count towards the limit.
    fn insert(&self, remote: SocketAddr) -> Arc<Connection> {
        let mut open = self.lock();
        let serving_count = open
            .values()
            .filter(|c| !c.stalled.load(Ordering::Acquire) && !c.over_limit)
            .count();
        let connection = Arc::new(Connection {
            stalled: AtomicBool::new(false),
            over_limit: serving_count >= self.connections_max,
            reset: CancellationToken::new(),
        });
        open.insert(remote, Arc::clone(&connection));
        connection
    }

    /// Removes a connection that has been closed.
    fn remove(&self, remote: SocketAddr, closed: &Arc<Connection>) {
        let mut open = self.lock();
        if open.get(&remote).is_some_and(|c| Arc::ptr_eq(c, closed)) {
            open.remove(&remote);
        }
    }
}

/// Accepts connections on a fixed address and adds them to a table.
#[derive(Debug)]
pub(crate) struct GatedAcceptor {
    address: SocketAddr,
    listener: Option<TcpListener>,
    table: Arc<ConnectionTable>,
    down: watch::Receiver<bool>,
}

impl GatedAcceptor {
    /// Listens on `address`.
    pub(crate) async fn bind(address: SocketAddr, table: Arc<ConnectionTable>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let down = table.down.subscribe();
        Ok(Self {
            address: listener.local_addr()?,
            listener: Some(listener),
            table,
            down,
        })
    }

    /// Returns the address that it listens on.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for a connection; `None` if the server went down or cannot listen yet.
    async fn accept_while_up(&mut self) -> io::Result<Option<(TcpStream, SocketAddr)>> {
        if self.listener.is_none() {
            self.listener = TcpListener::bind(self.address).await.ok();
        }
        let Some(listener) = &self.listener else {
            tokio::time::sleep(Duration::from_millis(BIND_RETRY_MS)).await;
            return Ok(None);
        };
        tokio::select! {
            accepted = listener.accept() => accepted.map(Some),
            _ = self.down.changed() => Ok(None),
        }
    }
}

impl Acceptor for GatedAcceptor {
    type Io = GatedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(GatedStream, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let is_down = *self.down.borrow_and_update();
            if is_down {
                self.listener = None;
                let _ = self.down.changed().await;
                continue;
            }
            if let Some((stream, remote)) = self.accept_while_up().await? {
                stream.set_nodelay(true)?;
                let stream = GatedStream::new(stream, remote, Arc::clone(&self.table));
                let local = LocalAddr(self.address.into());
                return Ok((stream, local, RemoteAddr(remote.into()), Scheme::HTTP));
            }
        }
    }
}

/// TCP stream that stalls or fails as the state of its connection says.
#[derive(Debug)]
pub(crate) struct GatedStream {
    inner: TcpStream,
    remote: SocketAddr,
    connection: Arc<Connection>,
    reset: Pin<Box<WaitForCancellationFutureOwned>>,
    table: Arc<ConnectionTable>,
}

impl GatedStream {
    /// Wraps a stream and adds its connection to the table.
    fn new(inner: TcpStream, remote: SocketAddr, table: Arc<ConnectionTable>) -> Self {
        let connection = table.insert(remote);
        let reset = Box::pin(connection.reset.clone().cancelled_owned());
        Self {
            inner,
            remote,
            connection,
            reset,
            table,
        }
    }

    /// Checks whether bytes may pass: fails once the connection was reset, and stays pending once
    /// it has stalled.
    fn poll_gate(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.reset.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if self.connection.stalled.load(Ordering::Acquire) {
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for GatedStream {
    fn drop(&mut self) {
        self.table.remove(self.remote, &self.connection);
    }
}

/// Returns from a poll function unless bytes may pass.
macro_rules! check_gate {
    ($stream:expr, $cx:expr) => {
        match $stream.poll_gate($cx) {
            Poll::Ready(Ok(())) => {}
            Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
            Poll::Pending => return Poll::Pending,
        }
    };
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        check_gate!(self, cx);
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        check_gate!(self, cx);
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        check_gate!(self, cx);
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        check_gate!(self, cx);
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
