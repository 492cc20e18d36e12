//! The stream of a connection between nodes: charges the bytes that it reads to the budget of the process, and fails when
//! the budget is used up.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context as TaskContext, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::byte_budget::Charge;
use crate::door::Connection;

/// A stream whose bytes are charged to the budget of the process, up to one frame, until it is dropped.
#[derive(Debug)]
pub(crate) struct ChargedStream {
    stream: TcpStream,
    connection: Arc<Connection>,
    charge: Charge,
    read_bytes: usize,
    frame_bytes: usize,
}

impl ChargedStream {
    /// Wraps the stream of a connection whose frames have at most `frame_bytes`.
    pub fn new(
        stream: TcpStream,
        connection: Arc<Connection>,
        charge: Charge,
        frame_bytes: usize,
    ) -> ChargedStream {
        ChargedStream {
            stream,
            connection,
            charge,
            read_bytes: 0,
            frame_bytes,
        }
    }
}

impl AsyncRead for ChargedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.charge.poll_withdrawn(cx).is_ready() {
            return Poll::Ready(Err(std::io::ErrorKind::OutOfMemory.into()));
        }
        let before = buffer.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        let more_bytes = buffer.filled().len() - before;
        if more_bytes > 0 {
            self.connection.record_bytes();
            self.read_bytes = self.frame_bytes.min(self.read_bytes + more_bytes);
            let read_bytes = self.read_bytes;
            if !self.charge.raise(read_bytes) {
                return Poll::Ready(Err(std::io::ErrorKind::OutOfMemory.into()));
            }
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for ChargedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
