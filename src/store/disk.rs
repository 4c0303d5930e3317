//! Blocks in a folder.
//!
//! - `staging/{generation}`: bytes being written; nothing in it survives a start.
//! - `blocks/{first two digits}/{key}-{generation}`: committed blocks. A block is committed by one
//!   rename from the staging folder, after its bytes were synced.
//! - `freed/{generation}`: a generation that was freed while its bytes still existed.
//! - `starts`: the number of starts, from which each start's generations follow.
//! - `lock`: held by the store that uses the folder.

mod error;
mod folder;
mod layout;
mod record;
mod scan;

pub use error::DiskError;
pub use folder::Folder;
pub use record::Record;
pub use scan::Scan;
