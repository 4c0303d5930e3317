//! Keys of prompt blocks, by which placement and engines recognise shared prompt prefixes.

mod key;

pub use key::{BlockKey, PrefixKeys, TOKENS_PER_BLOCK, estimate_tokens};
