//! Parsing and validation of request heads.

use crate::http::{Framing, Limits, MessageError};
use crate::prelude::*;

/// Maximum number of headers in one message.
pub(crate) const MAX_HEADERS: usize = 64;

/// Characters that are not part of a request target (RFC 9112, section 3.2): a URL would be cut at
/// the first or read with the second as a separator, and the request would be for another path.
const NOT_IN_TARGET: [char; 2] = ['#', '\\'];
/// Bytes that end the host in a URL, or move its start.
const NOT_IN_HOST: &[u8] = b"/?#@\\";

/// Validated request head, rewritten so that `async-h1` decodes it as a request without a body.
#[derive(Debug)]
pub struct RequestHead {
    /// Head without `expect` and body framing headers, ending in an empty line.
    pub bytes: Vec<u8>,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the client waits for `100 Continue`.
    pub expects_continue: bool,
    /// Whether the client asked to close the connection after the response.
    pub close: bool,
    /// Length of the original head, in bytes.
    pub consumed: usize,
}

impl RequestHead {
    /// Parses a head from the start of `buf`; `None` when more bytes are needed.
    ///
    /// # Errors
    /// A [`MessageError`] naming the rule that was broken.
    pub fn parse(buf: &[u8], limits: &Limits) -> Result<Option<Self>, MessageError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut req = httparse::Request::new(&mut headers);
        let consumed = match req.parse(buf) {
            Ok(httparse::Status::Complete(n)) if n <= limits.head_bytes => n,
            Ok(httparse::Status::Partial) if buf.len() <= limits.head_bytes => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(MessageError::HeadTooLarge),
            Err(_) => return Err(MessageError::Malformed),
        };
        if req.version != Some(1) {
            return Err(MessageError::Malformed);
        }
        Self::validate(&req, consumed).map(Some)
    }

    fn validate(req: &httparse::Request<'_, '_>, consumed: usize) -> Result<Self, MessageError> {
        let is_host = |h: &&httparse::Header<'_>| h.name.eq_ignore_ascii_case("host");
        let hosts: SmallVec<[_; 1]> = req.headers.iter().filter(is_host).collect();
        let [host] = hosts[..] else {
            return Err(MessageError::NoHost);
        };
        let target = req.path.unwrap_or_default();
        if target.contains(NOT_IN_TARGET) || host.value.iter().any(|b| NOT_IN_HOST.contains(b)) {
            return Err(MessageError::Malformed);
        }
        let mut head = Self {
            bytes: Vec::with_capacity(consumed),
            framing: Framing::from_headers(req.headers)?,
            expects_continue: false,
            close: false,
            consumed,
        };
        head.write_request_line(req);
        for header in req.headers.iter() {
            head.write_header(header)?;
        }
        head.bytes.extend_from_slice(b"\r\n");
        Ok(head)
    }

    fn write_request_line(&mut self, req: &httparse::Request<'_, '_>) {
        self.bytes
            .extend_from_slice(req.method.unwrap_or_default().as_bytes());
        self.bytes.push(b' ');
        self.bytes
            .extend_from_slice(req.path.unwrap_or_default().as_bytes());
        self.bytes.extend_from_slice(b" HTTP/1.1\r\n");
    }

    fn write_header(&mut self, header: &httparse::Header<'_>) -> Result<(), MessageError> {
        let value = std::str::from_utf8(header.value).map_err(|_| MessageError::Malformed)?;
        if header.name.eq_ignore_ascii_case("expect") {
            self.expects_continue = value.eq_ignore_ascii_case("100-continue");
            return Ok(());
        }
        if header.name.eq_ignore_ascii_case("connection") {
            self.close |= value
                .split(',')
                .any(|v| v.trim().eq_ignore_ascii_case("close"));
        }
        if header.name.eq_ignore_ascii_case("content-length")
            || header.name.eq_ignore_ascii_case("transfer-encoding")
        {
            return Ok(());
        }
        self.bytes.extend_from_slice(header.name.as_bytes());
        self.bytes.extend_from_slice(b": ");
        self.bytes.extend_from_slice(header.value);
        self.bytes.extend_from_slice(b"\r\n");
        Ok(())
    }
}
