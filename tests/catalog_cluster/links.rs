//! Links between simulated entries and the messages on them.

use std::time::Duration;

use guavahold::catalog::ReplicaEvent;
use guavahold::peer::{BRIDGES_PER_DOMAIN, PeerInfo, PeerMessage, rendezvous_key};

use super::{Cluster, LATENCY, Node, domain_name, pair};

const PEER_TIMEOUT: Duration = Duration::from_secs(2);

impl Cluster {
    pub(super) fn domains_connected(&self, a: &Node, b: &Node) -> bool {
        a.domain == b.domain || !self.cut.contains(&pair(a.domain, b.domain))
    }

    pub(super) fn is_bridge(&self, node: &Node) -> bool {
        let in_domain = self.nodes.iter().filter(|o| o.domain == node.domain);
        let key = |n: &Node| rendezvous_key(&domain_name(n.domain), &n.name);
        in_domain.filter(|o| key(o) < key(node)).count() < BRIDGES_PER_DOMAIN
    }

    pub(super) fn is_linked(&self, a: &Node, b: &Node) -> bool {
        a.name != b.name
            && (a.domain == b.domain || (self.is_bridge(a) && self.is_bridge(b)))
            && self.domains_connected(a, b)
    }

    /// Links come up at once; links to unreachable peers go down after the peer timeout.
    pub(super) fn update_links(&mut self, n: usize) {
        let now = self.now;
        let linked: Vec<_> = self
            .nodes
            .iter()
            .filter(|o| self.is_linked(&self.nodes[n], o))
            .map(|o| o.name.clone())
            .collect();
        let links = &mut self.nodes[n].links;
        links.extend(linked.into_iter().map(|name| (name, now)));
        links.retain(|_, reachable_at| now < *reachable_at + PEER_TIMEOUT);
        let live: Vec<_> = links.keys().cloned().collect();
        if live != self.nodes[n].live {
            let infos = live.iter().map(|name| PeerInfo {
                name: name.clone(),
                domain: domain_name(usize::from(name.as_bytes()[0] - b'a')),
                revision: 0,
                since_ms: 0,
                draining: false,
            });
            let infos = infos.collect();
            self.nodes[n].live = live;
            self.handle(n, ReplicaEvent::PeersChanged(infos));
        }
    }

    pub(super) fn send_heartbeat(&mut self, n: usize) {
        let node = &self.nodes[n];
        let heartbeat = PeerMessage::Heartbeat {
            revision: node.replica.catalog().revision,
            since_ms: 0,
            draining: false,
            watching: node.replica.is_watching(),
        };
        for to in node.live.clone() {
            self.send(n, &to, &heartbeat);
        }
    }

    pub(super) fn send(&mut self, n: usize, to: &str, message: &PeerMessage) {
        let to = self.nodes.iter().position(|o| &*o.name == to).unwrap();
        if self.now < self.lossy_until || !self.is_linked(&self.nodes[n], &self.nodes[to]) {
            return;
        }
        let from = self.nodes[n].name.clone();
        let event = match message.clone() {
            PeerMessage::Heartbeat {
                revision, watching, ..
            } => ReplicaEvent::Heartbeat {
                from,
                revision,
                watching,
            },
            PeerMessage::Notes(notes) => ReplicaEvent::Notes { from, notes },
            PeerMessage::WantCatalog => ReplicaEvent::CatalogRequest(from),
            PeerMessage::WholeCatalog(catalog) => ReplicaEvent::Catalog { from, catalog },
            other => panic!("unexpected {other:?}"),
        };
        if !matches!(event, ReplicaEvent::Heartbeat { .. }) {
            self.relayed_bytes += guavahold::peer::encode(message).len();
        }
        self.post(LATENCY, to, event);
    }
}
