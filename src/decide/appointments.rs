//! Refused callers that were told when to come back.

use std::collections::{HashMap, VecDeque};

use crate::prefix_keys::BlockKey;
use crate::prelude::*;

/// Appointments kept at most.
const MOST: usize = 16_384;
/// Time after which an appointment lapses.
const GRACE: Duration = Duration::from_secs(30);
/// How much too early a caller may come, for clocks that round.
const EARLY: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug)]
struct Appointment {
    from: Timestamp,
    callers: u32,
    redeemed: u32,
}

/// Refused callers that were told when to come back; those who obey are not refused again for lack
/// of capacity.
#[derive(Debug, Default)]
pub(super) struct Appointments {
    kept: HashMap<BlockKey, Appointment>,
    order: VecDeque<(Timestamp, BlockKey)>,
}

impl Appointments {
    /// Records that a caller was told to come back at `from`.
    pub(super) fn add(&mut self, now: Timestamp, fingerprint: BlockKey, from: Timestamp) {
        self.expire(now);
        let kept = self.kept.entry(fingerprint).or_insert(Appointment {
            from,
            callers: 0,
            redeemed: 0,
        });
        kept.from = kept.from.min(from);
        kept.callers += 1;
        self.order.push_back((from + GRACE, fingerprint));
        while self.order.len() > MOST {
            self.drop_oldest();
        }
    }

    /// Uses up an appointment that is due.
    pub(super) fn redeem(&mut self, now: Timestamp, fingerprint: &BlockKey) -> bool {
        let Some(kept) = self.kept.get_mut(fingerprint) else {
            return false;
        };
        if now + EARLY < kept.from || kept.callers <= kept.redeemed {
            return false;
        }
        kept.redeemed += 1;
        true
    }

    fn expire(&mut self, now: Timestamp) {
        while self.order.front().is_some_and(|(until, _)| *until < now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, fingerprint)) = self.order.pop_front() else {
            return;
        };
        let Some(kept) = self.kept.get_mut(&fingerprint) else {
            return;
        };
        kept.callers = kept.callers.saturating_sub(1);
        kept.redeemed = kept.redeemed.saturating_sub(1);
        if kept.callers == 0 {
            self.kept.remove(&fingerprint);
        }
    }
}
