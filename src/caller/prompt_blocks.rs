//! Keys of a prompt's blocks, by which an engine finds the blocks that it has cached.

use crate::caller::attempt::Attempt;
use crate::caller::{CallerRequest, RequestKind, Shared};
use crate::prefix_keys::{PrefixKeys, TOKENS_PER_BLOCK};
use crate::target::PromptBlocks;

/// Derives the block keys of a chat prompt; `None` for other requests and for prompts shorter than
/// one block.
pub(crate) fn prompt_blocks(
    shared: &Shared,
    request: &CallerRequest,
    attempt: &Attempt,
) -> Option<PromptBlocks> {
    let RequestKind::Chat(chat) = &request.kind else {
        return None;
    };
    let (customer, weights) = (&request.customer, &attempt.weights);
    let prefix = PrefixKeys::derive(
        &shared.secret,
        customer,
        weights,
        &chat.adapter,
        &chat.prompt,
    );
    (!prefix.is_empty()).then_some(PromptBlocks {
        block_tokens: TOKENS_PER_BLOCK,
        keys: prefix.keys,
    })
}
