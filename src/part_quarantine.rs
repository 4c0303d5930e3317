//! Quarantine of parts of prompts that end each target that begins to write an answer on them.
//!
//! Requests that share such a part are otherwise different, so the part itself has to be found. A
//! part is suspected of the targets that ended while they had a prompt with it whose answer had not
//! begun. An answer that begins on it anywhere clears it. Entries tell each other of both.

mod lost_prompts;
mod notice;
mod recent_parts;
mod suspect;
mod table;

pub use lost_prompts::{LostPrompt, LostPrompts};
pub use notice::PartNotice;
pub use recent_parts::RecentParts;
pub use suspect::{Suspect, Victim};
pub use table::{PartQuarantine, Permission};
