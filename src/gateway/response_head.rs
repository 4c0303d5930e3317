//! Heads of targets' responses.

use std::io::Write;

use crate::gateway::{Dialect, ResponseInfo};
use crate::http::{Framing, MAX_HEADERS, MessageError, response_status};

/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Head of a target's response.
#[derive(Clone, Debug)]
pub(crate) struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// How the body is delimited.
    pub framing: Framing,
    /// Decoded headers.
    pub info: ResponseInfo,
    /// Status line and end-to-end headers, without the empty line.
    lines: Vec<u8>,
}

impl ResponseHead {
    /// Parses and removes a head from the front of `raw`; `None` when more bytes are needed.
    pub(crate) fn parse(
        raw: &mut Vec<u8>,
        dialect: &dyn Dialect,
    ) -> Result<Option<Self>, MessageError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut res = httparse::Response::new(&mut headers);
        let len = match res.parse(raw) {
            Ok(httparse::Status::Complete(len)) if len <= MAX_HEAD_BYTES => len,
            Ok(httparse::Status::Partial) if raw.len() <= MAX_HEAD_BYTES => return Ok(None),
            Ok(_) => return Err(MessageError::HeadTooLarge),
            Err(_) => return Err(MessageError::Malformed),
        };
        let status = response_status(&res)?;
        let head = Self {
            status,
            framing: Framing::from_headers(res.headers)?,
            info: dialect.decode_response(&res),
            lines: forwarded_lines(status, &res),
        };
        raw.drain(..len);
        Ok(Some(head))
    }

    /// Whether the response is interim (1xx), so that another follows.
    pub(crate) fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// Whether responses with this status have no body.
    pub(crate) fn is_bodiless(&self) -> bool {
        self.status == 204 || self.status == 304
    }

    /// Whether the status is 2xx.
    pub(crate) fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Appends the head of a complete response.
    pub(crate) fn write_complete(&self, body_bytes: usize, close: bool, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.lines);
        if !self.is_bodiless() {
            let _ = write!(out, "content-length: {body_bytes}\r\n");
        }
        write_end(close, out);
    }

    /// Appends the head of a streamed response, which uses the chunked coding.
    pub(crate) fn write_chunked(&self, close: bool, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.lines);
        out.extend_from_slice(b"transfer-encoding: chunked\r\n");
        write_end(close, out);
    }
}

fn write_end(close: bool, out: &mut Vec<u8>) {
    if close {
        out.extend_from_slice(b"connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

/// Encodes the status line and the headers that are forwarded.
fn forwarded_lines(status: u16, res: &httparse::Response<'_, '_>) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    let reason = res.reason.unwrap_or_default();
    let _ = write!(out, "HTTP/1.1 {status} {reason}\r\n");
    for header in res.headers.iter() {
        if is_hop_by_hop(header.name) {
            continue;
        }
        out.extend_from_slice(header.name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(header.value);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Whether a header is not forwarded: it applies to a single connection (RFC 9110, section 7.6.1),
/// or it is `content-length`, which is generated anew.
fn is_hop_by_hop(name: &str) -> bool {
    const NAMES: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "content-length",
        "te",
        "trailer",
        "upgrade",
        "proxy-authenticate",
    ];
    NAMES.iter().any(|n| name.eq_ignore_ascii_case(n))
}
