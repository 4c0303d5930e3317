//! Serving policies.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::settings::Fields;

/// How urgently a request is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// A person waits for a short answer.
    Interactive,
    /// An ordinary request.
    Standard,
    /// A complete answer matters more than a fast one.
    Patient,
}

impl PriorityClass {
    /// Priority sent to an engine; lower runs first.
    #[must_use]
    pub fn priority(self) -> u8 {
        match self {
            Self::Interactive => 0,
            Self::Standard => 1,
            Self::Patient => 2,
        }
    }

    /// Name of the class in release notes.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Standard => "standard",
            Self::Patient => "patient",
        }
    }
}

impl std::str::FromStr for PriorityClass {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        [Self::Interactive, Self::Standard, Self::Patient]
            .into_iter()
            .find(|c| c.as_str() == text)
            .ok_or(())
    }
}

/// How requests of a model or route are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// How urgently requests are served.
    pub class: PriorityClass,
    /// Longest time from arrival to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Longest time from arrival to the end of the answer, in milliseconds.
    pub total_ms: u64,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// How long the outcome of a non-idempotent request is stored, in seconds.
    pub retention_s: u64,
    /// Limit of targets that load a weight version at a time, over all failure domains.
    pub loads_at_once: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            class: PriorityClass::Standard,
            first_token_ms: 5_000,
            total_ms: 120_000,
            idempotent: true,
            retention_s: 600,
            loads_at_once: 2,
        }
    }
}

impl Policy {
    /// Longest time from arrival to the first token.
    #[must_use]
    pub fn first_token(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }

    /// Longest time from arrival to the end of the answer.
    #[must_use]
    pub fn total(&self) -> Duration {
        Duration::from_millis(self.total_ms)
    }

    pub(crate) fn from_fields(fields: &mut Fields<'_>) -> Option<Self> {
        let defaults = Self::default();
        let class = fields.parsed("class", "one of interactive, standard, patient");
        let policy = Self {
            class: class.unwrap_or(defaults.class),
            first_token_ms: fields.integer(
                "first_token_ms",
                1..=3_600_000,
                defaults.first_token_ms,
            ),
            total_ms: fields.integer("total_ms", 1..=86_400_000, defaults.total_ms),
            idempotent: fields.boolean("idempotent", defaults.idempotent),
            retention_s: fields.integer("retention_s", 1..=604_800, defaults.retention_s),
            loads_at_once: u32::try_from(fields.integer("loads_at_once", 1..=1024, 2)).ok()?,
        };
        if policy.total_ms < policy.first_token_ms {
            fields.report_field("total_ms", "expected at least first_token_ms");
        }
        class.map(|_| policy)
    }
}
