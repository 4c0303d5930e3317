//! How a message body is delimited.

use crate::http::MessageError;

/// Delimitation of a message body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Exactly this many bytes.
    Length(u64),
    /// The chunked transfer coding.
    Chunked,
    /// Neither length nor coding was given.
    Unspecified,
}

impl Framing {
    /// Reads the framing from parsed headers.
    ///
    /// # Errors
    /// [`MessageError::BadLength`] for repeated, contradictory or malformed lengths,
    /// [`MessageError::BadCoding`] for codings other than `chunked`.
    pub fn from_headers(headers: &[httparse::Header<'_>]) -> Result<Self, MessageError> {
        let mut framing = Self::Unspecified;
        for header in headers {
            let next = if header.name.eq_ignore_ascii_case("content-length") {
                Self::Length(parse_length(header.value)?)
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                if !header.value.eq_ignore_ascii_case(b"chunked") {
                    return Err(MessageError::BadCoding);
                }
                Self::Chunked
            } else {
                continue;
            };
            if framing != Self::Unspecified {
                return Err(MessageError::BadLength);
            }
            framing = next;
        }
        Ok(framing)
    }
}

fn parse_length(value: &[u8]) -> Result<u64, MessageError> {
    let text = std::str::from_utf8(value).map_err(|_| MessageError::BadLength)?;
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(MessageError::BadLength);
    }
    text.parse().map_err(|_| MessageError::BadLength)
}
