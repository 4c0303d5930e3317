//! Requirements of a request on its target.

use crate::prelude::*;
use crate::residency::AllowedDomains;
use crate::scheduler::fleet::TargetIx;

/// Requirements and preferences of a request in the selection of its target.
#[derive(Debug)]
pub(crate) struct PlacementQuery<'a> {
    /// Placement hash of the prompt's prefix, the same at every entry.
    pub(crate) key: u64,
    /// Whether the prompt fills at least one block, which a target may have cached.
    pub(crate) has_prefix: bool,
    /// Estimated prompt tokens.
    pub(crate) prompt_tokens: u32,
    /// Prompt tokens that other requests start with too, so that a target may have them cached.
    pub(crate) shared_tokens: u32,
    /// Shared tokens that a target can fetch from a context store, for each of the weight versions.
    pub(crate) stored_tokens: &'a [u32],
    /// Failure domain of the context store that holds most of them.
    pub(crate) store_domain: Option<&'a Name>,
    /// Targets that are avoided if another one fits, since they failed the request or run it now.
    pub(crate) avoid: &'a [TargetIx],
    /// The only targets allowed; all are if it is empty.
    pub(crate) only: &'a [TargetIx],
    /// Software version that must run the request.
    pub(crate) software: Option<&'a Name>,
    /// Failure domains that the request is restricted to, if any.
    pub(crate) allowed: Option<&'a AllowedDomains>,
    /// Set for a suspected request: all entries select the same target for it, which must run no
    /// other suspected request of this entry.
    pub(crate) isolate: Option<Isolation<'a>>,
}

/// Selection of the target of a suspected request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Isolation<'a> {
    /// Placement hash of the fingerprint, the same at every entry.
    pub(crate) key: u64,
    /// Processes of targets that died while running it.
    pub(crate) victims: &'a [Name],
}
