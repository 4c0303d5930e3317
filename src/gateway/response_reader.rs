//! Reads a target's responses from a connection.

use std::io;
use std::net::TcpStream;

use async_io::Async;
use futures_lite::AsyncReadExt;

use crate::gateway::response_head::ResponseHead;
use crate::gateway::{BodyReader, Dialect, RequestHead};
use crate::http::MessageError;

/// Size of a read from a socket, in bytes.
const READ_SIZE: usize = 8 * 1024;
/// Maximum size of the body of a complete response, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Why a response was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseError {
    /// The connection failed or closed before the first byte of a response.
    NoResponse,
    /// The connection failed or closed within the response.
    CutShort,
    /// The bytes are no valid response.
    Malformed,
}

impl From<MessageError> for ResponseError {
    fn from(_: MessageError) -> Self {
        Self::Malformed
    }
}

/// Reads responses from one connection.
pub(crate) struct ResponseReader<'a> {
    stream: &'a Async<TcpStream>,
    raw: Vec<u8>,
    /// Whether the connection cannot be reused, since it closed or a response to another request
    /// was skipped.
    not_reusable: bool,
}

impl<'a> ResponseReader<'a> {
    /// Creates a reader of a connection.
    pub(crate) fn new(stream: &'a Async<TcpStream>) -> Self {
        Self {
            stream,
            raw: Vec::new(),
            not_reusable: false,
        }
    }

    /// Whether nothing but the response was received and the connection is open, so that it may be
    /// reused.
    pub(crate) fn is_clean(&self) -> bool {
        self.raw.is_empty() && !self.not_reusable
    }

    /// Reads the head of the response to `request`; responses to other requests are skipped.
    pub(crate) async fn read_head(
        &mut self,
        request: &RequestHead,
        dialect: &dyn Dialect,
    ) -> Result<ResponseHead, ResponseError> {
        loop {
            let Some(head) = ResponseHead::parse(&mut self.raw, dialect)? else {
                self.fill().await?;
                continue;
            };
            if head.is_interim() {
                continue;
            }
            let is_expected = match &head.info.request {
                Some(id) => *id == request.id,
                // A refusal may lack the request ID; a success must have it.
                None => head.info.run.is_not_run() || !head.is_success(),
            };
            if is_expected {
                return Ok(head);
            }
            self.skip_response(&head).await?;
        }
    }

    /// Reads the complete body of a response.
    pub(crate) async fn read_body(
        &mut self,
        head: &ResponseHead,
    ) -> Result<Vec<u8>, ResponseError> {
        let mut body = Vec::new();
        let mut reader = BodyReader::new(head.framing, head.is_bodiless());
        while self.read_part(&mut reader, &mut body).await? {
            if body.len() > MAX_BODY_BYTES {
                return Err(ResponseError::Malformed);
            }
        }
        Ok(body)
    }

    /// Appends the next bytes of a body to `out`; `false` at its end.
    pub(crate) async fn read_part(
        &mut self,
        reader: &mut BodyReader,
        out: &mut Vec<u8>,
    ) -> Result<bool, ResponseError> {
        reader.feed(&mut self.raw, out)?;
        if reader.is_done() {
            return Ok(false);
        }
        let read = self.read().await.map_err(|_| ResponseError::CutShort)?;
        if read == 0 {
            reader.end().map_err(|_| ResponseError::CutShort)?;
            self.not_reusable = true;
            return Ok(false);
        }
        reader.feed(&mut self.raw, out)?;
        Ok(!reader.is_done())
    }

    /// Skips a response to another request.
    async fn skip_response(&mut self, head: &ResponseHead) -> Result<(), ResponseError> {
        self.not_reusable = true;
        let mut reader = BodyReader::new(head.framing, head.is_bodiless());
        if reader.is_until_close() {
            return Err(ResponseError::Malformed);
        }
        let mut dropped = Vec::new();
        while self.read_part(&mut reader, &mut dropped).await? {
            dropped.clear();
        }
        Ok(())
    }

    async fn fill(&mut self) -> Result<(), ResponseError> {
        let begun = !self.raw.is_empty();
        match self.read().await {
            Ok(n) if n > 0 => Ok(()),
            _ if begun => Err(ResponseError::CutShort),
            _ => Err(ResponseError::NoResponse),
        }
    }

    async fn read(&mut self) -> io::Result<usize> {
        let len = self.raw.len();
        self.raw.resize(len + READ_SIZE, 0);
        let mut stream = self.stream;
        let read = stream.read(&mut self.raw[len..]).await;
        self.raw.truncate(len + *read.as_ref().unwrap_or(&0));
        read
    }
}
