//! A listing that is read page by page from a store that decides when it ends: a state machine
//! without input or output.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::platform::{Listing, Object, UnreadableObjects, Version};
use crate::prelude::*;

/// Most pages of a listing.
const MAX_PAGES: u32 = 1_000;
/// Most bytes of the objects of a listing, as the store sends them and without what is skipped.
const MAX_BYTES: usize = 8 * 1024 * 1024;
/// Longest time for a listing, in parts.
const MAX_TIME: Duration = Duration::from_mins(1);

/// One page of a listing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListingPage {
    /// The objects, those that cannot be read with a `spec` of null.
    pub objects: Vec<Object>,
    /// What cannot be read.
    pub unreadable: UnreadableObjects,
    /// Name after which the next page begins: that of the last object that has one, or one that
    /// follows it.
    pub last_name: Option<Name>,
    /// Whether the store has further objects.
    pub has_more: bool,
    /// Size of what is kept of the objects, in bytes.
    pub bytes: usize,
}

/// Why a listing ended before the last object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingStop {
    /// A page has no name after which the next one could be asked for, or one that was used before.
    NoProgress,
    /// There are too many pages.
    TooManyPages,
    /// The objects take too much memory.
    TooLarge,
    /// It took too long.
    TooSlow,
    /// It goes on with the next call.
    Paused,
    /// A page other than the first got no valid answer; it is asked for with the next call.
    PageFailed,
    /// The store refused a page other than the first.
    PageRefused,
    /// A page other than the first cannot be read.
    PageUnreadable,
}

impl fmt::Display for ListingStop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoProgress => "pages do not advance",
            Self::TooManyPages => "too many pages",
            Self::TooLarge => "objects take too much memory",
            Self::TooSlow => "pages take too long",
            Self::Paused => "the rest follows",
            Self::PageFailed => "a page is not answered",
            Self::PageRefused => "a page is refused",
            Self::PageUnreadable => "a page cannot be read",
        })
    }
}

/// What follows a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextPage {
    /// The page after this name.
    After(Name),
    /// None: the listing has ended.
    None,
}

/// A listing of which some pages were read. Each further page must follow a name that no page
/// followed before, and there are bounds on pages, memory and time.
#[derive(Clone, Debug)]
pub struct PagedListing {
    objects: BTreeMap<Name, Object>,
    unreadable: UnreadableObjects,
    version: Version,
    began_at: Timestamp,
    pages: u32,
    /// Pages of the present part.
    part_pages: u32,
    bytes: usize,
    /// Names after which pages were asked for.
    followed: BTreeSet<Name>,
}

impl PagedListing {
    /// A listing whose first page, of the store's version `version`, is read now.
    #[must_use]
    pub fn new(began_at: Timestamp, version: Version) -> Self {
        Self {
            objects: BTreeMap::new(),
            unreadable: UnreadableObjects::default(),
            version,
            began_at,
            pages: 0,
            part_pages: 0,
            bytes: 0,
            followed: BTreeSet::new(),
        }
    }

    /// Version of the store at the first page.
    #[must_use]
    pub fn version(&self) -> &Version {
        &self.version
    }

    /// Whether it began too long ago to go on.
    #[must_use]
    pub fn is_too_old(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.began_at) >= MAX_TIME
    }

    /// Adds a page and returns which one to ask for next.
    ///
    /// # Errors
    /// Why no further page is to be asked for although the store has further objects.
    pub fn add(&mut self, now: Timestamp, page: ListingPage) -> Result<NextPage, ListingStop> {
        self.pages += 1;
        self.part_pages += 1;
        self.bytes += page.bytes;
        self.unreadable.extend(page.unreadable);
        for object in page.objects {
            self.objects.insert(object.name.clone(), object);
        }
        if !page.has_more {
            return Ok(NextPage::None);
        }
        if self.pages >= MAX_PAGES {
            return Err(ListingStop::TooManyPages);
        }
        if self.bytes > MAX_BYTES {
            return Err(ListingStop::TooLarge);
        }
        if self.is_too_old(now) {
            return Err(ListingStop::TooSlow);
        }
        let name = page.last_name.ok_or(ListingStop::NoProgress)?;
        if !self.followed.insert(name.clone()) {
            return Err(ListingStop::NoProgress);
        }
        Ok(NextPage::After(name))
    }

    /// The listing, with the reason if it ended before the last object.
    #[must_use]
    pub fn finish(self, stop: Option<ListingStop>) -> Listing {
        Listing {
            items: self.objects.into_values().collect(),
            version: self.version,
            unreadable: self.unreadable,
            pages: self.part_pages,
            stop,
        }
    }

    /// What was listed so far; the next part begins.
    #[must_use]
    pub fn take_part(&mut self, stop: ListingStop) -> Listing {
        let part = self.clone().finish(Some(stop));
        self.part_pages = 0;
        part
    }
}
