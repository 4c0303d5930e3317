//! What every command reports.

use std::fmt;

use crate::operator::{Exit, Paint};
use crate::platform::PlatformError;

/// Result of a command.
pub trait Report {
    /// Exit status.
    fn exit(&self) -> Exit;
    /// Text for people.
    fn text(&self, paint: Paint) -> String;
    /// Value for programs.
    fn json(&self) -> serde_json::Value;
}

/// Why a command came to no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorError {
    /// The platform failed.
    Platform(PlatformError),
    /// Anything else.
    Other(String),
}

impl OperatorError {
    /// Exit status.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Platform(PlatformError::Unreachable(_) | PlatformError::Unanswered(_)) => {
                Exit::Unreachable
            }
            _ => Exit::Failure,
        }
    }
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(err) => write!(f, "platform: {err}"),
            Self::Other(detail) => f.write_str(detail),
        }
    }
}

impl std::error::Error for OperatorError {}

impl From<PlatformError> for OperatorError {
    fn from(err: PlatformError) -> Self {
        Self::Platform(err)
    }
}
