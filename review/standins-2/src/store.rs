//! The platform's store: items with revisions, leases, conditional changes and watches.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Answer, Request, serve};

/// Most items on one page.
const PAGE_ITEMS: usize = 500;

/// Most bytes of values on one page.
const PAGE_BYTES: usize = 1_000_000;

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
    expires: Option<Instant>,
}

impl Item {
    fn to_json(&self, key: &str) -> Value {
        json!({"key": key, "value": self.value, "revision": self.revision, "created": self.created, "lease": self.lease})
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (u64, Instant)>,
    history: Vec<(u64, String, Value)>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64, expires: Option<Instant>) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
            expires,
        };
        self.history
            .push((revision, key.to_string(), item.to_json(key)));
        self.items.insert(key.to_string(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({"key": key, "revision": self.revision, "removed": true});
            self.history.push((self.revision, key.to_string(), event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in over {
            self.end_lease(lease);
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.expires.is_some_and(|end| end <= now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
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

    fn change(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let conditions = rows("precondition");
        let current = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        if conditions.len() + rows("puts").len() + rows("remove").len() > 32 {
            return (400, json!({}));
        }
        let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
        if conditions
            .iter()
            .any(|row| current(&text(&row["key"])) != row["revision"].as_u64().unwrap_or(0))
        {
            let items: Vec<Value> = conditions
                .iter()
                .filter_map(|row| {
                    let key = text(&row["key"]);
                    self.items.get(&key).map(|item| item.to_json(&key))
                })
                .collect();
            return (412, json!({"items": items}));
        }
        let lease = |put: &Value| put["lease"].as_u64().unwrap_or(0);
        if rows("puts")
            .iter()
            .any(|put| lease(put) != 0 && !self.leases.contains_key(&lease(put)))
        {
            return (404, json!({}));
        }
        self.revision += 1;
        for put in rows("puts") {
            self.put(&text(&put["key"]), text(&put["value"]), lease(&put), None);
        }
        for key in rows("remove") {
            self.remove(&text(&key));
        }
        (200, json!({"revision": self.revision}))
    }
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Whether some of the writes are carried out late and not answered.
    late: AtomicBool,
    /// Counts writes while that is so.
    writes: AtomicU64,
}

/// Of this many writes one is carried out late, while that is so.
const ONE_LATE_OF: u64 = 3;

/// How late, in turn.
const LATE_MS: [u64; 5] = [5_800, 3_000, 4_900, 1_500, 5_400];

impl Store {
    /// Starts the store; returns it and its address.
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store::default());
        store.lock().revision = 1;
        let shared = store.clone();
        let address = serve(Arc::new(move |request| handle(&shared, request)));
        let shared = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                shared.lock().expire();
                shared.changed.notify_all();
            }
        });
        (store, address)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("the store's state")
    }

    /// Writes an item as the operator or a worker does; with `ttl` it ends unless it is written again.
    pub fn write(&self, key: &str, value: &Value, ttl: Option<Duration>) {
        let mut state = self.lock();
        state.revision += 1;
        let value = encode_base64(value.to_string().as_bytes());
        state.put(key, value, 0, ttl.map(|ttl| Instant::now() + ttl));
        self.changed.notify_all();
    }

    /// Lets a third of the writes be carried out late and not answered, from now on or no longer.
    pub fn set_late(&self, late: bool) {
        self.late.store(late, Ordering::SeqCst);
    }

    fn answer(&self, request: &Request) -> (u16, Value) {
        if request.path == "/kv-watch" {
            return self.watch(request);
        }
        let mut state = self.lock();
        state.expire();
        let last: u64 = request
            .path
            .rsplit('/')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        match request.path.as_str() {
            "/kv-key" => {
                let key = request.query("key");
                let mut body = state
                    .items
                    .get(key)
                    .map_or_else(|| json!({}), |item| item.to_json(key));
                let status = if state.items.contains_key(key) {
                    200
                } else {
                    404
                };
                body["current_rev"] = json!(state.revision);
                (status, body)
            }
            "/kv-range" => {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let mut items = Vec::new();
                let (mut bytes, mut more) = (0, false);
                let found = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
                for (key, item) in found {
                    if items.len() >= PAGE_ITEMS || bytes > PAGE_BYTES {
                        more = true;
                        break;
                    }
                    bytes += item.value.len();
                    items.push(item.to_json(key));
                }
                (
                    200,
                    json!({"items": items, "more_pages": more, "current_rev": state.revision}),
                )
            }
            "/kv-txn" => state.change(&request.body),
            "/kv-lease" => {
                let ttl_ms = request.body["ttl_ms"].as_u64().unwrap_or(1_000).max(1_000);
                state.revision += 1;
                let lease = state.revision;
                let end = Instant::now() + Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (ttl_ms, end));
                (200, json!({"lease": lease, "ttl_ms": ttl_ms}))
            }
            path if path.starts_with("/kv-keep/") => match state.leases.get_mut(&last) {
                Some((ttl_ms, end)) => {
                    *end = Instant::now() + Duration::from_millis(*ttl_ms);
                    (200, json!({"ttl_ms": *ttl_ms}))
                }
                None => (404, json!({})),
            },
            path if path.starts_with("/kv-lease-end/") => {
                state.end_lease(last);
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn watch(&self, request: &Request) -> (u16, Value) {
        let (prefix, after) = (request.query("prefix"), request.number("after"));
        let end = Instant::now() + Duration::from_millis(request.number("wait_ms"));
        let mut state = self.lock();
        loop {
            let events: Vec<&Value> = state
                .history
                .iter()
                .rev()
                .take_while(|(revision, _, _)| *revision > after)
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(_, _, event)| event)
                .collect();
            if !events.is_empty() || Instant::now() >= end {
                let events: Vec<&Value> = events.into_iter().rev().collect();
                return (
                    200,
                    json!({"events": events, "current_rev": state.revision}),
                );
            }
            let wait = Duration::from_millis(20);
            state = self
                .changed
                .wait_timeout(state, wait)
                .expect("the store's state")
                .0;
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

fn handle(store: &Arc<Store>, request: Request) -> Answer {
    if request.path == "/kv-txn" && store.late.load(Ordering::SeqCst) {
        let write = store.writes.fetch_add(1, Ordering::SeqCst);
        if write.is_multiple_of(ONE_LATE_OF) {
            let late_ms = LATE_MS[(write / ONE_LATE_OF) as usize % LATE_MS.len()];
            let store = store.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(late_ms));
                store.answer(&request);
                store.changed.notify_all();
            });
            // A channel on which an answer is lost returns nothing further.
            std::thread::sleep(Duration::from_secs(10));
            return Answer::Close;
        }
    }
    let (status, body) = store.answer(&request);
    store.changed.notify_all();
    Answer::Reply(status, body)
}
