//! The platform's store: items with revisions, leases, conditional changes and watches.
//!
//! The calls under `/standin/` are for the operator, the workers and other writers, whose way of writing our pages leave
//! open.

use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Answer, Call, serve};
use crate::json::{Json, List, int, map, text};

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
    /// When an entry of a worker expires unless it is written again.
    expires: Option<Instant>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (u64, Instant)>,
    history: Vec<(u64, String, Json)>,
}

#[derive(Default)]
struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// Runs the store until the process ends.
pub fn run(listener: TcpListener) {
    let store = Arc::new(Store::default());
    store.lock().revision = 1;
    serve(listener, move |call| store.handle(call));
}

fn encode(key: &str, item: &Item) -> Json {
    map([
        ("key", text(key)),
        ("value", text(&item.value)),
        ("revision", int(item.revision)),
        ("created", int(item.created)),
        ("lease", int(item.lease)),
    ])
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64, ttl_ms: u64) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let expires = (ttl_ms > 0).then(|| Instant::now() + Duration::from_millis(ttl_ms));
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
            expires,
        };
        self.history
            .push((self.revision, key.to_string(), encode(key, &item)));
        self.items.insert(key.to_string(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = map([
                ("key", text(key)),
                ("revision", int(self.revision)),
                ("removed", Json::Bool(true)),
            ]);
            self.history.push((self.revision, key.to_string(), event));
        }
    }

    /// Removes what has expired.
    fn expire(&mut self) {
        let now = Instant::now();
        let leases: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in leases {
            self.end_lease(lease);
        }
        let due: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.expires.is_some_and(|at| at <= now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.revision += 1;
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn txn(&mut self, body: &Json) -> Answer {
        let conditions = body.get("precondition").list();
        let holds = conditions.iter().all(|row| {
            let found = self.items.get(row.get("key").str());
            found.map_or(0, |item| item.revision) == row.get("revision").u64()
        });
        if !holds {
            let items = conditions
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").str();
                    self.items.get(key).map(|item| encode(key, item))
                })
                .collect();
            return (412, map([("items", List(items))]));
        }
        let puts = body.get("puts").list();
        let ended = puts
            .iter()
            .map(|put| put.get("lease").u64())
            .any(|lease| lease != 0 && !self.leases.contains_key(&lease));
        if ended {
            return (404, map([]));
        }
        self.revision += 1;
        for put in puts {
            let value = put.get("value").str().to_string();
            self.put(put.get("key").str(), value, put.get("lease").u64(), 0);
        }
        for key in body.get("remove").list() {
            self.remove(key.str());
        }
        (200, map([("revision", int(self.revision))]))
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn handle(&self, call: &Call) -> Answer {
        if call.path == "/kv-watch" {
            return self.watch(call);
        }
        let mut state = self.lock();
        state.expire();
        let answer = self.handle_locked(call, &mut state);
        drop(state);
        self.changed.notify_all();
        answer
    }

    fn handle_locked(&self, call: &Call, state: &mut State) -> Answer {
        let number = call
            .path
            .rsplit('/')
            .next()
            .and_then(|t| t.parse::<u64>().ok());
        match (call.path.as_str(), number) {
            ("/kv-key", _) => {
                let found = state.items.get(call.query("key"));
                let mut body = found.map_or(map([]), |item| encode(call.query("key"), item));
                if let Json::Map(fields) = &mut body {
                    fields.insert("current_rev".into(), int(state.revision));
                }
                (if found.is_some() { 200 } else { 404 }, body)
            }
            ("/kv-range", _) => {
                let (prefix, after) = (call.query("prefix"), call.query("after"));
                let items = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                    .map(|(key, item)| encode(key, item))
                    .collect();
                let fields = [
                    ("items", List(items)),
                    ("more_pages", Json::Bool(false)),
                    ("current_rev", int(state.revision)),
                ];
                (200, map(fields))
            }
            ("/kv-txn", _) => state.txn(&call.body),
            ("/kv-lease", _) => {
                let ttl_ms = call.body.get("ttl_ms").u64().max(1_000);
                state.revision += 1;
                let lease = state.revision;
                let end = Instant::now() + Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (ttl_ms, end));
                (200, map([("lease", int(lease)), ("ttl_ms", int(ttl_ms))]))
            }
            (path, Some(lease)) if path.starts_with("/kv-keep/") => {
                match state.leases.get_mut(&lease) {
                    Some((ttl_ms, end)) => {
                        *end = Instant::now() + Duration::from_millis(*ttl_ms);
                        (200, map([("ttl_ms", int(*ttl_ms))]))
                    }
                    None => (404, map([])),
                }
            }
            (path, Some(lease)) if path.starts_with("/kv-lease-end/") => {
                state.end_lease(lease);
                (200, map([]))
            }
            ("/standin/put", _) => {
                state.revision += 1;
                let value = encode_base64(call.body.get("value").str().as_bytes());
                let ttl_ms = call.body.get("ttl_ms").u64();
                state.put(call.body.get("key").str(), value, 0, ttl_ms);
                (200, map([("revision", int(state.revision))]))
            }
            ("/standin/remove", _) => {
                state.revision += 1;
                state.remove(call.body.get("key").str());
                (200, map([]))
            }
            _ => (404, map([])),
        }
    }

    fn watch(&self, call: &Call) -> Answer {
        let (prefix, after) = (call.query("prefix"), call.number("after"));
        let end = Instant::now() + Duration::from_millis(call.number("wait_ms"));
        let mut state = self.lock();
        loop {
            state.expire();
            let events: Vec<Json> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, _, event)| event.clone())
                .collect();
            if !events.is_empty() || Instant::now() >= end {
                let current = int(state.revision);
                return (
                    200,
                    map([("events", List(events)), ("current_rev", current)]),
                );
            }
            let pause = Duration::from_millis(20);
            state = self.changed.wait_timeout(state, pause).unwrap().0;
        }
    }
}

/// Encodes bytes as standard base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize];
            out.push(if at <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    out
}
