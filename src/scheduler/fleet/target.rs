//! State of one target.

use crate::prelude::*;
use crate::rate_limit::ShareMeter;
use crate::residency::AllowedDomains;
use crate::scheduler::TargetInfo;
use crate::scheduler::fleet::{Health, Load, PoolIx, PrefixCache, WarmUp, mix};

/// Index of a target within the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct TargetIx(pub(crate) u32);

/// State of one target.
#[derive(Debug)]
pub(crate) struct Target {
    /// The target as listed.
    pub(crate) info: TargetInfo,
    /// Position on the rings: hash of its name.
    pub(crate) hash: u64,
    /// Pool of its model or service.
    pub(crate) pool: PoolIx,
    /// Whether it is in the failure domain of this entry.
    pub(crate) local: bool,
    /// Whether the newest list names it.
    pub(crate) listed: bool,
    /// Health, which decides whether it takes new work.
    pub(crate) health: Health,
    /// Weight versions in its last load report that named any.
    pub(crate) weights: Vec<Name>,
    /// Estimated load, which decides whether it has room.
    pub(crate) load: Load,
    /// Whether it takes work and has room.
    pub(crate) free: bool,
    /// Starts of prompts that it is expected to have cached.
    pub(crate) prefixes: PrefixCache,
    /// Number of suspected requests that it runs for this entry.
    pub(crate) suspected_requests: u32,
    /// Use of the share of the limit that it set on the requests sent to it.
    pub(crate) rate_share: Option<ShareMeter>,
    /// Whether it is cold, and the use of what may be sent to it meanwhile.
    pub(crate) warm_up: WarmUp,
    /// Time of the next refresh because of the shares.
    pub(crate) share_refresh_at: Option<Timestamp>,
    /// When it counts as having room again, if it is full by what is known late of it.
    pub(crate) room_refresh_at: Option<Timestamp>,
}

impl Target {
    /// Makes a target that was just listed; `domain` is the failure domain of this entry.
    pub(crate) fn new(info: TargetInfo, pool: PoolIx, domain: &str) -> Self {
        let digest = blake3::hash(info.name.as_bytes());
        let first_bytes = digest.as_bytes().first_chunk::<8>().copied();
        let health = Health::new(info.leaving);
        Self {
            hash: mix(u64::from_le_bytes(first_bytes.unwrap_or_default())),
            pool,
            local: *info.domain == *domain,
            listed: true,
            health,
            load: Load::default(),
            free: false,
            prefixes: PrefixCache::default(),
            weights: Vec::new(),
            suspected_requests: 0,
            rate_share: None,
            warm_up: WarmUp::default(),
            share_refresh_at: None,
            room_refresh_at: None,
            info,
        }
    }

    /// Whether the target takes new work from this entry now.
    pub(crate) fn takes_work(&self, now: Timestamp) -> bool {
        self.is_healthy(now) && !self.load.is_paused(now)
    }

    /// Whether the target takes new work, now or once its pause has ended.
    pub(crate) fn is_healthy(&self, now: Timestamp) -> bool {
        self.listed && self.health.takes_work(now)
    }

    /// Whether the limit that the target set and its warm-up, if any, permit one more request now.
    pub(crate) fn is_within_limit(&self, now: Timestamp) -> bool {
        self.rate_share.is_none_or(|meter| meter.permits(now)) && self.warm_up.permits(now)
    }

    /// Uses of the shares that bind now: of the limit that the target set, and of its warm-up.
    pub(crate) fn shares(&self, now: Timestamp) -> impl Iterator<Item = ShareMeter> {
        self.rate_share.into_iter().chain(self.warm_up.meter(now))
    }

    /// When it next changes whether the shares permit a request; `None` if none binds.
    pub(crate) fn next_share_change(&self, now: Timestamp) -> Option<Timestamp> {
        let changes = self.shares(now).map(|meter| {
            let until = meter.permitted_until(now);
            until.unwrap_or_else(|| meter.next_interval(now))
        });
        changes.chain(self.warm_up.end(now)).min()
    }

    /// Requests per second that the stricter of the shares permits; `None` if none binds.
    pub(crate) fn share_per_second(&self, now: Timestamp) -> Option<f64> {
        let rates = self.shares(now).map(|meter| meter.share().per_second());
        rates.reduce(f64::min)
    }

    /// Whether the target has room for a request, as last computed, and its limit permits one now.
    pub(crate) fn has_room(&self, now: Timestamp) -> bool {
        self.free && self.is_within_limit(now)
    }

    /// Whether the target runs a software version, if one is required; an unknown one never fits.
    pub(crate) fn runs_software(&self, required: Option<&Name>) -> bool {
        required.is_none_or(|software| !software.is_empty() && self.info.software == *software)
    }

    /// Whether the target is in one of the failure domains that a request is restricted to, if any.
    pub(crate) fn is_allowed(&self, allowed: Option<&AllowedDomains>) -> bool {
        allowed.is_none_or(|allowed| allowed.contains(&self.info.domain))
    }

    /// Whether the target has a weight version ready; the empty version fits every target.
    pub(crate) fn has_weights(&self, weights: &str) -> bool {
        weights.is_empty() || self.load.report.weights.iter().any(|w| **w == *weights)
    }
}
