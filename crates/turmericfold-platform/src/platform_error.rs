//! Errors of calls to the platform.

use ecow::EcoString;
use serde::{Deserialize, Serialize};

/// The possible effect of a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// The call certainly had no effect.
    None,
    /// The call may have taken effect.
    Unknown,
}

/// The error of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct PlatformError {
    /// Whether the call may have taken effect.
    pub effect: Effect,
    /// A description of the cause, for operators.
    pub message: EcoString,
    /// Whether the address refused the connection because no process listens there.
    #[serde(default, rename = "nobody_listens")]
    pub connection_refused: bool,
}

impl PlatformError {
    /// Creates the error of a call that certainly had no effect.
    pub fn no_effect<Text>(message: Text) -> Self
    where
        Text: Into<EcoString>,
    {
        Self {
            effect: Effect::None,
            message: message.into(),
            connection_refused: false,
        }
    }

    /// Marks the error as a refused connection: no process listens at the address.
    #[must_use]
    pub fn with_connection_refused(mut self) -> Self {
        self.connection_refused = true;
        self
    }

    /// Returns whether the call certainly had no effect.
    pub fn has_no_effect(&self) -> bool {
        self.effect == Effect::None
    }

    /// Creates the error of a call that may have taken effect.
    pub fn unknown<Text>(message: Text) -> Self
    where
        Text: Into<EcoString>,
    {
        Self {
            effect: Effect::Unknown,
            message: message.into(),
            connection_refused: false,
        }
    }
}
