//! Hash of a customer's bearer token.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// BLAKE3 hash of a bearer token; equality takes constant time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenHash(blake3::Hash);

impl TokenHash {
    /// Hashes a token as the caller presents it.
    #[must_use]
    pub fn of(token: &str) -> Self {
        Self(blake3::hash(token.as_bytes()))
    }

    /// The hash's 32 bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; 32] {
        self.0.as_bytes()
    }
}

impl std::hash::Hash for TokenHash {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.0.as_bytes().hash(state);
    }
}

impl fmt::Display for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.to_hex().as_str())
    }
}

impl FromStr for TokenHash {
    type Err = blake3::HexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        blake3::Hash::from_hex(text).map(Self)
    }
}

impl TryFrom<String> for TokenHash {
    type Error = blake3::HexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<TokenHash> for String {
    fn from(hash: TokenHash) -> Self {
        hash.to_string()
    }
}
