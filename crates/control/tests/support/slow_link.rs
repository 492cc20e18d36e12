//! A link over which answers, or calls too, arrive at a limited rate.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Time between two parts of an answer.
const PART_PAUSE: Duration = Duration::from_millis(20);

/// Starts a link to a server; returns the address at which its clients connect. Each connection carries at most
/// `bytes_per_s` of answers.
pub async fn start_slow_link(server: SocketAddr, bytes_per_s: usize) -> SocketAddr {
    start(server, bytes_per_s, usize::MAX).await
}

/// Starts a link that is slow in both directions; each connection carries at most `bytes_per_s` in each.
pub async fn start_slow_two_way_link(server: SocketAddr, bytes_per_s: usize) -> SocketAddr {
    start(server, bytes_per_s, bytes_per_s).await
}

async fn start(
    server: SocketAddr,
    answer_bytes_per_s: usize,
    call_bytes_per_s: usize,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(carry(client, server, answer_bytes_per_s, call_bytes_per_s));
        }
    });
    address
}

/// Carries one connection until either side closes it.
async fn carry(
    client: TcpStream,
    server: SocketAddr,
    answer_bytes_per_s: usize,
    call_bytes_per_s: usize,
) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (mut requests_in, answers_out) = client.into_split();
    let (answers_in, mut requests_out) = server.into_split();
    let carry_calls = async {
        match call_bytes_per_s {
            usize::MAX => _ = copy(&mut requests_in, &mut requests_out).await,
            _ => carry_slowly(requests_in, requests_out, call_bytes_per_s).await,
        }
    };
    tokio::select! {
        () = carry_calls => {}
        () = carry_slowly(answers_in, answers_out, answer_bytes_per_s) => {}
    }
}

async fn carry_slowly(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes_per_s: usize) {
    let part_len_bytes = bytes_per_s * PART_PAUSE.as_millis() as usize / 1_000;
    let mut part = vec![0; part_len_bytes];
    while let Ok(len_bytes) = from.read(&mut part).await {
        if len_bytes == 0 || to.write_all(&part[..len_bytes]).await.is_err() {
            return;
        }
        tokio::time::sleep(PART_PAUSE).await;
    }
}
