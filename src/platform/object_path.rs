//! Paths of calls to an object API.

use std::fmt::Display;
use std::net::SocketAddr;

use http_types::Url;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

use crate::platform::PlatformError;

/// Bytes that have to be encoded in a segment of a path and in a query: all but the unreserved
/// characters of RFC 3986.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Path and query of a call to an object API. Kinds, names and values of parameters may have any
/// characters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectPath {
    /// Encoded path below the API's root.
    path: String,
    /// Encoded query, with its question mark if it is not empty.
    query: String,
}

impl ObjectPath {
    /// Path of all objects of a kind.
    ///
    /// # Errors
    /// When a URL cannot name the kind.
    pub fn of_kind(kind: &str) -> Result<Self, PlatformError> {
        Ok(Self {
            path: encode_segment(kind)?,
            query: String::new(),
        })
    }

    /// Path of one object.
    ///
    /// # Errors
    /// When a URL cannot name the object.
    pub fn of_object(kind: &str, name: &str) -> Result<Self, PlatformError> {
        let path = [encode_segment(kind)?, encode_segment(name)?].join("/");
        Ok(Self {
            path,
            query: String::new(),
        })
    }

    /// Adds a parameter to the query.
    #[must_use]
    pub fn with(mut self, key: &str, value: impl Display) -> Self {
        self.query
            .push(if self.query.is_empty() { '?' } else { '&' });
        self.query.push_str(&encode(key));
        self.query.push('=');
        self.query.push_str(&encode(&value.to_string()));
        self
    }

    /// URL at a server whose API has its root at `root`, which begins and ends with a slash.
    ///
    /// # Errors
    /// When the address and the root make no URL.
    pub fn to_url(&self, server: SocketAddr, root: &'static str) -> Result<Url, PlatformError> {
        let text = format!("http://{server}{root}{}{}", self.path, self.query);
        Url::parse(&text).map_err(|err| PlatformError::Rejected(err.to_string()))
    }
}

fn encode(text: &str) -> String {
    utf8_percent_encode(text, RESERVED).to_string()
}

/// Encodes a segment of a path. Those that are empty or consist of one or two dots have a meaning of
/// their own, also when they are encoded.
fn encode_segment(text: &str) -> Result<String, PlatformError> {
    if matches!(text, "" | "." | "..") {
        let reason = format!("no path has the segment {text:?}");
        return Err(PlatformError::Rejected(reason));
    }
    Ok(encode(text))
}
