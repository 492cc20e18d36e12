//! A link to a worker that can be cut silently, or whose far end can lose power.
//!
//! While it is cut, bytes wait and new connections do not open: the queue of its listener is full.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch::{Receiver, Sender, channel};
use tokio::time::timeout;

/// Length of the listener's queue.
const BACKLOG: u32 = 1;

/// The most connections that fill the listener's queue.
const MAX_FILLERS: usize = 32;

/// How long a connection takes that does not open.
const OPENS_WITHIN: Duration = Duration::from_millis(30);

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct State {
    is_cut: bool,
    /// How often the far end has lost power; earlier connections are dead.
    power_losses: u32,
}

/// A link to a worker.
pub struct SilentLink {
    pub address: SocketAddr,
    state: Sender<State>,
    fillers: Vec<TcpStream>,
}

impl SilentLink {
    /// Opens a link to a server.
    pub async fn open(server: SocketAddr) -> SilentLink {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(BACKLOG).unwrap();
        let address = listener.local_addr().unwrap();
        let (state, seen) = channel(State::default());
        tokio::spawn(accept(listener, server, seen));
        SilentLink {
            address,
            state,
            fillers: Vec::new(),
        }
    }

    /// Cuts the link silently, both ways.
    pub async fn cut(&mut self) {
        self.state.send_modify(|state| state.is_cut = true);
        while self.fillers.len() < MAX_FILLERS {
            match timeout(OPENS_WITHIN, TcpStream::connect(self.address)).await {
                Ok(filler) => self.fillers.push(filler.unwrap()),
                Err(_) => return,
            }
        }
        panic!("the queue does not fill");
    }

    /// Cuts the link as its far end loses power: connections that are open now never carry anything again.
    pub async fn lose_power(&mut self) {
        self.state.send_modify(|state| state.power_losses += 1);
        self.cut().await;
    }

    /// Heals the link.
    pub fn heal(&mut self) {
        self.fillers.clear();
        self.state.send_modify(|state| state.is_cut = false);
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, mut state: Receiver<State>) {
    loop {
        let Ok(open) = state.wait_for(|state| !state.is_cut).await.map(|s| *s) else {
            return;
        };
        let mut changes = state.clone();
        tokio::select! {
            biased;
            _ = changes.wait_for(|state| state.is_cut) => {}
            client = listener.accept() => {
                if let Ok((client, _)) = client {
                    tokio::spawn(carry(client, server, state.clone(), open.power_losses));
                }
            }
        }
    }
}

/// Carries one connection until either side closes it, or the far end has lost power and the near one sends.
async fn carry(client: TcpStream, server: SocketAddr, state: Receiver<State>, power_losses: u32) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (requests_in, answers_out) = client.into_split();
    let (answers_in, requests_out) = server.into_split();
    tokio::select! {
        _ = pass_on(requests_in, requests_out, state.clone(), power_losses) => {}
        is_dead = pass_on(answers_in, answers_out, state, power_losses) => {
            if is_dead {
                // The near end hears nothing of it.
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Passes bytes on in one direction; returns whether the far end has lost power.
async fn pass_on(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: Receiver<State>,
    power_losses: u32,
) -> bool {
    let mut part = vec![0; 16_384];
    loop {
        let len_bytes = from.read(&mut part).await.unwrap_or(0);
        let Ok(open) = state.wait_for(|state| !state.is_cut).await.map(|s| *s) else {
            return false;
        };
        if open.power_losses != power_losses {
            return true;
        }
        if len_bytes == 0 || to.write_all(&part[..len_bytes]).await.is_err() {
            return false;
        }
    }
}
