//! What a gateway follows in the platform's store, and how it is decoded.

use serde_json::Value;

use crate::prelude::*;
use crate::route::RouteTable;
use crate::scheduler::TargetInfo;

/// A kind of objects that a gateway follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Watched {
    /// Configurations.
    Routes,
    /// Targets as they register themselves.
    Targets,
    /// Weight versions as operators name them.
    Weights,
    /// Entries of this system.
    Members,
}

impl Watched {
    /// All kinds, in the order of their indexes.
    pub const ALL: [Self; 4] = [Self::Routes, Self::Targets, Self::Weights, Self::Members];

    /// Index of the kind.
    #[must_use]
    pub fn index(self) -> usize {
        match self {
            Self::Routes => 0,
            Self::Targets => 1,
            Self::Weights => 2,
            Self::Members => 3,
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
        }
    }
}

/// A target as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// Name, address, service and whether it is leaving.
    pub info: TargetInfo,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Weight versions that it has ready, by model.
    pub weights: SmallVec<[(Name, u64); 1]>,
    /// Start of its process, in milliseconds since the Unix epoch; zero when not told.
    pub born_ms: u64,
}

/// Weights that an operator named for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedWeights {
    /// The model.
    pub model: Name,
    /// The version that its targets are to run.
    pub version: u64,
}

/// Reads the objects that others write; each error says what is unreadable.
pub trait Decoder: Send + Sync {
    /// Kind under which the store holds these objects.
    fn kind(&self, watched: Watched) -> &'static str;

    /// Reads a configuration; `None` when the object is another one.
    ///
    /// # Errors
    /// What cannot be read.
    fn routes(&self, name: &str, spec: &Value) -> Result<Option<RouteTable>, String>;

    /// Reads a target.
    ///
    /// # Errors
    /// What cannot be read.
    fn target(&self, name: &str, spec: &Value) -> Result<ListedTarget, String>;

    /// Reads named weights.
    ///
    /// # Errors
    /// What cannot be read.
    fn weights(&self, name: &str, spec: &Value) -> Result<NamedWeights, String>;
}
