//! Callers' requests.

use crate::prelude::*;

/// One part of a prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity of its content.
    pub id: Name,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The prompt of a request to a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Model that runs it.
    pub model: Name,
    /// Its length in tokens.
    pub input_tokens: u32,
    /// Tokens generated at most.
    pub output_tokens: u32,
    /// Its parts in order; the last belongs to this request or its session.
    pub parts: SmallVec<[Part; 4]>,
}

impl Prompt {
    /// The parts before the last, which other requests may bring as well.
    #[must_use]
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, rest)| rest)
    }

    /// Tokens of the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|p| p.tokens).sum()
    }

    /// The last part that other requests may share.
    #[must_use]
    pub fn last_shared(&self) -> Option<&Part> {
        self.parts.iter().rev().nth(1)
    }
}

/// Head of a caller's request, decoded.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Identity of this attempt of the caller; targets echo it.
    pub id: Name,
    /// HTTP method.
    pub method: Name,
    /// Path and query, unchanged.
    pub path: Name,
    /// Host without port.
    pub host: Name,
    /// Key that names the customer.
    pub key: Option<Name>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has of an earlier answer.
    pub last_event: Option<u64>,
    /// Header lines to be passed on unchanged, each with its line end.
    pub passed_on: Vec<u8>,
}
