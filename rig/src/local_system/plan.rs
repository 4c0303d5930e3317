//! Description of a local system.

use guavahold::catalog::ReleaseNote;
use guavahold::prelude::Name;

use crate::{EngineSettings, PlatformSettings, ServiceSettings};

/// Components of a local system.
#[derive(Clone, Debug)]
pub struct LocalSystemPlan {
    /// Settings of the platform stand-in.
    pub platform: PlatformSettings,
    /// Release note applied to the empty catalog.
    pub note: ReleaseNote,
    /// Failure domain and settings of each engine.
    pub engines: Vec<(Name, EngineSettings)>,
    /// Failure domain, VM name and settings of each plain service.
    pub services: Vec<(Name, Name, ServiceSettings)>,
    /// Failure domain and name of each entry.
    pub entries: Vec<(Name, Name)>,
    /// Number of traffic threads of each entry.
    pub traffic_threads: usize,
    /// Number of threads that run the stand-ins.
    pub stand_in_threads: usize,
}
