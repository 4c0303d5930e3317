//! Token counts that engines report with their answers.

use serde::Deserialize;

use crate::telemetry::EntryMetrics;

/// The part of an answer that counts tokens.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Counted {
    usage: Option<Usage>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Usage {
    prompt_tokens: u64,
    prompt_tokens_details: Details,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Details {
    cached_tokens: u64,
    imported_tokens: u64,
}

/// Counts the prompt tokens of an answer or event by their origin.
pub(crate) fn count_tokens(metrics: &EntryMetrics, json: &[u8]) {
    if !json.windows(FIELD.len()).any(|w| w == FIELD) {
        return;
    }
    let counted = serde_json::from_slice::<Counted>(json).unwrap_or_default();
    let Some(usage) = counted.usage else {
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

/// Name of the field that carries the counts.
const FIELD: &[u8] = b"\"usage\"";
