//! Exchange of the origins of streams with other entries: in a small system all entries know all of
//! them, in a large one a few entries keep each.

use std::collections::BTreeMap;

use async_io::Timer;

use crate::gateway::control::{Control, State};
use crate::gateway::stream_origins::{OriginCall, OriginCallReceiver};
use crate::peer::PeerMessage;
use crate::prelude::*;
use crate::stream_origin::{StreamKey, StreamOrigin};

/// Time in which announcements to the same entries are gathered.
const GATHERING_TIME: Duration = Duration::from_millis(15);
/// Entries that keep the origin of a stream in a large system, each in another failure domain if
/// there are enough.
const KEEPERS: usize = 2;
/// Entries that are asked in a large system: one more, since views of the live entries differ.
const ASKED: usize = KEEPERS + 1;

/// Messages to one entry.
#[derive(Default)]
struct Outgoing {
    origins: Vec<StreamOrigin>,
    wanted: Vec<StreamKey>,
}

impl Control {
    /// Carries out announcements and questions; never returns while the gateway runs.
    pub(crate) async fn run_stream_origins(self: Arc<Self>, calls: OriginCallReceiver) {
        while let Ok(first) = calls.recv().await {
            Timer::after(GATHERING_TIME).await;
            let gathered = std::iter::from_fn(|| calls.try_recv().ok());
            let gathered: Vec<OriginCall> = std::iter::once(first).chain(gathered).collect();
            self.send_origin_calls(gathered);
        }
    }

    fn send_origin_calls(&self, calls: Vec<OriginCall>) {
        let mut state = self.state();
        let mut outgoing: BTreeMap<Name, Outgoing> = BTreeMap::new();
        let uses_hubs = state.uses_hubs();
        for call in calls {
            match call {
                // In a small system, the next status carries it.
                OriginCall::Announce(origin) if !uses_hubs => state.new_origins.push(origin),
                OriginCall::Announce(origin) => {
                    for keeper in state.keepers(origin.key, KEEPERS) {
                        let messages = outgoing.entry(keeper).or_default();
                        messages.origins.push(origin.clone());
                    }
                }
                OriginCall::Ask(key) => {
                    let asked = if uses_hubs {
                        state.keepers(key, ASKED)
                    } else {
                        state.peers.iter().cloned().collect()
                    };
                    for peer in asked {
                        outgoing.entry(peer).or_default().wanted.push(key);
                    }
                }
            }
        }
        drop(state);
        for (peer, messages) in outgoing {
            if !messages.origins.is_empty() {
                self.send(&peer, PeerMessage::StreamOrigins(messages.origins));
            }
            if !messages.wanted.is_empty() {
                self.send(&peer, PeerMessage::WantStreamOrigins(messages.wanted));
            }
        }
    }

    /// Records the origins that a peer told.
    pub(crate) fn record_stream_origins(&self, origins: Vec<StreamOrigin>) {
        let now = self.now();
        for origin in origins {
            self.shared.stream_origins.record(now, origin);
        }
    }

    /// Tells a peer the origins that it asks for, as far as they are known.
    pub(crate) fn send_stream_origins(&self, peer: &str, wanted: Vec<StreamKey>) {
        let now = self.now();
        let known = wanted.into_iter().filter_map(|key| {
            let software = self.shared.stream_origins.known(now, key)?;
            Some(StreamOrigin { key, software })
        });
        let known: Vec<StreamOrigin> = known.collect();
        if !known.is_empty() {
            self.send(peer, PeerMessage::StreamOrigins(known));
        }
    }
}

impl State {
    /// The `count` live peers that rank highest for a stream, from as many failure domains as
    /// possible.
    fn keepers(&self, key: StreamKey, count: usize) -> SmallVec<[Name; ASKED]> {
        let mut ranked: Vec<_> = self.hub_candidates.iter().collect();
        ranked.sort_by_cached_key(|peer| std::cmp::Reverse(key.rank(&peer.name)));
        let mut chosen: SmallVec<[&crate::gateway::HubCandidate; ASKED]> = SmallVec::new();
        for peer in &ranked {
            let is_new_domain = chosen.iter().all(|c| c.domain != peer.domain);
            if chosen.len() < count && is_new_domain {
                chosen.push(peer);
            }
        }
        for peer in &ranked {
            let is_new = chosen.iter().all(|c| c.name != peer.name);
            if chosen.len() < count && is_new {
                chosen.push(peer);
            }
        }
        chosen.into_iter().map(|c| c.name.clone()).collect()
    }
}
