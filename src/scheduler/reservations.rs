//! Reservations of refused callers that were given a time to retry.

use std::collections::{HashMap, VecDeque};

use crate::prefix_keys::BlockKey;
use crate::prelude::*;

/// Most reservations held.
const MAX_RESERVATIONS: usize = 16_384;
/// Time after its start at which a reservation lapses.
const RESERVATION_GRACE: Duration = Duration::from_secs(30);
/// How early a caller may retry, since clocks round.
const EARLY_TOLERANCE: Duration = Duration::from_millis(5);

/// Reservations of the callers that sent equal requests, counted together.
#[derive(Clone, Copy, Debug)]
struct FingerprintReservations {
    /// Earliest time at which one of them may be redeemed.
    valid_from: Timestamp,
    /// Reservations that have not lapsed.
    granted: u32,
    /// How many of them were redeemed.
    redeemed: u32,
}

/// Reservations of refused callers, by fingerprint: a caller that retries at the time it was given
/// is not refused again on a predicted wait.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    by_fingerprint: HashMap<BlockKey, FingerprintReservations>,
    /// Time at which each granted reservation lapses, oldest first.
    expiries: VecDeque<(Timestamp, BlockKey)>,
}

impl Reservations {
    /// Grants a reservation to a caller that was told to retry at `valid_from`.
    pub(super) fn grant(&mut self, now: Timestamp, fingerprint: BlockKey, valid_from: Timestamp) {
        self.expire(now);
        let reservation =
            self.by_fingerprint
                .entry(fingerprint)
                .or_insert(FingerprintReservations {
                    valid_from,
                    granted: 0,
                    redeemed: 0,
                });
        reservation.valid_from = reservation.valid_from.min(valid_from);
        reservation.granted += 1;
        self.expiries
            .push_back((valid_from + RESERVATION_GRACE, fingerprint));
        while self.expiries.len() > MAX_RESERVATIONS {
            self.drop_oldest();
        }
    }

    /// Uses up a reservation; `false` when there is none or its time has not come. Lapsed ones are
    /// only removed when another is granted, so they may still be used until then.
    pub(super) fn redeem(&mut self, now: Timestamp, fingerprint: &BlockKey) -> bool {
        let Some(reservation) = self.by_fingerprint.get_mut(fingerprint) else {
            return false;
        };
        if now + EARLY_TOLERANCE < reservation.valid_from
            || reservation.granted <= reservation.redeemed
        {
            return false;
        }
        reservation.redeemed += 1;
        true
    }

    fn expire(&mut self, now: Timestamp) {
        while self.expiries.front().is_some_and(|(until, _)| *until < now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, fingerprint)) = self.expiries.pop_front() else {
            return;
        };
        let Some(reservation) = self.by_fingerprint.get_mut(&fingerprint) else {
            return;
        };
        reservation.granted = reservation.granted.saturating_sub(1);
        reservation.redeemed = reservation.redeemed.saturating_sub(1);
        if reservation.granted == 0 {
            self.by_fingerprint.remove(&fingerprint);
        }
    }
}
