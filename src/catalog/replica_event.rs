//! Events and effects of a [`Replica`](crate::catalog::Replica).

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, CatalogHead, ReleaseNote, SnapshotRef};
use crate::peer::{PeerInfo, PeerMessage};
use crate::prelude::*;

/// Origin from which this entry received a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RevisionSource {
    /// The platform.
    Platform,
    /// A peer.
    Peer(Name),
}

/// Input of [`Replica`](crate::catalog::Replica).
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// The set of live peers changed.
    PeersChanged(Vec<PeerInfo>),
    /// A peer's heartbeat.
    Heartbeat {
        /// The peer.
        from: Name,
        /// Revision in force at the peer.
        revision: u64,
        /// Whether the peer watches the catalog at the platform.
        watching: bool,
    },
    /// A peer sent notes.
    Notes {
        /// The peer.
        from: Name,
        /// The notes, oldest first.
        notes: Vec<ReleaseNote>,
    },
    /// A peer sent its full catalog.
    Catalog {
        /// The peer.
        from: Name,
        /// Its catalog.
        catalog: Arc<Catalog>,
    },
    /// A peer requested the full catalog.
    CatalogRequest(Name),
    /// The head object was read from the platform or received by the watch.
    Head(CatalogHead),
    /// A snapshot was read; `None` when the read failed.
    Snapshot(Option<Arc<Catalog>>),
    /// A new watch was opened.
    WatchOpened,
    /// A watch ended or could not be opened.
    WatchFailed,
    /// Periodic tick, at which timeouts and delays are checked.
    Tick,
}

/// Action that the owner of the replica carries out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaEffect {
    /// Put a catalog in force.
    Install(Arc<Catalog>),
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: Name,
        /// The message.
        message: PeerMessage,
    },
    /// Open a watch of the head object on a new connection, then end the old one.
    OpenWatch,
    /// End the watch.
    CloseWatch,
    /// Read the head object again before the next watch.
    ReadHead,
    /// Read a snapshot.
    ReadSnapshot(SnapshotRef),
    /// Report the revision in force and whether the platform is watched in the next heartbeats.
    Announce,
}
