//! The platform's store: items, leases, transactions and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, serve};
use crate::json::{Json, quote};

/// The largest value, in bytes.
const VALUE_BYTES: usize = 1_048_576;

/// The most items of one page.
const PAGE_ITEMS: usize = 500;

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The events in their order, as JSON, with their key.
    history: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let state = State {
            revision: 100,
            last_lease: 1_000,
            ..State::default()
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let served = Arc::clone(&shared);
        let address = serve(move |request| answer(&served, request));
        let store = Self { shared, address };
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiring.expire_leases();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .0
            .lock()
            .unwrap_or_else(|error| error.into_inner())
    }

    /// Writes a key as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let value = encode(value.as_bytes());
        state.write(key, value, 0);
        self.shared.1.notify_all();
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.lock();
        let bytes = decode(&state.items.get(key)?.value);
        String::from_utf8(bytes).ok()
    }

    fn expire_leases(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, it)| it.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            state.end_lease(lease);
            self.shared.1.notify_all();
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.history
            .push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = format!(
                "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                quote(key),
                self.revision
            );
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
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

fn answer(shared: &(Mutex<State>, Condvar), request: &Request) -> Reply {
    let path = request.path();
    if path == "/-/kv-watch" {
        return watch(shared, request);
    }
    let mut state = shared.0.lock().unwrap_or_else(|error| error.into_inner());
    let reply = match (request.method.as_str(), path) {
        ("GET", "/-/kv-key") => get(&state, request),
        ("GET", "/-/kv-range") => range(&state, request),
        ("POST", "/-/kv-txn") => transact(&mut state, request),
        ("POST", "/-/kv-lease") => grant(&mut state, request),
        ("POST", path) if path.starts_with("/-/kv-keep/") => keep(&mut state, path),
        ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
            if let Some(lease) = lease_of(path) {
                state.end_lease(lease);
            }
            Some((200, "{}".to_owned()))
        }
        _ => Some((404, "{}".to_owned())),
    };
    shared.1.notify_all();
    reply
}

fn get(state: &State, request: &Request) -> Reply {
    let key = request.query("key")?;
    let found = state
        .items
        .get(&key)
        .map(|item| (200, item_json(&key, item)));
    Some(found.unwrap_or((404, "{}".to_owned())))
}

fn range(state: &State, request: &Request) -> Reply {
    let prefix = request.query("prefix").unwrap_or_default();
    let after = request.query("after").unwrap_or_default();
    let matching = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
    let items: Vec<String> = matching.map(|(key, item)| item_json(key, item)).collect();
    let has_more = items.len() > PAGE_ITEMS;
    let page = items[..items.len().min(PAGE_ITEMS)].join(",");
    Some((
        200,
        format!(
            "{{\"items\":[{page}],\"has_more\":{has_more},\"at\":{}}}",
            state.revision
        ),
    ))
}

fn watch(shared: &(Mutex<State>, Condvar), request: &Request) -> Reply {
    let prefix = request.query("prefix").unwrap_or_default();
    let after: u64 = request.query("after")?.parse().ok()?;
    let wait_ms: u64 = request
        .query("wait_ms")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let ends_at = Instant::now() + Duration::from_millis(wait_ms);
    let mut state = shared.0.lock().unwrap_or_else(|error| error.into_inner());
    loop {
        let first = state
            .history
            .partition_point(|(revision, _, _)| *revision <= after);
        let new = state.history[first..]
            .iter()
            .filter(|(_, key, _)| key.starts_with(&prefix));
        let events: Vec<&str> = new.map(|(_, _, event)| event.as_str()).collect();
        let left = ends_at.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let events = events.join(",");
            return Some((
                200,
                format!("{{\"events\":[{events}],\"at\":{}}}", state.revision),
            ));
        }
        state = shared
            .1
            .wait_timeout(state, left)
            .unwrap_or_else(|error| error.into_inner())
            .0;
    }
}

fn transact(state: &mut State, request: &Request) -> Reply {
    let Some(body) = Json::parse(&request.body) else {
        return Some((400, "{}".to_owned()));
    };
    let expected: Vec<(String, u64)> = body
        .list("expect")
        .iter()
        .filter_map(|row| Some((row.text("key")?, row.number("revision")?)))
        .collect();
    let revision_of = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
    if expected
        .iter()
        .any(|(key, revision)| revision_of(key) != *revision)
    {
        let present = expected
            .iter()
            .filter_map(|(key, _)| Some(item_json(key, state.items.get(key)?)));
        let items: Vec<String> = present.collect();
        return Some((412, format!("{{\"items\":[{}]}}", items.join(","))));
    }
    let leases = body
        .list("write")
        .iter()
        .filter_map(|row| row.number("lease"));
    if leases
        .into_iter()
        .any(|lease| lease != 0 && !state.leases.contains_key(&lease))
    {
        return Some((404, "{}".to_owned()));
    }
    let values = body
        .list("write")
        .iter()
        .filter_map(|row| row.text("value"));
    if values
        .into_iter()
        .any(|value| value.len() / 4 * 3 > VALUE_BYTES + 2)
    {
        return Some((400, "{}".to_owned()));
    }
    state.revision += 1;
    for row in body.list("write") {
        let lease = row.number("lease").unwrap_or(0);
        state.write(&row.text("key")?, row.text("value")?, lease);
    }
    for key in body.list("remove") {
        if let Json::Text(key) = key {
            state.remove(key);
        }
    }
    Some((200, format!("{{\"revision\":{}}}", state.revision)))
}

fn grant(state: &mut State, request: &Request) -> Reply {
    let ttl_ms = Json::parse(&request.body)?.number("ttl_ms")?.max(1_000);
    let ttl = Duration::from_millis(ttl_ms);
    state.last_lease += 1;
    let lease = state.last_lease;
    state.leases.insert(
        lease,
        Lease {
            ttl,
            ends_at: Instant::now() + ttl,
        },
    );
    Some((200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}")))
}

fn keep(state: &mut State, path: &str) -> Reply {
    let Some(lease) = lease_of(path).and_then(|lease| state.leases.get_mut(&lease)) else {
        return Some((404, "{}".to_owned()));
    };
    lease.ends_at = Instant::now() + lease.ttl;
    Some((200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis())))
}

fn lease_of(path: &str) -> Option<u64> {
    path.rsplit('/').next()?.parse().ok()
}

/// Encodes bytes as standard base64 with padding.
pub fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

/// Decodes standard base64.
fn decode(text: &str) -> Vec<u8> {
    let digit = |byte: u8| match byte {
        b'A'..=b'Z' => byte - b'A',
        b'a'..=b'z' => byte - b'a' + 26,
        b'0'..=b'9' => byte - b'0' + 52,
        b'+' => 62,
        _ => 63,
    };
    let mut bytes = Vec::new();
    for chunk in text.trim_end_matches('=').as_bytes().chunks(4) {
        let bits = chunk
            .iter()
            .fold(0_u32, |bits, byte| bits << 6 | u32::from(digit(*byte)));
        let bits = bits << (6 * (4 - chunk.len()));
        let decoded = [(bits >> 16) as u8, (bits >> 8) as u8, bits as u8];
        bytes.extend_from_slice(&decoded[..chunk.len() - 1]);
    }
    bytes
}
