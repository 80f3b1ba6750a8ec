//! Access of an operator's command to the fleet: the store and live processes.

use anyhow::{Context, Result, bail};
use ecow::EcoString;
use turmericfold_config::{LiveStats, Settings};
use turmericfold_control::rollout::{RolloutRecord, WriteOutcome, write_outcome};
use turmericfold_control::{CONFIGURATION_KEY, MEMBERS_PREFIX, MemberRecord};
use turmericfold_platform::{HttpPlatform, Store, StoreCall, StoreReply, StoreVersion};
use turmericfold_types::TaskState;

use crate::operator_client::OperatorClient;
use crate::process::secrets::operators_token;
use crate::status::ProcessStatus;

/// Maximum number of members read by one call.
const MEMBER_PAGE_LIMIT: u32 = 1_000;

/// How a command reaches the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetSource {
    /// Through the store at a base URL.
    Store(String),
    /// Through the store named in a settings file.
    Settings(std::path::PathBuf),
    /// Through the operators' addresses of processes, without the store.
    Operators(Vec<String>),
}

/// Access to the store and to live processes.
#[derive(Debug, Clone)]
pub struct FleetView {
    platform: Option<HttpPlatform>,
    operators: Vec<String>,
    client: OperatorClient,
}

/// The stored record and the version at which it was read.
#[derive(Debug, Clone, Default)]
pub struct StoredRecord {
    /// The record; the default if no configuration was ever applied.
    pub record: RolloutRecord,
    /// The version; `None` if no configuration was ever applied.
    pub version: Option<StoreVersion>,
}

impl FleetView {
    /// Creates the view.
    ///
    /// Fails if the settings file is faulty, or the token file that it names.
    pub fn new(source: &FleetSource) -> Result<Self> {
        let mut client = OperatorClient::new();
        let store = match source {
            FleetSource::Store(url) => EcoString::from(url.as_str()),
            FleetSource::Settings(path) => {
                let settings = Settings::read(path)?;
                client = client.with_token(operators_token(&settings.secrets)?);
                settings.platform.store
            }
            FleetSource::Operators(operators) => {
                return Ok(Self {
                    platform: None,
                    operators: operators.clone(),
                    client,
                });
            }
        };
        Ok(Self {
            platform: Some(HttpPlatform::new(store.clone(), store)),
            operators: Vec::new(),
            client,
        })
    }

    fn platform(&self) -> Result<&HttpPlatform> {
        self.platform
            .as_ref()
            .context("this command needs the store; name it with --store or --settings")
    }

    /// Reads the record from the store.
    pub async fn record(&self) -> Result<StoredRecord> {
        let key = CONFIGURATION_KEY.into();
        match self.platform()?.call(StoreCall::Get { key }).await? {
            StoreReply::Value(None) => Ok(StoredRecord::default()),
            StoreReply::Value(Some(stored)) => Ok(StoredRecord {
                record: RolloutRecord::parse(&stored.value)
                    .context("the stored configuration can't be read")?,
                version: Some(stored.version),
            }),
            _ => bail!("the store returned an unexpected reply to a read"),
        }
    }

    /// Replaces the record that was read at `version` by `next`.
    ///
    /// After an unknown outcome, repeats the same compare-and-swap: it can't take
    /// effect twice, and if it is refused, the token in the stored record shows
    /// whose write succeeded.
    pub async fn write(
        &self,
        version: Option<StoreVersion>,
        next: &RolloutRecord,
        token: u64,
    ) -> Result<WriteOutcome> {
        let value = serde_json::to_string(next)?;
        let mut last_error = None;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let call = StoreCall::CompareAndSwap {
                key: CONFIGURATION_KEY.into(),
                expected: version,
                value: Some(value.clone()),
                lease: None,
            };
            let result = self.platform()?.call(call).await;
            last_error = result.as_ref().err().cloned();
            match write_outcome(result, token) {
                WriteOutcome::Unknown => {}
                WriteOutcome::InvalidReply => {
                    bail!("the store returned a reply to a write that can't be read")
                }
                known => return Ok(known),
            }
            tokio::time::sleep(std::time::Duration::from_millis(WRITE_RETRY_MS)).await;
        }
        let cause = last_error.map_or_else(String::new, |error| error.to_string());
        bail!(
            "the store did not answer ({cause}); the change may or may not be in force: \
             run `turmericfold status` once the store answers, and apply again if {} is missing",
            next.highest
        )
    }

    /// Returns the operators' addresses of the members, or the given ones if
    /// the view has no store.
    pub async fn operators(&self) -> Result<Vec<String>> {
        if self.platform.is_none() {
            return Ok(self.operators.clone());
        }
        let call = StoreCall::Range {
            prefix: MEMBERS_PREFIX.into(),
            after: None,
            limit: MEMBER_PAGE_LIMIT,
        };
        let StoreReply::Page { keys, .. } = self.platform()?.call(call).await? else {
            bail!("the store returned an unexpected reply to a list of members");
        };
        let records = keys
            .iter()
            .filter_map(|key| serde_json::from_str::<MemberRecord>(&key.stored.value).ok());
        Ok(records
            .map(|record| record.operator_address.to_string())
            .collect())
    }

    /// Queries the status of every member; `None` for a member that does not
    /// answer.
    pub async fn statuses(&self) -> Result<Vec<(String, Option<ProcessStatus>)>> {
        let operators = self.operators().await?;
        let queries = operators.into_iter().map(|operator| async {
            let body = self.client.get(&operator, "/v1/status").await.ok();
            let status = body.and_then(|body| serde_json::from_slice(&body).ok());
            (operator, status)
        });
        Ok(futures::future::join_all(queries).await)
    }

    /// Returns the client of the operators' interfaces.
    pub fn client(&self) -> &OperatorClient {
        &self.client
    }
}

/// Maximum number of attempts of a write whose outcome is unknown.
const MAX_WRITE_ATTEMPTS: usize = 20;

/// Delay between two attempts of a write, in milliseconds.
const WRITE_RETRY_MS: u64 = 250;

/// Combines the requests and tasks that processes report, by service.
pub(crate) fn live_stats(statuses: &[(String, Option<ProcessStatus>)]) -> LiveStats {
    let mut live = LiveStats::default();
    for (_, status) in statuses {
        let Some(status) = status else {
            live.unreachable += 1;
            continue;
        };
        live.processes += 1;
        for service in status.tasks.keys() {
            let running = status.tasks_in(service, TaskState::Running);
            *live.running.entry(service.clone()).or_default() += running;
        }
        for load in &status.load {
            let queued = live.queued.entry(load.service.clone()).or_default();
            *queued = (*queued).max(u64::from(load.queued));
        }
        for (service, count) in &status.refused_lately {
            *live.refused.entry(service.clone()).or_default() += count;
        }
    }
    live
}
