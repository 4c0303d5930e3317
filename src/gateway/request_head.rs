//! Decoded heads of callers' requests.

use crate::prelude::*;

/// One part of a prompt; other requests may contain it as well.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// ID of its content.
    pub id: Name,
    /// Length, in tokens.
    pub tokens: u32,
}

/// Prompt of a request to a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model.
    pub model: Name,
    /// Length, in tokens.
    pub input_tokens: u32,
    /// Maximum number of generated tokens.
    pub output_tokens: u32,
    /// Parts in order; the last is specific to this request or its session.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl Prompt {
    /// Parts before the last, which other requests may contain as well.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, rest)| rest)
    }

    /// Total length of the shared parts, in tokens.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|p| p.tokens).sum()
    }

    /// The last of the shared parts.
    #[must_use]
    pub fn last_shared(&self) -> Option<&PromptPart> {
        self.parts.iter().rev().nth(1)
    }
}

/// Decoded head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    /// Request ID, unique for each attempt of the caller; targets echo it.
    pub id: Name,
    /// HTTP method.
    pub method: Name,
    /// Path and query, as received.
    pub path: Name,
    /// Host, without the port.
    pub host: Name,
    /// API key that identifies the customer.
    pub key: Option<Name>,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// ID of the last event that the caller has received in an earlier response.
    pub last_event: Option<u64>,
    /// ID of the request whose response brought the first event of the stream that the caller takes
    /// up again.
    pub resumes: Option<Name>,
    /// Header lines that are forwarded unchanged, each with its line end.
    pub forwarded_headers: Vec<u8>,
}
