//! Steps of a run of the simulated cluster.

use serde::{Deserialize, Serialize};

/// A step of a run: an operator's action, a fault, or time that passes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Time passes, in hundreds of milliseconds.
    Pass(u16),
    /// The platform accepts a number of notes, one after the other.
    Accept(u8),
    /// Two operators write a note for the same revision; one is accepted.
    Race,
    /// Two failure domains cannot reach each other.
    Cut(usize, usize),
    /// Two failure domains can reach each other again.
    Heal(usize, usize),
    /// A domain cannot reach the platform: its calls time out and its open watches receive nothing.
    CutPlatform(usize),
    /// A domain can reach the platform again, on new connections.
    HealPlatform(usize),
    /// A single entry cannot reach the platform.
    CutEntry(usize),
    /// A single entry can reach the platform again, on new connections.
    HealEntry(usize),
    /// The platform fails all calls and ends all watches.
    Down,
    /// The platform answers again.
    Up,
    /// The platform answers slowly.
    Slow,
    /// The platform answers fast again.
    Fast,
    /// The open watches of a domain receive nothing any more; new ones work.
    Silence(usize),
    /// An entry's process is restarted.
    Restart(usize),
    /// An entry receives the head of an older revision again, as many revisions back as given.
    OldEvent(usize, u8),
    /// Messages between peers are lost for half a second.
    LosePeers,
}
