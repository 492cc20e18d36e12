//! HTTP/1.1 over TCP: a server with one thread per connection, and a client that opens a connection for each call.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::json::Json;

/// A call that a stand-in received.
pub struct Call {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    /// Names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Json,
}

impl Call {
    pub fn query(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> u64 {
        self.query(name).parse().unwrap_or(0)
    }
}

/// An answer: status and body.
pub type Answer = (u16, Json);

/// Serves calls on a listener until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(&Call) -> Answer + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    for connection in listener.incoming().flatten() {
        let handler = handler.clone();
        thread::spawn(move || {
            let _ = connection.set_nodelay(true);
            let Ok(writer) = connection.try_clone() else {
                return;
            };
            let (mut reader, mut writer) = (BufReader::new(connection), writer);
            while let Ok(Some((first, headers, body))) = read_message(&mut reader) {
                let mut words = first.split(' ');
                let method = words.next().unwrap_or_default().to_string();
                let target = words.next().unwrap_or_default();
                let (path, query) = target.split_once('?').unwrap_or((target, ""));
                let call = Call {
                    method,
                    path: path.to_string(),
                    query: query
                        .split('&')
                        .filter_map(|pair| pair.split_once('='))
                        .map(|(k, v)| (k.to_string(), percent_decode(v)))
                        .collect(),
                    headers,
                    body: Json::parse(&body),
                };
                let (status, body) = handler(&call);
                let body = body.to_string();
                let answer = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

/// A first line, the headers and a body.
type Message = (String, HashMap<String, String>, Vec<u8>);

fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_string(), headers, body)))
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        out.push(hex.unwrap_or(bytes[at]));
        at += if hex.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes a call; an error if there is no whole answer within `timeout_ms`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: Option<&Json>,
    timeout_ms: u64,
) -> io::Result<Answer> {
    let timeout = Duration::from_millis(timeout_ms);
    let mut connection = TcpStream::connect_timeout(&address, timeout)?;
    connection.set_nodelay(true)?;
    connection.set_read_timeout(Some(timeout))?;
    let body = body.map_or(String::new(), Json::to_string);
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head += &format!("host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "content-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    connection.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(connection);
    let Some((first, _, body)) = read_message(&mut reader)? else {
        return Err(io::Error::other("the channel ended without an answer"));
    };
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .ok_or_else(|| io::Error::other("no status"))?;
    Ok((status, Json::parse(&body)))
}
