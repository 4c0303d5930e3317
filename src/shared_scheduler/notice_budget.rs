//! Bound on notices about requests whose targets died while they answered.

use crate::prelude::*;

/// Messages with such notices that an entry sends in a second. When a failure domain is lost, each
/// stream there is such a request.
const MESSAGES_PER_SECOND: u32 = 640;
/// Time ahead for which messages may be sent at once.
const BURST: Duration = Duration::from_secs(1);

/// Spaces notices by the number of peers that get them (generic cell rate algorithm).
#[derive(Clone, Debug, Default)]
pub struct NoticeBudget {
    /// When the messages permitted so far would have been sent at an even rate.
    sent_until: Timestamp,
}

impl NoticeBudget {
    /// Whether a notice may be sent to so many peers now; counts its messages if so.
    pub fn permit(&mut self, now: Timestamp, peers: usize) -> bool {
        let start = self.sent_until.max(now);
        if start > now + BURST {
            return false;
        }
        let messages = u32::try_from(peers).unwrap_or(u32::MAX);
        let time = Duration::from_secs(1) / MESSAGES_PER_SECOND;
        self.sent_until = start + time.saturating_mul(messages);
        true
    }
}
