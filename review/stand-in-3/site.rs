//! A small site: store, runners, entry processes and clients.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fleet::{Entry, ZONES};
use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::runner::{Kind, Runner};
use crate::store::Store;

/// The time after which clients wait no longer for an answer.
pub const DEADLINE: Duration = Duration::from_millis(3_000);

pub struct Route {
    pub name: &'static str,
    pub host: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
}

pub struct Site {
    pub record: Arc<Record>,
    pub store: Store,
    pub runners: Vec<Runner>,
    pub entries: Vec<Entry>,
    folder: PathBuf,
}

impl Site {
    pub fn new(record: Arc<Record>) -> std::io::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("turmericfold-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self {
            record,
            store: Store::start(),
            runners: Vec::new(),
            entries: Vec::new(),
            folder,
        })
    }

    pub fn add_runners(&mut self, service: &str, count: usize, millicores: u64) {
        for number in 0..count {
            let kind = Kind {
                id: format!("i-{service}-{number}"),
                service: service.to_owned(),
                zone: ZONES[number % ZONES.len()].to_owned(),
                millicores,
            };
            self.runners
                .push(Runner::start(kind, &self.store, &self.record));
        }
    }

    /// Writes a configuration with these routes, as the operator does.
    pub fn configure(&self, version: u64, routes: &[&Route], services: &[&str]) {
        let routes: Vec<String> = routes.iter().map(|route| route_json(route)).collect();
        let services: Vec<String> = services.iter().map(|name| service_json(name)).collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("op/config", &text);
        self.record
            .line(&format!("operator: configuration acknowledged: {text}"));
    }

    /// Starts entry processes; `output` makes the standard output of each.
    pub fn add_entries<Output>(&mut self, count: usize, output: Output) -> std::io::Result<()>
    where
        Output: Fn() -> Option<Stdio>,
    {
        for number in 0..count {
            let entry = Entry::start(number, self.store.address, &self.folder, output())?;
            self.record
                .line(&format!("{} started, front {}", entry.name, entry.front));
            self.entries.push(entry);
        }
        Ok(())
    }

    /// Waits until the readiness probes of all processes succeed.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let ends_at = Instant::now() + timeout;
        while Instant::now() < ends_at {
            if self.entries.iter().all(|entry| is_ready(entry.ready)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a client's call to a process and records it.
    pub fn call(
        &self,
        entry: usize,
        method: &str,
        route: &Route,
        id: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let front = self.entries[entry].front;
        call_front(
            &self.record,
            &self.entries[entry].name,
            front,
            method,
            route,
            id,
            body,
        )
    }

    /// Submits a job until a process accepts it.
    pub fn submit(&self, route: &Route, id: &str, body: &str) -> bool {
        (0..8).any(|attempt| {
            let answer = self.call(attempt % self.entries.len(), "POST", route, id, body);
            let is_accepted = answer.is_some_and(|(status, _)| status / 100 == 2);
            if !is_accepted {
                std::thread::sleep(Duration::from_millis(500));
            }
            is_accepted
        })
    }

    /// Returns the state of a job as the first process that knows it tells it.
    pub fn state(&self, route: &Route, id: &str) -> Option<String> {
        (0..2 * self.entries.len()).find_map(|attempt| {
            let (status, body) = self.call(attempt % self.entries.len(), "GET", route, id, "")?;
            (status == 200)
                .then(|| Json::parse(&body)?.text("state"))
                .flatten()
        })
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.entries.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sends a client's call to the front of a process and records it.
pub fn call_front(
    record: &Record,
    name: &str,
    front: SocketAddr,
    method: &str,
    route: &Route,
    id: &str,
    body: &str,
) -> Option<(u16, String)> {
    let path = format!("{}{id}", route.prefix);
    let answer = http::call(front, method, route.host, &path, body, DEADLINE);
    let text = match &answer {
        Some((status, body)) => format!("{status} {body}"),
        None => "no answer".to_owned(),
    };
    record.line(&format!("client: {method} {path} at {name}: {text}"));
    answer
}

fn is_ready(address: SocketAddr) -> bool {
    let timeout = Duration::from_millis(500);
    http::call(address, "GET", "ready", "/-/readyz", "", timeout)
        .is_some_and(|(status, _)| status == 200)
}

fn route_json(route: &Route) -> String {
    let Route {
        name,
        host,
        prefix,
        service,
    } = route;
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"prefix\":\"{prefix}\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_duration_ms\":250,\"priority\":0,\"service\":\"{service}\",\"max_attempts\":3,\"slack_factor\":1.5}}"
    )
}

fn service_json(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_check\":true,\"standby\":false}}"
    )
}
