//! Errors of the platform's object API.

use std::fmt;

/// Why a platform call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// Another writer was first, or the name is taken; nothing was written.
    Conflict,
    /// The object does not exist.
    NotFound,
    /// The watch's version is too old; list again.
    Expired,
    /// The platform refused the call; nothing was written.
    Rejected(String),
    /// The platform was not reached; nothing was written.
    Unreachable(String),
    /// No answer came after the call was sent; a write may have taken effect.
    Unanswered(String),
}

impl PlatformError {
    /// Tells whether a write that failed so may have taken effect.
    #[must_use]
    pub fn may_have_written(&self) -> bool {
        matches!(self, Self::Unanswered(_))
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => f.write_str("conflicting write"),
            Self::NotFound => f.write_str("object not found"),
            Self::Expired => f.write_str("watch version expired"),
            Self::Rejected(why) => write!(f, "rejected: {why}"),
            Self::Unreachable(why) => write!(f, "unreachable: {why}"),
            Self::Unanswered(why) => write!(f, "unanswered: {why}"),
        }
    }
}

impl std::error::Error for PlatformError {}
