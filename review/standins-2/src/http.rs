//! A small HTTP/1.1 server and client over blocking sockets, with JSON bodies.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

/// Stack of a connection's thread, in bytes.
const STACK_BYTES: usize = 512 * 1024;

/// A request as read.
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Value,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> u64 {
        self.query(name).parse().unwrap_or(0)
    }
}

/// What a handler does with a request.
pub enum Answer {
    /// Answers with a status and a body.
    Reply(u16, Value),
    /// Closes the connection without an answer.
    Close,
}

type Handler = dyn Fn(Request) -> Answer + Send + Sync;

/// Serves requests on a free loopback port; returns the address.
pub fn serve(handler: Arc<Handler>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = std::thread::Builder::new()
                .stack_size(STACK_BYTES)
                .spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Answer::Reply(status, body) => {
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Answer::Close => return,
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
            }
            None => return Some((first.trim_end().to_string(), headers)),
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> Option<Vec<u8>> {
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?.to_string();
    let body = read_body(reader, &headers)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_string(), decode_percent(value)))
        .collect();
    Some(Request {
        path: path.to_string(),
        query,
        headers,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    })
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let hex = (*first == b'%')
            .then(|| std::str::from_utf8(tail.get(..2)?).ok())
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        bytes.push(hex.unwrap_or(*first));
        rest = if hex.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Makes one call over a new connection; an error if there is no whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<&Value>,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let text = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(text)?;
    stream.set_read_timeout(Some(timeout)).map_err(text)?;
    let body = body.map_or_else(String::new, Value::to_string);
    let mut request = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        request += &format!("{name}: {value}\r\n");
    }
    request += &format!(
        "content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).map_err(text)?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok_or("no answer")?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .ok_or("no status")?;
    let body = read_body(&mut reader, &headers).ok_or("half an answer")?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
