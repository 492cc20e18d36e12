//! Free addresses for the processes of a play.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::net::TcpSocket;

/// Hands out free addresses. Each play has an IP address of its own, where no outgoing connection takes a port.
#[derive(Debug)]
pub(crate) struct Addresses {
    ip: Ipv4Addr,
    next_port: u16,
}

impl Addresses {
    pub(crate) fn new() -> Addresses {
        static PLAYS: AtomicU32 = AtomicU32::new(0);
        let play = PLAYS.fetch_add(1, Ordering::SeqCst) as u16;
        let [_, high, middle, low] = std::process::id().to_be_bytes();
        Addresses {
            ip: Ipv4Addr::new(127, 16 + high % 64, middle, low),
            next_port: 10_000 + (play % 25) * 2_000,
        }
    }

    pub(crate) fn next(&mut self) -> SocketAddr {
        loop {
            self.next_port += 1;
            let address = SocketAddr::from((self.ip, self.next_port));
            // A socket that listened would be in the way for a moment if another thread forks just now.
            let bound = TcpSocket::new_v4().is_ok_and(|socket| {
                socket.set_reuseaddr(true).is_ok() && socket.bind(address).is_ok()
            });
            if bound {
                return address;
            }
        }
    }
}
