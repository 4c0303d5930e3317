//! How many loads one failure domain may run when all domains load at once.

use crate::prelude::*;

/// The share of `limit` loads that falls to `own` among `domains`, which are sorted; the shares of
/// all domains add up to `limit`.
pub(crate) fn share_of(limit: u32, own: &str, domains: &[Name]) -> u32 {
    let count = u32::try_from(domains.len()).unwrap_or(u32::MAX);
    let place = domains.iter().position(|d| **d == *own);
    let Some(place) = place.and_then(|p| u32::try_from(p).ok()) else {
        return limit;
    };
    limit / count + u32::from(place < limit % count)
}
