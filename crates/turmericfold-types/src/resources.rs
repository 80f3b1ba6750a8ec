//! Amounts of the resources of an instance.

use std::fmt;

use serde::{Deserialize, Serialize};

/// An amount of processor time, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_millicores: u64,
    /// Bytes of memory.
    pub memory_bytes: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Creates an amount without accelerators.
    pub fn new(cpu_millicores: u64, memory_bytes: u64) -> Self {
        Self {
            cpu_millicores,
            memory_bytes,
            accelerators: 0,
        }
    }

    /// Sets the number of accelerators.
    #[must_use]
    pub fn with_accelerators(mut self, accelerators: u32) -> Self {
        self.accelerators = accelerators;
        self
    }

    /// Returns whether this amount fits into the `available` resources.
    pub fn fits_in(&self, available: &Self) -> bool {
        self.cpu_millicores <= available.cpu_millicores
            && self.memory_bytes <= available.memory_bytes
            && self.accelerators <= available.accelerators
    }

    /// Returns the sum of both amounts.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the larger of both amounts of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.max(other.cpu_millicores),
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller of both amounts of each resource.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.min(other.cpu_millicores),
            memory_bytes: self.memory_bytes.min(other.memory_bytes),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the amount times `permille` thousandths. Accelerators can't be
    /// divided, so their number is not scaled.
    #[must_use]
    pub fn scaled(&self, permille: u64) -> Self {
        let scale = |amount: u64| (u128::from(amount) * u128::from(permille) / 1_000) as u64;
        Self {
            cpu_millicores: scale(self.cpu_millicores),
            memory_bytes: scale(self.memory_bytes),
            accelerators: self.accelerators,
        }
    }

    /// Returns the dominant share: the largest share of any resource in `whole`,
    /// in thousandths.
    ///
    /// The share is `u64::MAX` if a resource is used that `whole` does not have.
    pub fn dominant_permille(&self, whole: &Self) -> u64 {
        let share = |part: u64, whole: u64| match (part, whole) {
            (0, _) => 0,
            (_, 0) => u64::MAX,
            _ => (u128::from(part) * 1_000 / u128::from(whole)) as u64,
        };
        share(self.cpu_millicores, whole.cpu_millicores)
            .max(share(self.memory_bytes, whole.memory_bytes))
            .max(share(
                u64::from(self.accelerators),
                u64::from(whole.accelerators),
            ))
    }

    /// Returns the difference of both amounts, each resource at least zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} millicores, {} bytes, {} accelerators",
            self.cpu_millicores, self.memory_bytes, self.accelerators
        )
    }
}
