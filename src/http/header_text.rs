//! Texts that become values of header fields.

use std::fmt;

use crate::prelude::*;

/// Longest value of a header field, in bytes; common servers accept heads of 8 KiB.
pub const MAX_HEADER_TEXT_BYTES: usize = 1024;

/// A text that one header field carries unchanged (RFC 9110, section 5.5): without control
/// characters, without white space at its ends, and of bounded length.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderText(Name);

/// Why a text cannot be the value of a header field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidHeaderText {
    /// It has a control character, such as a line end.
    ControlCharacter,
    /// It begins or ends with white space, which a recipient removes.
    OuterSpace,
    /// It is longer than [`MAX_HEADER_TEXT_BYTES`].
    TooLong,
}

impl HeaderText {
    /// Checks a text.
    ///
    /// # Errors
    /// When no header field carries the text unchanged.
    pub fn new(text: impl Into<Name>) -> Result<Self, InvalidHeaderText> {
        let text = text.into();
        if text.len() > MAX_HEADER_TEXT_BYTES {
            return Err(InvalidHeaderText::TooLong);
        }
        if text.chars().any(char::is_control) {
            return Err(InvalidHeaderText::ControlCharacter);
        }
        if text.trim().len() < text.len() {
            return Err(InvalidHeaderText::OuterSpace);
        }
        Ok(Self(text))
    }

    /// The text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The text as the value of a field; `None` if it is not ASCII.
    #[must_use]
    pub fn to_value(&self) -> Option<http_types::headers::HeaderValue> {
        self.0.parse().ok()
    }
}

impl fmt::Display for InvalidHeaderText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ControlCharacter => f.write_str("has a control character"),
            Self::OuterSpace => f.write_str("begins or ends with white space"),
            Self::TooLong => write!(f, "is longer than {MAX_HEADER_TEXT_BYTES} bytes"),
        }
    }
}

impl std::error::Error for InvalidHeaderText {}
