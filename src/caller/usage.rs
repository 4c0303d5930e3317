//! Token counts that engines report in their responses.

use serde::Deserialize;

use crate::telemetry::EntryMetrics;

/// The part of a response that holds the token counts.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ResponseUsage {
    usage: Option<Usage>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Usage {
    prompt_tokens: u64,
    prompt_tokens_details: PromptTokensDetails,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct PromptTokensDetails {
    cached_tokens: u64,
    imported_tokens: u64,
}

/// Adds the prompt tokens of a response or event to the metrics, by origin: computed, cached by the
/// engine, or imported. Engines include imported tokens in `cached_tokens`; here each token counts
/// once.
pub(crate) fn count_tokens(metrics: &EntryMetrics, json: &[u8]) {
    if !json.windows(USAGE_KEY.len()).any(|w| w == USAGE_KEY) {
        return;
    }
    let response = serde_json::from_slice::<ResponseUsage>(json).unwrap_or_default();
    let Some(usage) = response.usage else {
        return;
    };
    let details = &usage.prompt_tokens_details;
    let computed = usage.prompt_tokens.saturating_sub(details.cached_tokens);
    let cached = details
        .cached_tokens
        .saturating_sub(details.imported_tokens);
    for (origin, tokens) in [
        ("computed", computed),
        ("cached", cached),
        ("imported", details.imported_tokens),
    ] {
        metrics.tokens.with_label_values(&[origin]).inc_by(tokens);
    }
}

/// Name of the field that holds the counts; bodies without it are not parsed.
const USAGE_KEY: &[u8] = b"\"usage\"";
