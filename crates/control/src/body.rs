//! Collects the body of a request, within its own limit and the budget of the process.

use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use futures::Stream;
use poem::http::{HeaderMap, header};
use poem::{Body, Request};

use crate::byte_budget::Charge;
use crate::door::{Connection, Phase};
use crate::metrics::Counter;
use crate::node::Node;
use crate::reply::Reply;

/// The first buffer of a body: most jobs are smaller.
const FIRST_BUFFER_BYTES: usize = 4 * 1024;

/// A whole body; it counts towards the budget of the process until dropped.
#[derive(Debug, Default)]
pub(crate) struct CollectedBody {
    pub bytes: Vec<u8>,
    charge: Option<Charge>,
}

/// Returns whether a request announces a body.
pub(crate) fn has_body(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING)
        || announced_bytes(headers).is_some_and(|bytes| bytes > 0)
}

fn announced_bytes(headers: &HeaderMap) -> Option<usize> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Collects the body of a request; the refusal if it is too large, comes too slowly, or finds no room.
pub(crate) async fn collect_body(
    node: &Node,
    request: &mut Request,
    limit_bytes: usize,
) -> Result<CollectedBody, Reply> {
    if !has_body(request.headers()) {
        return Ok(CollectedBody::default());
    }
    let announced_bytes = announced_bytes(request.headers());
    if announced_bytes.is_some_and(|bytes| bytes > limit_bytes) {
        return Err(refuse_too_large(limit_bytes));
    }
    let longest_bytes = announced_bytes.unwrap_or(limit_bytes);
    let collecting = CollectedBody {
        bytes: Vec::new(),
        charge: Some(node.byte_budget.start()),
    };
    let connection = request.extensions().get::<Arc<Connection>>().cloned();
    begin(&connection, Phase::Body);
    let body_ms = node.settings.limits.body_ms;
    let collected = collect(collecting, request.take_body(), longest_bytes);
    let collected = tokio::time::timeout(Duration::from_millis(body_ms), collected).await;
    begin(&connection, Phase::Answering);
    collected.unwrap_or_else(|_| {
        let detail = format!("the body took longer than {body_ms} ms");
        Err(Reply::refused(Counter::RefusedSlow, detail))
    })
}

fn begin(connection: &Option<Arc<Connection>>, phase: Phase) {
    if let Some(connection) = connection {
        connection.begin(phase);
    }
}

fn refuse_too_large(limit_bytes: usize) -> Reply {
    let detail = format!("the body is larger than {limit_bytes} bytes");
    Reply::refused(Counter::RefusedTooLarge, detail)
}

fn refuse_full() -> Reply {
    let detail = "too much is being received at once";
    Reply::refused(Counter::RefusedFull, detail)
}

async fn collect(
    mut collected: CollectedBody,
    body: Body,
    longest_bytes: usize,
) -> Result<CollectedBody, Reply> {
    let mut stream = pin!(body.into_bytes_stream());
    loop {
        let charge = &collected.charge;
        let piece = std::future::poll_fn(|cx| {
            if let Some(charge) = charge
                && charge.poll_withdrawn(cx).is_ready()
            {
                return Poll::Ready(Err(refuse_full()));
            }
            stream.as_mut().poll_next(cx).map(Ok)
        });
        match piece.await? {
            Some(Ok(piece)) => collected.append(&piece, longest_bytes)?,
            Some(Err(e)) => return Err(Reply::refused(Counter::RefusedMalformed, e.to_string())),
            None => break,
        }
    }
    match collected.charge.as_mut().is_none_or(Charge::fix) {
        true => Ok(collected),
        false => Err(refuse_full()),
    }
}

impl CollectedBody {
    /// Appends a piece; the charge is that of the buffer.
    fn append(&mut self, piece: &[u8], longest_bytes: usize) -> Result<(), Reply> {
        let length = self.bytes.len() + piece.len();
        if length > longest_bytes {
            return Err(refuse_too_large(longest_bytes));
        }
        if length > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).max(FIRST_BUFFER_BYTES);
            let buffer_bytes = doubled.max(length).min(longest_bytes);
            let charge = self.charge.as_mut();
            if charge.is_some_and(|charge| !charge.raise(buffer_bytes)) {
                return Err(refuse_full());
            }
            self.bytes.reserve_exact(buffer_bytes - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }
}
