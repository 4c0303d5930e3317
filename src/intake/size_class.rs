//! Classes of requests.

use crate::intake::SMALL_BYTES;

/// Class of a request by the bytes that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SizeClass {
    /// At most [`SMALL_BYTES`].
    Small,
    /// More.
    Large,
}

impl SizeClass {
    pub(crate) fn of(bytes: usize) -> Self {
        if bytes <= SMALL_BYTES {
            Self::Small
        } else {
            Self::Large
        }
    }
}
