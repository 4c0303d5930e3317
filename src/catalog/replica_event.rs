//! Events and effects of a [`Replica`](crate::catalog::Replica).

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, CatalogHead, ReleaseNote, SnapshotRef};
use crate::peer::{PeerInfo, PeerMessage};
use crate::prelude::*;

/// Where a revision came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform.
    Platform,
    /// A peer.
    Peer(Name),
}

/// Something that a replica reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// The set of live peers changed.
    Peers(Vec<PeerInfo>),
    /// A peer's heartbeat.
    Beat {
        /// The peer.
        from: Name,
        /// Revision in force there.
        revision: u64,
        /// Whether it follows the platform.
        watching: bool,
    },
    /// A peer sent notes.
    Notes {
        /// The peer.
        from: Name,
        /// The notes, oldest first.
        notes: Vec<ReleaseNote>,
    },
    /// A peer sent its whole catalog.
    Whole {
        /// The peer.
        from: Name,
        /// Its catalog.
        catalog: Arc<Catalog>,
    },
    /// A peer asked for the whole catalog.
    Wanted(Name),
    /// The platform's head object was read or seen by the watch.
    Head(CatalogHead),
    /// A snapshot was read; `None` when it could not be.
    Snapshot(Option<Arc<Catalog>>),
    /// A new watch is in place.
    WatchOpened,
    /// A watch ended or could not be opened.
    WatchFailed,
    /// Time passed.
    Tick,
}

/// Something to be done by the program.
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
    /// Open a watch of the head on a new connection, then end the old one.
    OpenWatch,
    /// End the watch.
    CloseWatch,
    /// Read the head object.
    ReadHead,
    /// Read a snapshot.
    ReadSnapshot(SnapshotRef),
    /// Tell peers by heartbeat what is in force and whether the platform is followed.
    Announce,
}
