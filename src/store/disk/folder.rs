//! Reading, writing and removing block files; every call blocks.

use std::fs::{self, File};
use std::io::{self, BufReader, Read, Write};
use std::path::Path;

use crate::cache::BlockKey;
use crate::store::disk::layout::Layout;
use crate::store::disk::{DiskError, Record, Scan};
use crate::store::index::Generation;

/// Bits of a generation that count within one start.
const GENERATIONS_PER_START_BITS: u32 = 40;

/// The folder of one store, locked against others.
#[derive(Debug)]
pub struct Folder {
    layout: Layout,
    _lock: File,
}

impl Folder {
    /// Locks the folder, makes what is missing and drops whatever has no commit record.
    ///
    /// # Errors
    /// When the folder cannot be used or another store uses it.
    pub fn open(root: impl AsRef<Path>) -> io::Result<(Self, Scan)> {
        let layout = Layout::new(root.as_ref());
        fs::create_dir_all(layout.staging())?;
        fs::create_dir_all(layout.freed())?;
        for shelf in layout.shelves() {
            fs::create_dir_all(shelf)?;
        }
        let lock = File::create(layout.lock())?;
        if lock.try_lock().is_err() {
            let detail = "another store uses this folder";
            return Err(io::Error::new(io::ErrorKind::ResourceBusy, detail));
        }
        let mut scan = Scan::run(&layout)?;
        scan.first = Generation(count_start(&layout)? << GENERATIONS_PER_START_BITS);
        sync_dir(&layout.blocks())?;
        sync_dir(root.as_ref())?;
        let folder = Self {
            layout,
            _lock: lock,
        };
        Ok((folder, scan))
    }

    /// Writes a block to the staging folder and syncs it.
    ///
    /// # Errors
    /// When writing fails, such as on a full disk.
    pub fn stage(
        &self,
        generation: Generation,
        record: &Record,
        bytes: &[u8],
    ) -> Result<(), DiskError> {
        let mut f = File::create(self.layout.staged(generation))?;
        let mut head = Vec::new();
        record.write(&mut head)?;
        f.write_all(&head)?;
        f.write_all(bytes)?;
        f.sync_data()?;
        Ok(())
    }

    /// Commits a staged block by renaming it; the bytes are synced before, so that a power cut
    /// leaves either the whole block or none.
    ///
    /// # Errors
    /// When the rename fails.
    pub fn commit(&self, generation: Generation, key: &BlockKey) -> io::Result<()> {
        let staged = self.layout.staged(generation);
        fs::rename(staged, self.layout.block(key, generation))
    }

    /// Reads a committed block and checks its record, length and digest.
    ///
    /// # Errors
    /// [`DiskError::Corrupt`] when one of them does not fit.
    pub fn read(
        &self,
        generation: Generation,
        key: &BlockKey,
    ) -> Result<(Record, Vec<u8>), DiskError> {
        let f = File::open(self.layout.block(key, generation))?;
        let file_len = f.metadata()?.len();
        let mut f = BufReader::new(f);
        let (record, head_len) = Record::read(&mut f)?;
        let fits = record.info.key == *key && head_len + record.info.bytes == file_len;
        let len = usize::try_from(record.info.bytes).ok().filter(|_| fits);
        let mut bytes = vec![0; len.ok_or(DiskError::Corrupt)?];
        f.read_exact(&mut bytes)?;
        if blake3::hash(&bytes) != record.digest {
            return Err(DiskError::Corrupt);
        }
        Ok((record, bytes))
    }

    /// Records durably that a generation is freed.
    ///
    /// # Errors
    /// When the record cannot be written.
    pub fn bury(&self, generation: Generation) -> io::Result<()> {
        File::create(self.layout.tombstone(generation))?.sync_all()?;
        sync_dir(&self.layout.freed())
    }

    /// Makes earlier removals of a block survive a power cut.
    ///
    /// # Errors
    /// When the folder cannot be synced.
    pub fn sync(&self, key: &BlockKey) -> io::Result<()> {
        sync_dir(&self.layout.shelf(key))
    }

    /// Removes a generation, staged or committed; with `durable` the removal survives a power cut.
    ///
    /// The tombstone of a freed generation goes only after the removal is durable.
    ///
    /// # Errors
    /// When the file cannot be removed.
    pub fn remove(&self, generation: Generation, key: &BlockKey, durable: bool) -> io::Result<()> {
        remove_file(&self.layout.staged(generation))?;
        remove_file(&self.layout.block(key, generation))?;
        let tombstone = self.layout.tombstone(generation);
        let buried = tombstone.exists();
        if durable || buried {
            sync_dir(&self.layout.shelf(key))?;
        }
        if buried {
            remove_file(&tombstone)?;
        }
        Ok(())
    }
}

/// Counts this start durably, so that no two starts use the same generations.
fn count_start(layout: &Layout) -> io::Result<u64> {
    let path = layout.starts();
    let text = fs::read_to_string(&path).unwrap_or_default();
    let starts = text.trim().parse::<u64>().unwrap_or(0) + 1;
    let fresh = path.with_extension("new");
    let mut f = File::create(&fresh)?;
    f.write_all(starts.to_string().as_bytes())?;
    f.sync_all()?;
    fs::rename(fresh, path)?;
    Ok(starts)
}

/// Removes a file that may be gone already.
pub(super) fn remove_file(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(err) if err.kind() != io::ErrorKind::NotFound => Err(err),
        _ => Ok(()),
    }
}

/// Makes renames and removals in a folder durable.
pub(super) fn sync_dir(path: &Path) -> io::Result<()> {
    File::open(path)?.sync_all()
}
