//! Names and numbers that identify instances, shards, tasks, runs and revisions.

use std::fmt;
use std::str::FromStr;

use ecow::EcoString;
use serde::{Deserialize, Serialize};

/// Defines a name type: an immutable string that is cheap to clone.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub EcoString);

        impl $name {
            /// Creates the name from text.
            pub fn new<Text>(text: Text) -> Self
            where
                Text: Into<EcoString>,
            {
                Self(text.into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl FromStr for $name {
            type Err = std::convert::Infallible;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Ok(Self(text.into()))
            }
        }
    };
}

name_type! {
    /// The name of an instance: an entry instance, a worker or an endpoint.
    InstanceName
}
name_type! {
    /// The name of a failure domain.
    FailureDomain
}
name_type! {
    /// The name of a shard: a part of one failure domain that has at most one
    /// owner at a time.
    ShardId
}
name_type! {
    /// The identifier of a batch task, `<shard>.<key>`.
    TaskId
}
name_type! {
    /// The name of a service.
    ServiceName
}
name_type! {
    /// The name of a profile.
    ProfileName
}
name_type! {
    /// The name of a team with a quota.
    TeamName
}
name_type! {
    /// The kind of a batch task. Tasks of one kind are expected to have similar
    /// sizes and run times.
    KindName
}

impl TaskId {
    /// Creates the identifier of the task `key` in `shard`.
    pub fn in_shard(shard: &ShardId, key: &str) -> Self {
        Self(ecow::eco_format!("{shard}.{key}"))
    }

    /// Returns the shard that the task belongs to, or `None` if the identifier is
    /// malformed.
    pub fn shard(&self) -> Option<ShardId> {
        let (shard, _key) = self.0.split_once('.')?;
        Some(ShardId::new(shard))
    }
}

/// One execution of an entry process: its instance and a random number chosen
/// at its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The instance the process runs on.
    pub instance: InstanceName,
    /// A random number chosen when the process started.
    pub boot: u64,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.instance, self.boot)
    }
}

/// The epoch of a shard's ownership, a fencing token that every claim increases.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch of the next claim.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The identifier of a run of a task, unique within the shard.
///
/// The owner of the shard assigns it from its epoch and a local counter, so that
/// a start needs no write to the store.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// The epoch of the owner that started the run.
    pub epoch: Epoch,
    /// A number that increases with every run started in that epoch.
    pub counter: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.epoch, self.counter)
    }
}

/// The number of an accepted configuration.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}
