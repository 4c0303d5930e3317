//! What is known of a target's checks.

use serde::{Deserialize, Serialize};

use crate::settings::Fields;

/// How far a target protects itself against outdated orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trust {
    /// Whether the target refuses an order with an old fencing number.
    pub checks_fencing: bool,
}

impl Trust {
    pub(crate) fn from_fields(fields: &mut Fields<'_>) -> Self {
        Self {
            checks_fencing: fields.boolean("checks_fencing", false),
        }
    }
}
