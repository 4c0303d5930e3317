//! Which software version began a stream.
//!
//! What two versions of a target's software write does not fit together, so a stream may go on only at
//! the version that began it. Callers take streams up again at any entry; entries therefore tell each
//! other of the streams that begin at them.

mod key;
mod table;

pub use key::StreamKey;
pub use table::{OriginTable, StreamOrigin};
