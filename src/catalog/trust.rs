//! Declarations by operators of which checks a target can be trusted to make.

use serde::{Deserialize, Serialize};

use crate::settings::Fields;

/// Checks of outdated orders that a target is trusted to make.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trust {
    /// Whether the target refuses an order with an outdated fencing token.
    pub checks_fencing: bool,
}

impl Trust {
    pub(crate) fn from_fields(fields: &mut Fields<'_>) -> Self {
        Self {
            checks_fencing: fields.boolean("checks_fencing", false),
        }
    }
}
