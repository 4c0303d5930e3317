//! What entries tell each other about parts of prompts.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A notice to peers about parts of prompts, which it names by the IDs of their content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartNotice {
    /// A target ended while it had a prompt with these parts, and its answer had not begun.
    #[serde(rename = "v")]
    Victim {
        /// The parts.
        #[serde(rename = "p")]
        parts: Vec<Name>,
        /// Scope of the prompt: the customer if it is isolated, otherwise empty.
        #[serde(rename = "s", default)]
        scope: Name,
        /// The target.
        #[serde(rename = "t")]
        target: Name,
        /// Time since its end, in milliseconds.
        #[serde(rename = "a", default)]
        age_ms: u64,
    },
    /// Answers have begun on these parts.
    #[serde(rename = "s")]
    Sound {
        /// The parts.
        #[serde(rename = "p")]
        parts: Vec<Name>,
        /// Whether they began after the victims of which this entry knows.
        #[serde(rename = "f", default)]
        after_victims: bool,
    },
}
