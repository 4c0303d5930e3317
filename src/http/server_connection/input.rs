//! Reading of messages within the memory that the listener has for them.

use futures_lite::{AsyncReadExt, AsyncWriteExt};

use crate::http::server_connection::{READ_BYTES, ServerConnection};
use crate::http::{BodyThrottle, ChunkedBody, Framing, MessageError, RequestHead};

/// Bytes of a body of stated length read from a socket in one call.
const BODY_READ_BYTES: usize = 64 * 1024;

impl ServerConnection {
    /// Waits for room for the buffer after another read and for `more` bytes beside it.
    pub(super) async fn hold(&self, more: usize) -> Result<(), MessageError> {
        let bytes = self.buf.capacity().max(self.buf.len() + READ_BYTES) + more;
        let held = self.permit.reserve(bytes).await;
        held.map_err(|_| MessageError::NoMemory)
    }

    /// Records bytes of a message that arrived; an error at the end of the stream.
    pub(super) fn record_read(&self, read: usize) -> Result<(), MessageError> {
        if read == 0 {
            return Err(MessageError::CutShort);
        }
        self.permit.record_progress(read);
        Ok(())
    }

    /// Appends received bytes to `buf`; `0` at the end of the stream.
    pub(super) async fn fill(&mut self) -> Result<usize, MessageError> {
        let len = self.buf.len();
        self.buf.reserve_exact(READ_BYTES);
        self.buf.resize(len + READ_BYTES, 0);
        let read = self.stream.read(&mut self.buf[len..]).await;
        self.buf.truncate(len + *read.as_ref().unwrap_or(&0));
        read.map_err(|_| MessageError::CutShort)
    }

    pub(super) async fn receive_body(
        &mut self,
        head: &RequestHead,
        throttle: &mut Option<Box<dyn BodyThrottle>>,
    ) -> Result<Vec<u8>, MessageError> {
        if head.expects_continue && head.framing != Framing::Unspecified {
            let _ = self
                .stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await;
        }
        match head.framing {
            Framing::Unspecified => Ok(Vec::new()),
            Framing::Length(len) => self.receive_sized_body(len, throttle).await,
            Framing::Chunked => self.receive_chunked_body().await,
        }
    }

    async fn receive_sized_body(
        &mut self,
        len: u64,
        throttle: &mut Option<Box<dyn BodyThrottle>>,
    ) -> Result<Vec<u8>, MessageError> {
        let len = usize::try_from(len).map_err(|_| MessageError::BodyTooLarge)?;
        if len > self.limits.body_bytes {
            return Err(MessageError::BodyTooLarge);
        }
        if self.buf.len() < len {
            self.hold(len).await?;
            let more = len - self.buf.len();
            let allocated = self.buf.try_reserve_exact(more);
            allocated.map_err(|_| MessageError::NoMemory)?;
        }
        while self.buf.len() < len {
            let left = len - self.buf.len();
            let allowed = match throttle {
                Some(throttle) => throttle.acquire(left).await,
                None => left,
            };
            self.receive_bytes(allowed.clamp(1, left)).await?;
        }
        let rest = self.buf.split_off(len);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    /// Appends exactly `len` bytes of a body to `buf`.
    async fn receive_bytes(&mut self, len: usize) -> Result<(), MessageError> {
        let end = self.buf.len() + len;
        while self.buf.len() < end {
            let start = self.buf.len();
            let size = (end - start).min(BODY_READ_BYTES);
            self.buf.resize(start + size, 0);
            let read = self.stream.read(&mut self.buf[start..]).await;
            self.buf.truncate(start + *read.as_ref().unwrap_or(&0));
            self.record_read(read.map_err(|_| MessageError::CutShort)?)?;
        }
        Ok(())
    }

    /// Receives a chunked body, unthrottled since its length is not known in advance.
    async fn receive_chunked_body(&mut self) -> Result<Vec<u8>, MessageError> {
        let mut body = ChunkedBody::new(self.limits.body_bytes);
        loop {
            if let Some(capacity) = body.needed_capacity(self.buf.len()) {
                self.hold(body.capacity() + capacity).await?;
                body.grow(capacity)?;
                self.hold(capacity).await?;
            }
            if body.feed(&mut self.buf)? {
                return Ok(body.into_decoded());
            }
            let read = self.fill().await?;
            self.record_read(read)?;
        }
    }
}
