//! Objects of the platform that cannot be read.

use std::fmt;

use crate::prelude::*;

/// Most characters of a decoder's error that are kept.
const MAX_DETAIL: usize = 200;

/// Why an object cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectFault {
    /// It has bytes outside UTF-8.
    NotUtf8,
    /// Its name is too long for the object to be kept.
    NameTooLong,
    /// Its fields are too long.
    TooLong,
    /// It is no JSON that can be parsed.
    InvalidJson,
    /// A field is missing or has another type.
    Undecodable,
}

impl fmt::Display for ObjectFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotUtf8 => "not UTF-8",
            Self::NameTooLong => "name too long",
            Self::TooLong => "too long",
            Self::InvalidJson => "invalid JSON",
            Self::Undecodable => "undecodable",
        })
    }
}

/// An object that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableObject {
    /// Its name.
    pub name: Name,
    /// Why it cannot be read.
    pub fault: ObjectFault,
    /// Beginning of the decoder's error; empty if there is none.
    pub detail: Name,
}

impl fmt::Display for UnreadableObject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.fault.fmt(f)?;
        if self.detail.is_empty() {
            return Ok(());
        }
        write!(f, ": {}", self.detail)
    }
}

/// Objects of a response that cannot be read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnreadableObjects {
    named: Vec<UnreadableObject>,
    unnamed: usize,
}

impl UnreadableObjects {
    /// Adds an object, with the decoder's error if there is one.
    pub fn add(&mut self, name: &Name, fault: ObjectFault, detail: &str) {
        let detail: String = detail.chars().take(MAX_DETAIL).collect();
        self.named.push(UnreadableObject {
            name: name.clone(),
            fault,
            detail: detail.into(),
        });
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

    /// Those that have a name.
    pub fn named(&self) -> impl Iterator<Item = &UnreadableObject> {
        self.named.iter()
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
