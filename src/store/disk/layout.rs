//! Names of files and folders.

use std::path::{Path, PathBuf};

use crate::cache::BlockKey;
use crate::store::index::Generation;

/// Digits of a key that name its folder.
const FOLDER_DIGITS: usize = 2;

/// Paths below a store's folder.
#[derive(Clone, Debug)]
pub(super) struct Layout {
    root: PathBuf,
}

impl Layout {
    pub(super) fn new(root: impl Into<PathBuf>) -> Self {
        Self { root: root.into() }
    }

    pub(super) fn lock(&self) -> PathBuf {
        self.root.join("lock")
    }

    /// Number of starts so far.
    pub(super) fn starts(&self) -> PathBuf {
        self.root.join("starts")
    }

    pub(super) fn staging(&self) -> PathBuf {
        self.root.join("staging")
    }

    pub(super) fn staged(&self, generation: Generation) -> PathBuf {
        self.staging().join(format!("{:016x}", generation.0))
    }

    pub(super) fn freed(&self) -> PathBuf {
        self.root.join("freed")
    }

    pub(super) fn tombstone(&self, generation: Generation) -> PathBuf {
        self.freed().join(format!("{:016x}", generation.0))
    }

    pub(super) fn blocks(&self) -> PathBuf {
        self.root.join("blocks")
    }

    /// Folder of a block's file.
    pub(super) fn shelf(&self, key: &BlockKey) -> PathBuf {
        self.blocks().join(&key.to_string()[..FOLDER_DIGITS])
    }

    pub(super) fn block(&self, key: &BlockKey, generation: Generation) -> PathBuf {
        let name = format!("{key}-{:016x}", generation.0);
        self.shelf(key).join(name)
    }

    /// All folders of blocks.
    pub(super) fn shelves(&self) -> impl Iterator<Item = PathBuf> {
        let blocks = self.blocks();
        (0..=u8::MAX).map(move |n| blocks.join(format!("{n:02x}")))
    }
}

/// Reads key and generation from the name of a block file.
pub(super) fn parse_block(path: &Path) -> Option<(BlockKey, Generation)> {
    let (key, generation) = path.file_name()?.to_str()?.split_once('-')?;
    Some((key.parse().ok()?, parse_number(generation)?))
}

/// Reads the generation from the name of a staged file or tombstone.
pub(super) fn parse_generation(path: &Path) -> Option<Generation> {
    parse_number(path.file_name()?.to_str()?)
}

fn parse_number(text: &str) -> Option<Generation> {
    u64::from_str_radix(text, 16).ok().map(Generation)
}
