//! Contains panics of a decoder.

use std::panic::{AssertUnwindSafe, catch_unwind};

use serde_json::Value;

use crate::gateway::{DeclaredWeights, Decoder, RegisteredTarget, WatchedKind};
use crate::prelude::*;
use crate::route::RouteTable;

/// Reason why an object cannot be decoded whose decoding panics; the panic itself is logged.
const PANICKED: &str = "its decoding panicked";

/// A decoder to which an object that makes it panic is unreadable, as any other that it rejects.
/// Otherwise one such object would keep all others of its kind from being read.
pub(crate) struct ContainedDecoder(pub Arc<dyn Decoder>);

impl ContainedDecoder {
    fn contain<T>(&self, decode: impl FnOnce(&dyn Decoder) -> T) -> Result<T, String> {
        let decoded = catch_unwind(AssertUnwindSafe(|| decode(&*self.0)));
        decoded.map_err(|_| PANICKED.to_owned())
    }
}

impl Decoder for ContainedDecoder {
    fn kind(&self, watched: WatchedKind) -> &'static str {
        self.0.kind(watched)
    }

    fn routes(&self, name: &str, spec: &Value) -> Result<Option<RouteTable>, String> {
        self.contain(|decoder| decoder.routes(name, spec))?
    }

    fn target(&self, name: &str, spec: &Value) -> Result<RegisteredTarget, String> {
        self.contain(|decoder| decoder.target(name, spec))?
    }

    fn weights(&self, name: &str, spec: &Value) -> Result<DeclaredWeights, String> {
        self.contain(|decoder| decoder.weights(name, spec))?
    }

    fn evacuated_domain(&self, name: &str) -> Name {
        let domain = self.contain(|decoder| decoder.evacuated_domain(name));
        domain.unwrap_or_else(|_| name.into())
    }

    fn version(&self, watched: WatchedKind, spec: &Value) -> Option<u64> {
        self.contain(|decoder| decoder.version(watched, spec))
            .unwrap_or_default()
    }
}
