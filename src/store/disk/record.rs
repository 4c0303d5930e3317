//! The commit record at the head of each block file.

use std::io::{Read, Write};

use serde::{Deserialize, Serialize};

use crate::store::disk::DiskError;
use crate::store::index::BlockInfo;

/// First bytes of a block file; the last one is the version of the record.
const MAGIC: [u8; 8] = *b"ghblock\x01";
/// Longest encoded record, in bytes.
const MAX_RECORD: u32 = 4096;
/// Bytes before the encoded record: magic and length.
const PREFIX: u64 = 12;

/// What a block file says of its bytes.
///
/// On disk: magic, length of the CBOR text in four little-endian bytes, the CBOR text, its BLAKE3
/// hash, the block's bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The block.
    pub info: BlockInfo,
    /// BLAKE3 hash of the block's bytes.
    pub digest: [u8; 32],
}

impl Record {
    /// Writes the record.
    ///
    /// # Errors
    /// When writing fails or the record is too long.
    pub fn write(&self, mut out: impl Write) -> Result<(), DiskError> {
        let mut text = Vec::new();
        ciborium::into_writer(self, &mut text).map_err(|_| DiskError::Corrupt)?;
        let len = u32::try_from(text.len()).ok().filter(|n| *n <= MAX_RECORD);
        out.write_all(&MAGIC)?;
        out.write_all(&len.ok_or(DiskError::Corrupt)?.to_le_bytes())?;
        out.write_all(&text)?;
        out.write_all(blake3::hash(&text).as_bytes())?;
        Ok(())
    }

    /// Reads a record and the length of the file in front of the block's bytes.
    ///
    /// # Errors
    /// [`DiskError::Corrupt`] when it does not parse or does not fit its hash.
    pub fn read(mut f: impl Read) -> Result<(Self, u64), DiskError> {
        let mut magic = [0; MAGIC.len()];
        f.read_exact(&mut magic)?;
        let mut len = [0; 4];
        f.read_exact(&mut len)?;
        let len = u32::from_le_bytes(len);
        if magic != MAGIC || len > MAX_RECORD {
            return Err(DiskError::Corrupt);
        }
        let mut text = vec![0; len as usize];
        f.read_exact(&mut text)?;
        let mut hash = [0; 32];
        f.read_exact(&mut hash)?;
        if blake3::hash(&text) != hash {
            return Err(DiskError::Corrupt);
        }
        let record = ciborium::from_reader(&*text).map_err(|_| DiskError::Corrupt)?;
        Ok((record, PREFIX + u64::from(len) + hash.len() as u64))
    }
}
