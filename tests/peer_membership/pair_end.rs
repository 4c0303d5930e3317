//! One of two entries whose connections a test opens one by one.

use std::time::Duration;

use guavahold::peer::{MemberEffect, MemberEvent, Membership, PeerConnection};
use guavahold::prelude::Name;

use super::net::{address, settings};

/// One of the two entries `d00-0` and `d01-0`.
pub struct PairEnd {
    state: Membership,
    other: Name,
}

impl PairEnd {
    pub fn new(n: usize) -> Self {
        let domain = format!("d0{n}");
        Self {
            state: Membership::new(settings(&format!("{domain}-0"), &domain, 1)),
            other: format!("d0{}-0", 1 - n).into(),
        }
    }

    /// Opens a connection to the other entry and returns which connections are closed for it.
    pub fn open(&mut self, at_ms: u64, conn: u64, boot: u64, dialled: bool) -> Vec<MemberEffect> {
        let opened = PeerConnection {
            conn,
            peer: self.other.clone(),
            domain: self.other[..3].into(),
            boot,
            dialled: dialled.then(|| address(1)),
        };
        let mut effects = Vec::new();
        let now = Duration::from_millis(at_ms);
        self.state
            .on(now, MemberEvent::Opened(opened), &mut effects);
        effects.retain(|e| matches!(e, MemberEffect::Close { .. }));
        effects
    }

    pub fn keeps(&self, conn: u64) -> bool {
        self.state.peer(conn, Duration::ZERO).is_some()
    }
}
