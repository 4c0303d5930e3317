//! Customers.

use serde::{Deserialize, Serialize};

use crate::catalog::TokenHash;
use crate::prelude::*;
use crate::settings::Fields;

/// A customer of the operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Weight in the fair sharing of targets among customers.
    pub share: u32,
    /// Hashes of the valid bearer tokens.
    pub tokens: SmallVec<[TokenHash; 2]>,
}

impl Customer {
    pub(crate) fn from_fields(fields: &mut Fields<'_>) -> Option<Self> {
        let share = u32::try_from(fields.integer("share", 1..=1_000_000, 1)).ok();
        let tokens = fields.parsed_list("tokens", "a BLAKE3 hash of 64 hexadecimal digits");
        if tokens.is_empty() {
            fields.report_field("tokens", "expected at least one token hash");
        }
        Some(Self {
            share: share?,
            tokens: tokens.into(),
        })
    }
}
