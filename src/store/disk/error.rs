//! Errors of reading a block from disk.

use std::{fmt, io};

/// Why a block cannot be read.
#[derive(Debug)]
pub enum DiskError {
    /// The file cannot be read.
    Io(io::Error),
    /// The record does not parse, or length or digest do not fit.
    Corrupt,
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(err) => err.fmt(f),
            Self::Corrupt => f.write_str("record, length or digest does not fit"),
        }
    }
}

impl std::error::Error for DiskError {}

impl From<io::Error> for DiskError {
    fn from(err: io::Error) -> Self {
        if err.kind() == io::ErrorKind::UnexpectedEof {
            return Self::Corrupt;
        }
        Self::Io(err)
    }
}
