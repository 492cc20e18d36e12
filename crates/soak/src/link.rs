//! A link between two processes: a TCP proxy that can be cut silently in either direction, delayed, refused or reset,
//! or lose its far end as when a machine loses power.
//!
//! While a link is cut, bytes wait and no connection opens: the queue of the listening socket is full, so that opening
//! packets are dropped. Afterwards what waited goes on.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Connections that may wait to be accepted while the link is whole.
const BACKLOG: i32 = 256;

/// How long a connection that fills the queue may take to open before the queue counts as full.
const FILL_WAIT: Duration = Duration::from_millis(15);

/// Most connections that fill the queue.
const FILLERS: usize = 300;

/// How long the far end may take to accept.
const FAR_WAIT: Duration = Duration::from_millis(500);

/// The state of a link. Counts allow for faults that overlap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkState {
    /// Faults that hold up what goes to the far end.
    pub to_cut: u32,
    /// Faults that hold up what comes back.
    pub back_cut: u32,
    /// Faults that have connections refused; open ones go on.
    pub refused: u32,
    /// Delay of each piece, each way.
    pub delay_ms: u64,
    /// How often the far end has lost power: older connections are dead.
    pub power_losses: u32,
    /// How often all connections were reset.
    pub resets: u32,
}

impl LinkState {
    fn is_silent(&self) -> bool {
        self.to_cut + self.back_cut > 0
    }
}

/// A link to an address. Dropping it ends its connections.
#[derive(Debug)]
pub struct Link {
    /// Where it takes connections.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    accepting: tokio::task::JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Link {
    /// Opens a link at `address`, or at a free port there if it names none, to `target`.
    pub fn open(address: SocketAddr, target: SocketAddr) -> io::Result<Link> {
        let (state, watched) = watch::channel(LinkState::default());
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let accepting = tokio::spawn(accept(listener, target, watched));
        Ok(Link {
            address,
            state,
            accepting,
        })
    }

    /// Changes the state.
    pub fn change(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(change);
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG as u32)
}

async fn accept(first: TcpListener, target: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let Ok(address) = first.local_addr() else {
        return;
    };
    let mut listener = Some(first);
    let mut fillers = HashSet::new();
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let now = *state.borrow_and_update();
        if now.refused > 0 {
            listener = None;
        } else if listener.is_none() {
            listener = listen(address).ok();
        }
        let Some(open) = &listener else {
            if now.refused == 0 {
                sleep(Duration::from_millis(5)).await;
            } else if state.changed().await.is_err() {
                return;
            }
            continue;
        };
        if now.is_silent() {
            let held = fill(open, address).await;
            let heard = state
                .wait_for(|now| !now.is_silent() || now.refused > 0)
                .await
                .is_ok();
            if !heard {
                return;
            }
            fillers.extend(held.iter().filter_map(|filler| filler.local_addr().ok()));
            let _ = rustix::net::listen(open, BACKLOG);
            continue;
        }
        tokio::select! {
            changed = state.changed() => if changed.is_err() { return },
            accepted = open.accept() => {
                if let Ok((near, peer)) = accepted
                    && !fillers.remove(&peer)
                {
                    connections.spawn(carry(near, target, state.clone()));
                }
                while connections.try_join_next().is_some() {}
            }
        }
    }
}

/// Fills the queue of a listening socket, so that no more connections open; returns what fills it.
async fn fill(listener: &TcpListener, address: SocketAddr) -> Vec<TcpStream> {
    let mut held = Vec::new();
    let _ = rustix::net::listen(listener, 0);
    while held.len() < FILLERS {
        match timeout(FILL_WAIT, TcpStream::connect(address)).await {
            Ok(Ok(filler)) => held.push(filler),
            _ => break,
        }
    }
    held
}

/// Carries one connection until it ends.
async fn carry(mut near: TcpStream, target: SocketAddr, state: watch::Receiver<LinkState>) {
    let opened = *state.borrow();
    let Ok(Ok(mut far)) = timeout(FAR_WAIT, TcpStream::connect(target)).await else {
        let _ = near.set_zero_linger();
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let mut resets = state.clone();
    let ended = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let there = pump(
            near_read,
            far_write,
            state.clone(),
            opened,
            |s| s.to_cut,
            true,
        );
        let back = pump(far_read, near_write, state, opened, |s| s.back_cut, false);
        tokio::select! {
            ended = async { tokio::try_join!(there, back) } => ended.is_ok(),
            _ = resets.wait_for(|now| now.resets != opened.resets) => false,
        }
    };
    if !ended {
        let _ = (near.set_zero_linger(), far.set_zero_linger());
    }
}

/// Passes bytes on in one direction until their end; an error if the connection is broken.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut state: watch::Receiver<LinkState>,
    opened: LinkState,
    cut: impl Fn(&LinkState) -> u32,
    from_near: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; 16_384];
    loop {
        let read = from.read(&mut buffer).await;
        let delay_ms = state.borrow().delay_ms;
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        // A link that is gone carries nothing.
        let now = *state
            .wait_for(|now| cut(now) == 0)
            .await
            .map_err(io::Error::other)?;
        if now.power_losses != opened.power_losses {
            if !from_near {
                // The near end hears nothing of its far end's loss of power.
                return std::future::pending().await;
            }
            // A machine that is back resets connections of its earlier incarnation once something arrives on them.
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        match read? {
            0 => return to.shutdown().await,
            length => to.write_all(&buffer[..length]).await?,
        }
    }
}
