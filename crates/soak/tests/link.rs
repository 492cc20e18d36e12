//! Links do to connections what the faults of networks and machines do.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use soak::{Link, LinkState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Within this time nothing may come through.
const SILENCE: Duration = Duration::from_millis(200);

/// Within this time something has to come through. An opening packet that was dropped is sent again after seconds.
const LIMIT: Duration = Duration::from_secs(20);

/// Starts a server that sends back what it gets.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

/// Opens a link at an IP address where no outgoing connection takes a port.
async fn link_to_echo() -> Link {
    let address = SocketAddr::from(([127, 9, 0, 1], 0));
    Link::open(address, echo().await).unwrap()
}

async fn exchange(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"x").await?;
    stream.read_exact(&mut [0]).await.map(|_| ())
}

#[rstest]
#[case::both_ways(1, 1)]
#[case::there(1, 0)]
#[case::back(0, 1)]
#[tokio::test]
async fn cut_holds_bytes_and_drops_opening_packets(#[case] to_cut: u32, #[case] back_cut: u32) {
    let link = link_to_echo().await;
    let mut open = TcpStream::connect(link.address).await.unwrap();
    exchange(&mut open).await.unwrap();
    link.change(|state| (state.to_cut, state.back_cut) = (to_cut, back_cut));
    sleep(SILENCE).await;
    let mut opening = std::pin::pin!(TcpStream::connect(link.address));
    assert!(timeout(SILENCE, exchange(&mut open)).await.is_err());
    assert!(timeout(SILENCE, &mut opening).await.is_err());
    link.change(|state| *state = LinkState::default());
    let held = timeout(LIMIT, open.read_exact(&mut [0])).await;
    held.unwrap().unwrap();
    let mut opened = timeout(LIMIT, opening).await.unwrap().unwrap();
    timeout(LIMIT, exchange(&mut opened))
        .await
        .unwrap()
        .unwrap();
}

#[tokio::test]
async fn power_loss_is_silent_until_the_machine_is_back() {
    let link = link_to_echo().await;
    let mut open = TcpStream::connect(link.address).await.unwrap();
    exchange(&mut open).await.unwrap();
    link.change(|state| {
        state.power_losses += 1;
        state.to_cut += 1;
        state.back_cut += 1;
    });
    assert!(timeout(SILENCE, exchange(&mut open)).await.is_err());
    link.change(|state| {
        state.to_cut -= 1;
        state.back_cut -= 1;
    });
    let reset = timeout(LIMIT, open.read(&mut [0])).await.unwrap();
    assert_eq!(reset.unwrap_err().kind(), ErrorKind::ConnectionReset);
    let mut next = TcpStream::connect(link.address).await.unwrap();
    exchange(&mut next).await.unwrap();
}

#[tokio::test]
async fn refused_link_keeps_open_connections() {
    let link = link_to_echo().await;
    let mut open = TcpStream::connect(link.address).await.unwrap();
    exchange(&mut open).await.unwrap();
    link.change(|state| state.refused += 1);
    sleep(SILENCE).await;
    let refused = TcpStream::connect(link.address).await.unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    exchange(&mut open).await.unwrap();
    link.change(|state| state.refused -= 1);
    let again = async {
        while TcpStream::connect(link.address).await.is_err() {
            sleep(SILENCE).await;
        }
    };
    timeout(LIMIT, again).await.unwrap();
}

#[tokio::test]
async fn reset_breaks_open_connections() {
    let link = link_to_echo().await;
    let mut open = TcpStream::connect(link.address).await.unwrap();
    exchange(&mut open).await.unwrap();
    link.change(|state| state.resets += 1);
    let broken = timeout(LIMIT, open.read(&mut [0])).await.unwrap();
    assert_eq!(broken.unwrap_err().kind(), ErrorKind::ConnectionReset);
}
