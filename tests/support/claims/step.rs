//! Steps of a run of the claim simulation.

use serde::{Deserialize, Serialize};

/// One step of the simulation. The serialized names are those of the recorded traces.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// An entry decides on a claim from its cached object, which is first read again if `fresh`;
    /// `long` selects the long total timeout.
    Claim {
        entry: usize,
        key: usize,
        fresh: bool,
        long: bool,
    },
    /// A write reaches the platform; its answer is lost unless `answered`.
    #[serde(rename = "land")]
    DeliverWrite { write: usize, answered: bool },
    /// An entry reads back a write whose answer was lost.
    ReadBack { write: usize },
    /// An entry dispatches the request of a granted claim, unless its total timeout has passed.
    Dispatch { claim: usize },
    /// An entry writes the outcome of a dispatched request.
    Settle { claim: usize },
    /// An entry releases a granted claim that was not dispatched.
    Release { claim: usize },
    /// An entry crashes and restarts.
    Kill { entry: usize },
    /// The links of an entry go down, or come up again.
    #[serde(rename = "cut")]
    ToggleLinks { entry: usize },
    /// An entry deletes the object if it has expired.
    Collect { entry: usize },
    /// The policy's retention changes.
    #[serde(rename = "retention")]
    SetRetention { seconds: u64 },
    /// Time passes.
    #[serde(rename = "pass")]
    AdvanceClock { ms: u64 },
}
