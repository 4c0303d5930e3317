//! The entry process of one VM: serves callers on traffic threads and runs a control thread.

mod admin;
mod builder;
mod control;
mod peer_handler;
mod probe;
mod probe_assignment;
mod quarantine;
mod running_entry;
mod status;
mod threads;
mod vm_list_watcher;

pub use builder::{Entry, EntryAddresses};
pub use probe_assignment::ProbeAssignment;
pub use running_entry::RunningEntry;
pub(crate) use threads::Threads;
