//! A stand-in for the platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{serve, Request};
use crate::json::{base64, obj, s, unbase64, Json};

const MAX_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1 << 20;
const VALUE_BYTES: usize = 1 << 20;
const HEARTBEAT_MS: u64 = 1_500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

impl Item {
    fn json(&self, key: &str) -> Json {
        obj(vec![
            ("key", s(key)),
            ("value", s(self.value.clone())),
            ("revision", Json::Int(self.revision)),
            ("created", Json::Int(self.created)),
            ("lease", Json::Int(self.lease)),
        ])
    }
}

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    events: Vec<(i64, String, Json)>,
    leases: BTreeMap<i64, (u64, Instant)>,
    next_lease: i64,
    /// When each runner last wrote its entry.
    beats: BTreeMap<String, Instant>,
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: i64) {
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
        self.events
            .push((self.revision, key.to_owned(), item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = obj(vec![
                ("key", s(key)),
                ("revision", Json::Int(self.revision)),
                ("deleted", Json::Bool(true)),
            ]);
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            for key in keys {
                self.remove(&key);
            }
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
        let silent = Duration::from_millis(3 * HEARTBEAT_MS);
        let gone: Vec<String> = self
            .beats
            .iter()
            .filter(|(_, at)| at.elapsed() > silent)
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.beats.remove(&key);
            self.revision += 1;
            self.remove(&key);
        }
    }
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let store = Self::default();
        store.state.0.lock().unwrap().revision = 1;
        let served = store.clone();
        serve(listener, move |request| Some(served.answer(request)));
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(10));
            expiring.state.0.lock().unwrap().expire();
            expiring.state.1.notify_all();
        });
        store
    }

    /// Writes a value as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.write(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// Returns whether the value of a key contains a text.
    pub fn holds(&self, key: &str, text: &str) -> bool {
        let state = self.state.0.lock().unwrap();
        let value = state
            .items
            .get(key)
            .map(|item| unbase64(&item.value))
            .unwrap_or_default();
        String::from_utf8_lossy(&value).contains(text)
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/-/kv-key") => self.key(request),
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.transact(&body),
            ("POST", "/-/kv-lease") => {
                let ttl_ms = body.int("ttl_ms").unwrap_or(0).clamp(1_000, 600_000);
                let mut state = self.state.0.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                let until = Instant::now() + Duration::from_millis(ttl_ms as u64);
                state.leases.insert(lease, (ttl_ms as u64, until));
                (
                    200,
                    obj(vec![
                        ("lease", Json::Int(lease)),
                        ("ttl_ms", Json::Int(ttl_ms)),
                    ])
                    .to_string(),
                )
            }
            ("POST", "/standin/beat") => {
                // The runners' own way to write their entries.
                let key = format!("servers/{}", request.param("id").unwrap_or_default());
                let mut state = self.state.0.lock().unwrap();
                state.beats.insert(key.clone(), Instant::now());
                state.revision += 1;
                state.write(&key, base64(request.body.as_bytes()), 0);
                self.state.1.notify_all();
                (200, "{}".into())
            }
            ("POST", _) if path.starts_with("/-/kv-keep/") => {
                let lease: i64 = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.0.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((ttl_ms, until)) => {
                        *until = Instant::now() + Duration::from_millis(*ttl_ms);
                        (
                            200,
                            obj(vec![("ttl_ms", Json::Int(*ttl_ms as i64))]).to_string(),
                        )
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => {
                let lease: i64 = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.state.0.lock().unwrap().end_lease(lease);
                self.state.1.notify_all();
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }

    fn key(&self, request: &Request) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let key = request.param("key").unwrap_or_default();
        match state.items.get(key) {
            Some(item) => (200, item.json(key).to_string()),
            None => (404, "{}".into()),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let prefix = request.param("prefix").unwrap_or_default();
        let after = request.param("after").unwrap_or_default();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, item) in state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
        {
            if items.len() >= MAX_ITEMS || bytes > MAX_PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += item.value.len();
            items.push(item.json(key));
        }
        (
            200,
            obj(vec![
                ("items", Json::Arr(items)),
                ("has_more", Json::Bool(has_more)),
                ("at", Json::Int(state.revision)),
            ])
            .to_string(),
        )
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.param("prefix").unwrap_or_default();
        let after: i64 = request
            .param("after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let wait_ms: u64 = request
            .param("wait_ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let new = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<Json> = new.map(|(_, _, event)| event.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    obj(vec![
                        ("events", Json::Arr(events)),
                        ("at", Json::Int(state.revision)),
                    ])
                    .to_string(),
                );
            }
            state = self
                .state
                .1
                .wait_timeout(state, left.min(Duration::from_millis(50)))
                .unwrap()
                .0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        let expect = body.rows("expect");
        let (write, remove) = (body.rows("write"), body.rows("remove"));
        if expect.len() + write.len() + remove.len() > 32 {
            return (400, "{}".into());
        }
        if write
            .iter()
            .any(|row| row.text("value").map_or(0, str::len) / 4 * 3 > VALUE_BYTES + 3)
        {
            return (400, "{}".into());
        }
        let lease_of = |row: &Json| row.int("lease").unwrap_or(0);
        if write
            .iter()
            .any(|row| lease_of(row) != 0 && !state.leases.contains_key(&lease_of(row)))
        {
            return (404, "{}".into());
        }
        let holds = |row: &Json| {
            let known = state
                .items
                .get(row.text("key").unwrap_or_default())
                .map_or(0, |item| item.revision);
            known == row.int("revision").unwrap_or(0)
        };
        if !expect.iter().all(holds) {
            let keys = expect.iter().filter_map(|row| row.text("key"));
            let items = keys
                .filter_map(|key| state.items.get(key).map(|item| item.json(key)))
                .collect();
            return (412, obj(vec![("items", Json::Arr(items))]).to_string());
        }
        state.revision += 1;
        for row in write {
            let key = row.text("key").unwrap_or_default();
            state.write(
                key,
                row.text("value").unwrap_or_default().to_owned(),
                lease_of(row),
            );
        }
        for key in remove {
            if let Json::Str(key) = key {
                state.remove(key);
            }
        }
        self.state.1.notify_all();
        (
            200,
            obj(vec![("revision", Json::Int(state.revision))]).to_string(),
        )
    }
}
