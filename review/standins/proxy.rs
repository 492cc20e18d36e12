//! A link: a TCP proxy that can be cut silently, or lose its far end as when a machine loses power.
//!
//! While it is cut, bytes wait, and new channels don't open: the listening socket's queue is full, so that opening packets
//! are dropped. Afterwards what waited goes on.

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::site::free_address;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// The state of a link.
#[derive(Default)]
struct Shared {
    /// 0 while the link is whole, 1 while it is cut.
    cut: AtomicU64,
    /// How often the far end has lost power; channels of earlier times are dead.
    power_losses: AtomicU64,
    /// The proxy's own channels that fill the queue.
    fillers: Mutex<HashSet<SocketAddr>>,
}

/// A link to an address.
pub struct Link {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    held: Mutex<Vec<TcpStream>>,
}

impl Link {
    /// Opens a link to `target`.
    pub fn open(target: SocketAddr) -> Link {
        let address = free_address();
        let listener = TcpListener::bind(address).unwrap();
        let shared = Arc::new(Shared::default());
        let accepting = shared.clone();
        thread::spawn(move || accept(&listener, target, &accepting));
        Link {
            address,
            shared,
            held: Mutex::default(),
        }
    }

    /// Cuts the link silently, both ways.
    pub fn cut(&self) {
        self.shared.cut.store(1, Ordering::SeqCst);
        // The accepting thread needs a moment to stop; what it still accepts is a filler.
        thread::sleep(Duration::from_millis(30));
        let mut held = self.held.lock().unwrap();
        for _ in 0..32 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(15)) {
                Ok(filler) => {
                    let own = filler.local_addr().unwrap();
                    self.shared.fillers.lock().unwrap().insert(own);
                    held.push(filler);
                }
                Err(_) => return,
            }
        }
    }

    /// Heals the link.
    pub fn heal(&self) {
        self.held.lock().unwrap().clear();
        self.shared.cut.store(0, Ordering::SeqCst);
    }

    /// The far end has lost power: its channels are silent from now on, and no new ones open until [`Link::heal`].
    pub fn lose_power(&self) {
        self.shared.power_losses.fetch_add(1, Ordering::SeqCst);
        self.cut();
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, shared: &Arc<Shared>) {
    // SAFETY: the socket is open; a second call only changes the length of its queue.
    unsafe { listen(listener.as_raw_fd(), 1) };
    listener.set_nonblocking(true).unwrap();
    loop {
        if shared.cut.load(Ordering::SeqCst) == 1 {
            thread::sleep(Duration::from_millis(2));
            continue;
        }
        match listener.accept() {
            Ok((near, peer)) => {
                if shared.fillers.lock().unwrap().remove(&peer) {
                    continue;
                }
                near.set_nonblocking(false).unwrap();
                let Ok(far) = TcpStream::connect_timeout(&target, Duration::from_millis(300))
                else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let epoch = shared.power_losses.load(Ordering::SeqCst);
                let (near_too, far_too) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                let (there, back) = (shared.clone(), shared.clone());
                thread::spawn(move || pump(near, far, &there, epoch, true));
                thread::spawn(move || pump(far_too, near_too, &back, epoch, false));
            }
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    }
}

/// Passes bytes on in one direction.
fn pump(mut from: TcpStream, mut to: TcpStream, shared: &Shared, epoch: u64, from_near: bool) {
    let mut buffer = [0; 16_384];
    let dead = || shared.power_losses.load(Ordering::SeqCst) != epoch;
    let wait = || {
        while shared.cut.load(Ordering::SeqCst) == 1 {
            thread::sleep(Duration::from_millis(2));
        }
    };
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        if dead() && !from_near {
            // The near end hears nothing of its far end's death.
            return;
        }
        wait();
        if dead() || read == 0 || to.write_all(&buffer[..read]).is_err() {
            // A machine that is back resets channels of its earlier life once something arrives on them.
            let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
            return;
        }
    }
}
