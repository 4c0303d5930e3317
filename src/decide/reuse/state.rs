//! What a plan is made from.

use serde::{Deserialize, Serialize};

use crate::cache::TOKENS_PER_BLOCK;

/// Bytes of a block whose size is not known yet.
const BLOCK_BYTES: u64 = 16 << 20;
/// Prefill speed of a target that does not report it, in tokens per second.
const PREFILL_RATE: u32 = 8_000;

/// Size of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptShape {
    /// Tokens.
    pub tokens: u32,
    /// Whole blocks.
    pub blocks: u32,
}

impl PromptShape {
    /// Tokens that remain to be computed behind `blocks` cached ones; the last token always does.
    #[must_use]
    pub fn rest(&self, blocks: u32) -> u32 {
        let cached = blocks.saturating_mul(TOKENS_PER_BLOCK);
        self.tokens.saturating_sub(cached).max(1)
    }
}

/// What a store told about a prompt and its link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreState {
    /// Consecutive blocks held, from the first on.
    pub held: u32,
    /// Bytes waiting on the link.
    pub queue_bytes: u64,
    /// Rate of the link, in bytes per second; zero when the store does not answer.
    pub link_rate: u64,
    /// Mean size of a block, in bytes; zero when none is held.
    pub block_bytes: u64,
}

impl StoreState {
    /// Size of a block, in bytes.
    #[must_use]
    pub fn block_bytes(&self) -> u64 {
        match self.block_bytes {
            0 => BLOCK_BYTES,
            n => n,
        }
    }

    /// Time until `blocks` blocks have passed the link, in seconds.
    #[must_use]
    pub fn fetch_seconds(&self, blocks: u32) -> f64 {
        let bytes = self.queue_bytes + u64::from(blocks) * self.block_bytes();
        seconds(bytes, self.link_rate)
    }

    /// Time until the link is idle, in seconds.
    #[must_use]
    pub fn queue_seconds(&self) -> f64 {
        seconds(self.queue_bytes, self.link_rate)
    }
}

/// What is known of the chosen target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetState {
    /// Consecutive blocks that it likely holds, from the first on.
    pub held: u32,
    /// Prefill speed, in tokens per second; zero when unknown.
    pub prefill_rate: u32,
    /// Prompt tokens that wait for prefill.
    pub queued_tokens: u64,
}

impl TargetState {
    /// Time to prefill `tokens` tokens, in seconds.
    #[must_use]
    pub fn prefill_seconds(&self, tokens: u32) -> f64 {
        seconds(u64::from(tokens), self.rate())
    }

    /// Time until the prefill begins, in seconds.
    #[must_use]
    pub fn queue_seconds(&self) -> f64 {
        seconds(self.queued_tokens, self.rate())
    }

    fn rate(&self) -> u64 {
        u64::from(match self.prefill_rate {
            0 => PREFILL_RATE,
            n => n,
        })
    }
}

#[allow(clippy::cast_precision_loss)]
fn seconds(amount: u64, rate: u64) -> f64 {
    if rate == 0 {
        return f64::INFINITY;
    }
    amount as f64 / rate as f64
}
