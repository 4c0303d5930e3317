//! Models and the weight version in service.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::settings::Fields;

/// A model that callers name in their requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Weight version that new requests run on.
    pub weights: Name,
    /// Adapters that callers may name in their requests.
    pub adapters: Vec<Name>,
    /// Name of the serving policy.
    pub policy: Name,
}

impl Model {
    pub(crate) fn from_fields(fields: &mut Fields<'_>) -> Option<Self> {
        let weights = fields.name("weights");
        let policy = fields.name("policy");
        let adapters = fields.parsed_list::<String>("adapters", "an adapter's name");
        Some(Self {
            weights: weights?,
            adapters: adapters.into_iter().map(Name::from).collect(),
            policy: policy?,
        })
    }
}
