//! `guavahold key`: generates a customer's token.

use serde::Serialize;

use crate::catalog::TokenHash;
use crate::operator::{Exit, Paint, Report};
use crate::prelude::*;

/// Prefix of every token, so that secret scanners find leaked ones.
const TOKEN_PREFIX: &str = "gvh_";

/// A new token, which is printed once and not stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeyReport {
    /// Customer that the token is for.
    pub customer: Name,
    /// The token, which only the customer may know.
    pub token: String,
    /// Hash of the token, for the release note.
    pub hash: TokenHash,
}

/// Generates a token from 244 random bits of the operating system: two random UUIDs of 122 bits.
#[must_use]
pub fn key(customer: &str) -> KeyReport {
    let mut hasher = blake3::Hasher::new_derive_key("guavahold 2026 customer tokens");
    hasher.update(uuid::Uuid::new_v4().as_bytes());
    hasher.update(uuid::Uuid::new_v4().as_bytes());
    let token = format!("{TOKEN_PREFIX}{}", hasher.finalize().to_hex());
    KeyReport {
        customer: customer.into(),
        hash: TokenHash::of(&token),
        token,
    }
}

impl Report for KeyReport {
    fn exit(&self) -> Exit {
        Exit::Ok
    }

    fn text(&self, paint: Paint) -> String {
        format!(
            "{}\n  {}\nhash for the release note (customers.{}.tokens):\n  \"{}\"\n",
            paint.strong("token, shown only now; hand it to the customer:"),
            self.token,
            self.customer,
            self.hash
        )
    }

    fn json(&self) -> serde_json::Value {
        serde_json::to_value(self).unwrap_or_default()
    }
}
