//! A stand-in of the platform's store.

use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, ok, serve};
use crate::json::{Json, quote};

/// The largest value, in bytes (`platform.value_bytes`).
pub const VALUE_BYTES: usize = 1_048_576;

const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
const HISTORY: usize = 200_000;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: VecDeque<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    refused: u64,
}

/// A stand-in of the platform's store.
#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.record(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &str, item: Option<Item>) {
        self.history
            .push_back((self.revision, key.to_owned(), item));
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    fn end_leases(&mut self) -> bool {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in &ended {
            self.end_lease(*id);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    /// Serves the store on a free port and returns its address.
    pub fn start() -> (Self, String) {
        let store = Self::default();
        store.lock(|state| state.revision = 100);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let server = store.clone();
        serve(listener, move |request| server.handle(&request));
        let expiry = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                if expiry.lock(State::end_leases) {
                    expiry.inner.1.notify_all();
                }
            }
        });
        (store, address)
    }

    fn lock<Output>(&self, work: impl FnOnce(&mut State) -> Output) -> Output {
        work(&mut self.inner.0.lock().expect("the state of the store"))
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        self.lock(|state| {
            state.revision += 1;
            state.write(key, encode_base64(value.as_bytes()), 0);
        });
        self.inner.1.notify_all();
    }

    /// Returns the current values under a prefix.
    pub fn values(&self, prefix: &str) -> Vec<(String, String)> {
        self.lock(|state| {
            let items = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(prefix));
            items
                .map(|(key, item)| (key.clone(), decode_base64(&item.value)))
                .collect()
        })
    }

    /// Returns the number of transactions that were refused because a value is too large.
    pub fn refused(&self) -> u64 {
        self.lock(|state| state.refused)
    }

    fn handle(&self, request: &Request) -> Reply {
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/-/kv-key") => self.get(request),
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.transact(request),
            ("POST", "/-/kv-lease") => self.grant(request),
            ("POST", _) if path.starts_with("/-/kv-keep/") => self.keep(&path[11..]),
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => {
                let id = path[16..].parse().unwrap_or(0);
                self.lock(|state| state.end_lease(id));
                self.inner.1.notify_all();
                ok("{}")
            }
            _ => Reply::Answer(404, "{}".into()),
        }
    }

    fn get(&self, request: &Request) -> Reply {
        let key = request.query.get("key").cloned().unwrap_or_default();
        self.lock(|state| match state.items.get(&key) {
            Some(item) => {
                let text = item_json(&key, item);
                let at = state.revision;
                ok(format!("{},\"at\":{at}}}", &text[..text.len() - 1]))
            }
            None => Reply::Answer(404, format!("{{\"at\":{}}}", state.revision)),
        })
    }

    fn range(&self, request: &Request) -> Reply {
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let after = request.query.get("after").cloned().unwrap_or_default();
        self.lock(|state| {
            let (mut page, mut bytes, mut more) = (Vec::new(), 0, false);
            let first = prefix.clone().max(after.clone());
            for (key, item) in state.items.range(first..) {
                if !key.starts_with(&prefix) {
                    break;
                }
                if !after.is_empty() && *key <= after {
                    continue;
                }
                if page.len() >= PAGE_ITEMS || (bytes > 0 && bytes + item.value.len() > PAGE_BYTES)
                {
                    more = true;
                    break;
                }
                bytes += item.value.len();
                page.push(item_json(key, item));
            }
            let at = state.revision;
            ok(format!(
                "{{\"items\":[{}],\"has_more\":{more},\"at\":{at}}}",
                page.join(",")
            ))
        })
    }

    fn watch(&self, request: &Request) -> Reply {
        let number = |key: &str| request.query.get(key).and_then(|text| text.parse().ok());
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let after: u64 = number("after").unwrap_or(0);
        let ends = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.inner.0.lock().expect("the state of the store");
        loop {
            if state.history.len() >= HISTORY && state.history[0].0 > after + 1 {
                return Reply::Answer(410, "{}".into());
            }
            let first = state
                .history
                .partition_point(|(revision, ..)| *revision <= after);
            let new = state.history.iter().skip(first);
            let events: Vec<String> = new
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= ends {
                let at = state.revision;
                return ok(format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            state = self
                .inner
                .1
                .wait_timeout(state, ends - now)
                .expect("the state")
                .0;
        }
    }

    fn transact(&self, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".into());
        };
        let reply = self.lock(|state| transact(state, &body));
        self.inner.1.notify_all();
        reply
    }

    fn grant(&self, request: &Request) -> Reply {
        let ttl_ms = Json::parse(&request.body).and_then(|body| body.u64("ttl_ms"));
        let ttl_ms = ttl_ms.unwrap_or(1_000).clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        self.lock(|state| {
            state.revision += 1;
            let id = state.revision;
            state.leases.insert(
                id,
                Lease {
                    ttl,
                    ends: Instant::now() + ttl,
                },
            );
            ok(format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
        })
    }

    fn keep(&self, id: &str) -> Reply {
        let id = id.parse().unwrap_or(0);
        self.lock(|state| {
            state.end_leases();
            match state.leases.get_mut(&id) {
                Some(lease) => {
                    lease.ends = Instant::now() + lease.ttl;
                    ok("{}")
                }
                None => Reply::Answer(404, "{}".into()),
            }
        })
    }
}

fn transact(state: &mut State, body: &Json) -> Reply {
    state.end_leases();
    let expect = body.list("expect");
    let version = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
    let row = |row: &Json| {
        let key = row.text("key").unwrap_or_default().to_owned();
        (key, row.u64("revision").unwrap_or(0))
    };
    let rows: Vec<(String, u64)> = expect.iter().map(row).collect();
    let writes = body.list("write");
    if rows.len() + writes.len() + body.list("remove").len() > 32 {
        return Reply::Answer(400, "{\"error\":\"more than 32 entries\"}".into());
    }
    let is_too_large = |write: &Json| {
        let value = write.text("value").unwrap_or_default();
        let padding = value.bytes().rev().take_while(|byte| *byte == b'=').count();
        value.len() / 4 * 3 - padding > VALUE_BYTES
    };
    if writes.iter().any(is_too_large) {
        state.refused += 1;
        return Reply::Answer(
            400,
            "{\"error\":\"a value is larger than value_bytes\"}".into(),
        );
    }
    if rows
        .iter()
        .any(|(key, revision)| version(state, key) != *revision)
    {
        let current = rows.iter().map(|(key, _)| match state.items.get(key) {
            Some(item) => item_json(key, item),
            None => format!("{{\"key\":{},\"revision\":0}}", quote(key)),
        });
        let current: Vec<String> = current.collect();
        return Reply::Answer(412, format!("{{\"items\":[{}]}}", current.join(",")));
    }
    let lease_of = |write: &Json| write.u64("lease").unwrap_or(0);
    let has_lease =
        |write: &Json| lease_of(write) == 0 || state.leases.contains_key(&lease_of(write));
    if !writes.iter().all(has_lease) {
        return Reply::Answer(404, "{}".into());
    }
    state.revision += 1;
    for write in writes {
        let key = write.text("key").unwrap_or_default();
        let value = write.text("value").unwrap_or_default().to_owned();
        state.write(key, value, lease_of(write));
    }
    for key in body.list("remove") {
        if let Json::Text(key) = key {
            state.remove(key);
        }
    }
    ok(format!("{{\"revision\":{}}}", state.revision))
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            match index <= chunk.len() {
                true => out.push(ALPHABET[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn decode_base64(text: &str) -> String {
    let (mut out, mut word, mut bits) = (Vec::new(), 0_u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let value = ALPHABET
            .iter()
            .position(|letter| *letter == byte)
            .unwrap_or(0);
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
