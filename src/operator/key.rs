//! `guavahold key`: makes a customer's token.

use serde::Serialize;

use crate::catalog::TokenHash;
use crate::operator::{Exit, Paint, Report};
use crate::prelude::*;

/// Start of every token, so that leaked ones are found by scanners.
const PREFIX: &str = "gvh_";

/// A new token; it is shown once and kept nowhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeyReport {
    /// Customer that it is meant for.
    pub customer: Name,
    /// The token, for the customer alone.
    pub token: String,
    /// Its hash, for the release note.
    pub hash: TokenHash,
}

/// Makes a token of 244 random bits from the operating system.
#[must_use]
pub fn key(customer: &str) -> KeyReport {
    let mut hasher = blake3::Hasher::new_derive_key("guavahold 2026 customer tokens");
    hasher.update(uuid::Uuid::new_v4().as_bytes());
    hasher.update(uuid::Uuid::new_v4().as_bytes());
    let token = format!("{PREFIX}{}", hasher.finalize().to_hex());
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
