//! Objects of the platform that cannot be read.

use std::fmt;

use crate::prelude::*;

/// Why an object cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ObjectFault {
    /// It has bytes outside UTF-8.
    NotUtf8,
    /// Its name is too long for the object to be kept.
    NameTooLong,
    /// Its fields are too long.
    TooLong,
    /// It is no JSON that can be decoded.
    InvalidJson,
}

impl ObjectFault {
    /// Name for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotUtf8 => "not_utf8",
            Self::NameTooLong => "name_too_long",
            Self::TooLong => "too_long",
            Self::InvalidJson => "invalid_json",
        }
    }
}

impl fmt::Display for ObjectFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Objects of a response that cannot be read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnreadableObjects {
    named: Vec<(Name, ObjectFault)>,
    unnamed: usize,
}

impl UnreadableObjects {
    /// Adds an object.
    pub fn add(&mut self, name: &Name, fault: ObjectFault) {
        self.named.push((name.clone(), fault));
    }

    /// Adds an object whose name cannot be read.
    pub fn add_unnamed(&mut self) {
        self.unnamed += 1;
    }

    /// Adds those of another response.
    pub fn extend(&mut self, other: Self) {
        self.named.extend(other.named);
        self.unnamed += other.unnamed;
    }

    /// Names, with the reason for each.
    pub fn named(&self) -> impl Iterator<Item = (&Name, ObjectFault)> {
        self.named.iter().map(|(name, fault)| (name, *fault))
    }

    /// Number of objects whose name cannot be read.
    #[must_use]
    pub fn unnamed(&self) -> usize {
        self.unnamed
    }

    /// Number of all objects.
    #[must_use]
    pub fn count(&self) -> usize {
        self.named.len() + self.unnamed
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.named.is_empty() && self.unnamed == 0
    }
}
