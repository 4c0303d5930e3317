//! What a store finds in its folder at its start.

use std::collections::HashSet;
use std::fs::{self, File};
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};

use crate::store::disk::Record;
use crate::store::disk::folder::{remove_file, sync_dir};
use crate::store::disk::layout::{Layout, parse_block, parse_generation};
use crate::store::index::{BlockInfo, Generation};

/// Committed blocks and what was dropped.
#[derive(Debug, Default)]
pub struct Scan {
    /// First generation of this start; no earlier start used it.
    pub first: Generation,
    /// Committed blocks.
    pub found: Vec<(Generation, BlockInfo)>,
    /// Uploads without a commit.
    pub uncommitted: usize,
    /// Blocks freed before the stop whose bytes were left.
    pub freed: usize,
    /// Files that cannot be read or whose record or length does not fit.
    pub corrupt: usize,
}

impl Scan {
    /// Reads the folder; removes uploads without a commit, freed blocks and unreadable files.
    pub(super) fn run(layout: &Layout) -> io::Result<Self> {
        let mut scan = Self::default();
        for path in files(&layout.staging())? {
            remove_file(&path)?;
            scan.uncommitted += 1;
        }
        let tombstones = files(&layout.freed())?;
        let freed: HashSet<Generation> = tombstones
            .iter()
            .filter_map(|p| parse_generation(p))
            .collect();
        for shelf in layout.shelves() {
            scan.read_shelf(&shelf, &freed)?;
        }
        for path in tombstones {
            remove_file(&path)?;
        }
        Ok(scan)
    }

    fn read_shelf(&mut self, folder: &Path, freed: &HashSet<Generation>) -> io::Result<()> {
        let mut removed = false;
        for path in files(folder)? {
            let buried = parse_block(&path).is_some_and(|(_, g)| freed.contains(&g));
            let block = if buried { None } else { inspect(&path) };
            if let Some(block) = block {
                self.found.push(block);
                continue;
            }
            remove_file(&path)?;
            removed = true;
            if buried {
                self.freed += 1;
            } else {
                self.corrupt += 1;
            }
        }
        if removed {
            sync_dir(folder)?;
        }
        Ok(())
    }
}

/// Reads the record of a block file; `None` when it does not fit its name or length.
fn inspect(path: &Path) -> Option<(Generation, BlockInfo)> {
    let (key, generation) = parse_block(path)?;
    let f = File::open(path).ok()?;
    let file_len = f.metadata().ok()?.len();
    let (record, head_len) = Record::read(BufReader::new(f)).ok()?;
    let fits = record.info.key == key && head_len + record.info.bytes == file_len;
    fits.then_some((generation, record.info))
}

fn files(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let entries = fs::read_dir(folder)?;
    let paths: io::Result<Vec<_>> = entries.map(|e| e.map(|e| e.path())).collect();
    let mut paths = paths?;
    paths.sort();
    Ok(paths)
}
