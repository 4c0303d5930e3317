//! Common interface of the commands' results.

use std::fmt;

use crate::operator::{Exit, Paint};
use crate::platform::PlatformError;

/// Result of a command.
pub trait Report {
    /// Returns the exit status of the command.
    fn exit(&self) -> Exit;
    /// Renders the result as text for people.
    fn text(&self, paint: Paint) -> String;
    /// Renders the result as JSON for programs.
    fn json(&self) -> serde_json::Value;
}

/// Error of a command that has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorError {
    /// The platform failed.
    Platform(PlatformError),
    /// Any other failure, such as a missing argument or an unreadable file.
    Other(String),
}

impl OperatorError {
    /// Returns the exit status for this error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Platform(
                PlatformError::Unreachable(_)
                | PlatformError::Unanswered(_)
                | PlatformError::Unreadable(_),
            ) => Exit::Unreachable,
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
