//! Kinds of objects that a gateway watches in the platform store, and their decoder.

use serde_json::Value;

use crate::prelude::*;
use crate::route::RouteTable;
use crate::scheduler::TargetInfo;

/// A kind of objects that a gateway watches in the platform store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WatchedKind {
    /// Configurations.
    Routes,
    /// Registrations of targets.
    Targets,
    /// Weight versions declared by operators.
    Weights,
    /// VMs of the entries.
    Members,
    /// Evacuated failure domains; watched only where the deployment has evacuations.
    Evacuations,
}

impl WatchedKind {
    /// All kinds, in the order of their indexes.
    pub const ALL: [Self; 5] = [
        Self::Routes,
        Self::Targets,
        Self::Weights,
        Self::Members,
        Self::Evacuations,
    ];

    /// Index of the kind in arrays and in messages between entries.
    #[must_use]
    pub fn index(self) -> usize {
        match self {
            Self::Routes => 0,
            Self::Targets => 1,
            Self::Weights => 2,
            Self::Members => 3,
            Self::Evacuations => 4,
        }
    }

    /// Name for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Targets => "targets",
            Self::Weights => "weights",
            Self::Members => "members",
            Self::Evacuations => "evacuations",
        }
    }
}

/// Registration of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisteredTarget {
    /// Name, failure domain, address, service and whether the target is leaving.
    pub info: TargetInfo,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Loaded weight versions, by model.
    pub weights: SmallVec<[(Name, u64); 1]>,
    /// Start of the target's process, in milliseconds since the Unix epoch; zero when unknown.
    pub started_ms: u64,
    /// How much longer the target is cold, as of an unknown time before it was read.
    pub cold: Duration,
}

/// Weight version that an operator declared for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredWeights {
    /// Name of the model.
    pub model: Name,
    /// Version that the model's targets must run.
    pub version: u64,
}

/// Decodes objects of the platform store that other systems write.
pub trait Decoder: Send + Sync {
    /// Name of the kind in the platform store.
    fn kind(&self, watched: WatchedKind) -> &'static str;

    /// Decodes a configuration; `None` when the object is something else.
    ///
    /// # Errors
    /// A description of the field or value that cannot be decoded.
    fn routes(&self, name: &str, spec: &Value) -> Result<Option<RouteTable>, String>;

    /// Decodes a target's registration.
    ///
    /// # Errors
    /// A description of the field or value that cannot be decoded.
    fn target(&self, name: &str, spec: &Value) -> Result<RegisteredTarget, String>;

    /// Decodes declared weights.
    ///
    /// # Errors
    /// A description of the field or value that cannot be decoded.
    fn weights(&self, name: &str, spec: &Value) -> Result<DeclaredWeights, String>;

    /// Failure domain that the evacuation with this name concerns.
    fn evacuated_domain(&self, name: &str) -> Name;

    /// Version of a configuration or of declared weights, which their writers only raise; `None` for
    /// other kinds and for objects that cannot be decoded.
    fn version(&self, watched: WatchedKind, spec: &Value) -> Option<u64>;
}
