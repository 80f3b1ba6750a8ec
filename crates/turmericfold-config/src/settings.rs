//! Settings of one process.

use std::collections::BTreeMap;

use ecow::EcoString;
use serde::{Deserialize, Serialize};
use turmericfold_types::{FailureDomain, InstanceName};

/// The settings file of one entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The identity of the process.
    pub process: ProcessSettings,
    /// The addresses that the process listens on.
    pub listen: Listen,
    /// The base URLs of the platform.
    pub platform: PlatformUrls,
    /// Limits on callers and on shutdown.
    #[serde(default)]
    pub limits: Limits,
    /// The levels that are logged.
    #[serde(default)]
    pub log: LogSettings,
    /// The files that secrets are read from.
    #[serde(default)]
    pub secrets: Secrets,
}

/// Files that hold secrets. Settings never contain the secrets themselves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Secrets {
    /// The file with the key that entry processes share. Without it peers are not
    /// authenticated.
    pub peers_key_file: Option<EcoString>,
    /// The file with the token that operators send. Without it operators are not
    /// authenticated.
    pub operators_token_file: Option<EcoString>,
}

/// The identity of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// The name of the instance that the process runs on.
    pub name: InstanceName,
    /// The failure domain of the instance.
    pub failure_domain: FailureDomain,
}

/// The addresses that a process listens on, as `IP:port`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// The address for callers, behind the platform's balancer.
    pub callers: EcoString,
    /// The address for the other entry processes.
    pub peers: EcoString,
    /// The address for operators: status, metrics and time line.
    pub operators: EcoString,
    /// The address at which peers reach this process, if not `peers`.
    #[serde(default)]
    pub advertised_peers: Option<EcoString>,
}

/// The base URLs of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformUrls {
    /// The base URL of the key-value service.
    pub store: EcoString,
    /// The base URL of the instance list.
    pub instances: EcoString,
}

/// Limits on callers and on shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest request body, in bytes.
    pub body_bytes: u64,
    /// The largest answer body, in bytes.
    pub answer_bytes: u64,
    /// How long callers are still accepted after a planned stop has begun, in
    /// milliseconds. In this time the balancer detects that the process is not
    /// ready.
    pub drain_ms: u64,
    /// How long a graceful shutdown may take, in milliseconds.
    pub shutdown_ms: u64,
    /// The number of threads that handle traffic.
    pub traffic_threads: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            answer_bytes: 8 << 20,
            drain_ms: 500,
            shutdown_ms: 15_000,
            traffic_threads: 2,
        }
    }
}

/// The levels that are logged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The level of all modules: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: EcoString,
    /// The levels of individual modules, by name.
    pub modules: BTreeMap<EcoString, EcoString>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".into(),
            modules: BTreeMap::new(),
        }
    }
}
