//! Client of the platform's object API, behind a trait.

mod error;
pub mod json_scan;
mod object;
mod object_path;
mod paged_listing;
mod remote;
mod remote_response;
mod revision;
mod unreadable;
mod vm;
mod watch_timing;

use futures_lite::future::Boxed;
use futures_lite::stream;

use crate::prelude::*;

pub use error::PlatformError;
pub use object::{Listing, Object, Version, WatchEvent};
pub use object_path::ObjectPath;
pub use paged_listing::{ListingPage, ListingStop, NextPage, PagedListing};
pub use remote::RemotePlatform;
pub use revision::StoreRevision;
pub use unreadable::{ObjectFault, UnreadableObject, UnreadableObjects};
pub use vm::{Role, Vm, VmPhase};
pub use watch_timing::{CALL_TIMEOUT, WATCH_CALL_PAUSE, WatchTiming};

/// Stream of watch events; after its end or an error, the watch must be opened again.
pub type WatchStream = stream::Boxed<Result<WatchEvent, PlatformError>>;

/// Time without data after which a watch of the object API has failed; bookmarks come more often.
pub(crate) const MAX_WATCH_SILENCE: Duration = Duration::from_secs(15);

/// Store of versioned objects with conditional updates and watches.
pub trait Platform: Send + Sync {
    /// Reads an object; `None` when it does not exist.
    fn get(&self, kind: &str, name: &str) -> Boxed<Result<Option<Object>, PlatformError>>;
    /// Lists all objects of a kind, with the version to watch from.
    fn list(&self, kind: &str) -> Boxed<Result<Listing, PlatformError>>;
    /// Creates an object; fails with [`PlatformError::Conflict`] if the name is taken.
    fn create(&self, object: Object) -> Boxed<Result<Object, PlatformError>>;
    /// Replaces an object if its current version is `object.version`.
    fn update(&self, object: Object) -> Boxed<Result<Object, PlatformError>>;
    /// Deletes an object if its current version is `version`.
    fn delete(&self, kind: &str, name: &str, version: Version) -> Boxed<Result<(), PlatformError>>;
    /// Watches the changes after version `from` of a kind, or of one object of it. The stream fails
    /// when it brings nothing, not even a bookmark, for the time that `timing` states.
    fn watch(
        &self,
        kind: &str,
        name: Option<&str>,
        from: Version,
        timing: WatchTiming,
    ) -> Boxed<Result<WatchStream, PlatformError>>;
    /// Newest era of the store that was seen in a response or reported by a peer; zero for a store
    /// that is never restored from an older copy. See [`StoreRevision`].
    fn era(&self) -> u64 {
        0
    }
    /// Records an era that a peer has seen, so that answers of former eras are discarded.
    fn observe_era(&self, _era: u64) {}
}
