//! The catalog of what operators declare, and each entry's replica of it.
//!
//! Operators declare customers, models, serving policies, plain services and trust in targets by
//! release notes. Each accepted note creates the next revision of the catalog.

mod cell;
mod contradiction;
mod customer;
mod declarations;
mod head;
mod model;
mod note;
mod note_record;
mod policy;
mod replica;
mod replica_event;
mod service;
mod snapshot;
mod store;
mod sync;
mod token;
mod trust;

pub use cell::CatalogCell;
pub use contradiction::{Contradiction, Contradictions};
pub use customer::Customer;
pub use declarations::{DeclarationId, Declarations};
pub use head::{CatalogHead, EntryRevision, SnapshotRef};
pub use model::Model;
pub use note::ReleaseNote;
pub use note_record::NoteRecord;
pub use policy::{Policy, PriorityClass};
pub use replica::{Replica, ReplicaSettings, WATCHERS_PER_DOMAIN};
pub use replica_event::{ReplicaEffect, ReplicaEvent, RevisionSource};
pub use service::{Route, Service};
pub use snapshot::Catalog;
pub use store::CatalogStore;
pub use sync::CatalogSync;
pub use token::TokenHash;
pub use trust::Trust;
