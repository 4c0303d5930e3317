//! When an own connection to a target is tried, so that its path is known.

use crate::prelude::*;
use crate::reachability::{Path, TargetReach};

/// Time without any byte after which a target with exchanges under way is checked: a busy target
/// may be silent for long.
const SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(1_500);
/// The same while nothing arrives from any target, or others are reached through peers.
const SHORT_SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(300);
/// Shortest time between two such checks of one target.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two attempts to reach a target directly again.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two attempts to find out whether open connections hang, or whether a peer
/// reaches a target after all.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(300);
/// Own attempts that time out, one after the other, before open connections count as hanging:
/// packets of one may be lost.
pub(super) const TIMEOUTS_OF_HANGING: u32 = 2;

/// Why a target is checked.
pub(super) enum Check {
    /// Its state is in doubt.
    Doubt,
    /// Own connections may be possible again.
    Return,
}

/// What the check of each target depends on beside the target itself.
pub(super) struct CheckConditions {
    pub(super) now: Timestamp,
    /// Whether this entry is cut off from most targets.
    pub(super) cut_off: bool,
    /// Whether any target is reached through peers only.
    pub(super) has_relayed: bool,
    /// When something last arrived from any target.
    pub(super) heard_at: Option<Timestamp>,
}

impl CheckConditions {
    /// Whether a target is to be checked now, and why.
    pub(super) fn due_check(&self, reach: &TargetReach) -> Option<Check> {
        let now = self.now;
        let unconfirmed = (1..TIMEOUTS_OF_HANGING).contains(&reach.timeouts);
        let (check, interval) = match reach.path {
            Path::Direct if reach.silent_for(now) >= self.tolerated_silence() => {
                (Check::Doubt, SILENCE_CHECK_INTERVAL)
            }
            Path::Relayed if unconfirmed => (Check::Doubt, CONFIRM_INTERVAL),
            Path::Relayed if now >= reach.held_until => (Check::Return, RETURN_CHECK_INTERVAL),
            // A peer was found that reaches other targets.
            Path::None if self.has_relayed => (Check::Doubt, CONFIRM_INTERVAL),
            // The scheduler probes a target that has ended.
            Path::None if self.cut_off => (Check::Return, RETURN_CHECK_INTERVAL),
            _ => return None,
        };
        reach.may_check(now, interval).then_some(check)
    }

    /// Time for which a target may be silent before it is checked.
    fn tolerated_silence(&self) -> Duration {
        let heard_at = self.heard_at.unwrap_or_default();
        let nothing_arrives = self.now >= heard_at + SHORT_SILENCE_BEFORE_CHECK;
        if nothing_arrives || self.has_relayed {
            SHORT_SILENCE_BEFORE_CHECK
        } else {
            SILENCE_BEFORE_CHECK
        }
    }
}
