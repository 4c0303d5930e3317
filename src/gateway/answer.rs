//! Heads of targets' answers.

use std::io::Write;

use crate::gateway::{AnswerFacts, Dialect};
use crate::http::{Framing, MAX_HEADERS, MessageError};

/// Longest head of an answer, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// Head of a target's answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// How the body is delimited.
    pub framing: Framing,
    /// What it says of the exchange.
    pub facts: AnswerFacts,
    /// Status line and the headers that are passed on, without the empty line.
    lines: Vec<u8>,
}

impl AnswerHead {
    /// Takes a head from the front of `raw`; `None` when more bytes are needed.
    pub(crate) fn take(
        raw: &mut Vec<u8>,
        dialect: &dyn Dialect,
    ) -> Result<Option<Self>, MessageError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut res = httparse::Response::new(&mut headers);
        let len = match res.parse(raw) {
            Ok(httparse::Status::Complete(len)) if len <= MAX_HEAD => len,
            Ok(httparse::Status::Partial) if raw.len() <= MAX_HEAD => return Ok(None),
            Ok(_) => return Err(MessageError::HeadTooLarge),
            Err(_) => return Err(MessageError::Malformed),
        };
        let head = Self {
            status: res.code.unwrap_or_default(),
            framing: Framing::from_headers(res.headers)?,
            facts: dialect.decode_answer(&res),
            lines: passed_on(&res),
        };
        raw.drain(..len);
        Ok(Some(head))
    }

    /// Whether the answer is interim and another follows.
    pub(crate) fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// Whether answers of this status have no body.
    pub(crate) fn is_bodiless(&self) -> bool {
        self.status == 204 || self.status == 304
    }

    /// Whether the target ran the request to a good end.
    pub(crate) fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Appends the head of a whole answer.
    pub(crate) fn write_whole(&self, body_bytes: usize, close: bool, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.lines);
        if !self.is_bodiless() {
            let _ = write!(out, "content-length: {body_bytes}\r\n");
        }
        write_end(close, out);
    }

    /// Appends the head of a streamed answer in chunks.
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

/// Status line and headers, less those that concern one connection.
fn passed_on(res: &httparse::Response<'_, '_>) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    let reason = res.reason.unwrap_or_default();
    let _ = write!(
        out,
        "HTTP/1.1 {} {reason}\r\n",
        res.code.unwrap_or_default()
    );
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

/// Headers that concern one connection (RFC 9110, section 7.6.1).
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
