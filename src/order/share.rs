//! Division of a limit of concurrent loads among failure domains.

use crate::prelude::*;

/// Share of the domain `own` in `limit` concurrent loads. `domains` is sorted, and the shares of
/// all its domains add up to `limit`; a domain that is not listed gets the whole limit.
pub(crate) fn domain_share(limit: u32, own: &str, domains: &[Name]) -> u32 {
    let count = u32::try_from(domains.len()).unwrap_or(u32::MAX);
    let index = domains.iter().position(|d| **d == *own);
    let Some(index) = index.and_then(|i| u32::try_from(i).ok()) else {
        return limit;
    };
    limit / count + u32::from(index < limit % count)
}
