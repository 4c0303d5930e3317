//! Delimits a response before `async-h1` decodes it.

use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use async_io::Async;
use futures_lite::io::AsyncRead;
use futures_lite::ready;

use crate::http::head::MAX_HEADERS;
use crate::http::{ChunkScanner, Framing, MessageError, response_status};

/// Longest accepted response head, in bytes; `async-h1` rejects heads of 8 KiB or more.
const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
/// Most interim responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 16;
/// Bytes read from the socket in one call.
const READ_BYTES: usize = 4 * 1024;

#[derive(Debug)]
enum Phase {
    Head,
    /// Body of stated length, with the bytes remaining.
    Length(u64),
    Chunked(ChunkScanner),
    Done,
}

/// Reads exactly one response; a truncated response is an error, and so is one whose body has neither a
/// length nor chunks.
#[derive(Debug)]
pub(crate) struct ResponseReader {
    stream: Arc<Async<TcpStream>>,
    phase: Phase,
    no_body: bool,
    interim_responses: u32,
    /// Bytes received and not yet delimited.
    raw: Vec<u8>,
    /// Bytes of this response for the reader, consumed up to `pos`.
    ready: Vec<u8>,
    pos: usize,
    /// Set once the response has ended and no bytes follow it.
    ended_cleanly: Arc<AtomicBool>,
}

impl ResponseReader {
    /// Reads one response from `stream`; `no_body` is set for responses to HEAD.
    pub(crate) fn new(
        stream: Arc<Async<TcpStream>>,
        no_body: bool,
        ended_cleanly: Arc<AtomicBool>,
    ) -> Self {
        Self {
            stream,
            phase: Phase::Head,
            no_body,
            interim_responses: 0,
            raw: Vec::new(),
            ready: Vec::new(),
            pos: 0,
            ended_cleanly,
        }
    }

    fn finish(&mut self) {
        self.phase = Phase::Done;
        self.ended_cleanly
            .store(self.raw.is_empty(), Ordering::Release);
    }

    /// Moves the bytes that belong to this response from `raw` to `ready`.
    fn advance(&mut self) -> Result<(), MessageError> {
        loop {
            match &mut self.phase {
                Phase::Head => {
                    if !self.take_head()? {
                        return Ok(());
                    }
                }
                Phase::Length(remaining) => {
                    let available = u64::try_from(self.raw.len()).unwrap_or(u64::MAX);
                    let take = (*remaining).min(available);
                    *remaining -= take;
                    let ended = *remaining == 0;
                    self.ready
                        .extend(self.raw.drain(..usize::try_from(take).unwrap_or(0)));
                    if ended {
                        self.finish();
                    }
                    return Ok(());
                }
                Phase::Chunked(scanner) => {
                    let n = scanner.feed(&self.raw, None)?;
                    let ended = scanner.is_done();
                    self.ready.extend(self.raw.drain(..n));
                    if ended {
                        self.finish();
                    }
                    return Ok(());
                }
                Phase::Done => return Ok(()),
            }
        }
    }

    /// Delimits the head and drops interim (1xx) responses before it; `false` when more bytes are
    /// needed.
    fn take_head(&mut self) -> Result<bool, MessageError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut res = httparse::Response::new(&mut headers);
        let n = match res.parse(&self.raw) {
            Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD_BYTES => n,
            Ok(httparse::Status::Partial) if self.raw.len() <= MAX_HEAD_BYTES => return Ok(false),
            Ok(_) => return Err(MessageError::HeadTooLarge),
            Err(_) => return Err(MessageError::Malformed),
        };
        let code = response_status(&res)?;
        if (100..200).contains(&code) {
            self.raw.drain(..n);
            self.interim_responses += 1;
            if self.interim_responses > MAX_INTERIM_RESPONSES {
                return Err(MessageError::Malformed);
            }
            return Ok(true);
        }
        let framing = Framing::from_headers(res.headers)?;
        let bodiless = self.no_body || code == 204 || code == 304;
        self.ready.extend(self.raw.drain(..n));
        match framing {
            _ if bodiless => self.finish(),
            Framing::Length(0) => self.finish(),
            Framing::Length(len) => self.phase = Phase::Length(len),
            Framing::Chunked => self.phase = Phase::Chunked(ChunkScanner::new()),
            Framing::Unspecified => return Err(MessageError::BadLength),
        }
        Ok(true)
    }
}

impl AsyncRead for ResponseReader {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        loop {
            if this.pos < this.ready.len() {
                let n = buf.len().min(this.ready.len() - this.pos);
                buf[..n].copy_from_slice(&this.ready[this.pos..this.pos + n]);
                this.pos += n;
                return Poll::Ready(Ok(n));
            }
            this.ready.clear();
            this.pos = 0;
            if matches!(this.phase, Phase::Done) {
                return Poll::Ready(Ok(0));
            }
            let len = this.raw.len();
            this.raw.resize(len + READ_BYTES, 0);
            let read = Pin::new(&mut &*this.stream).poll_read(cx, &mut this.raw[len..]);
            let n = match &read {
                Poll::Ready(Ok(n)) => *n,
                _ => 0,
            };
            this.raw.truncate(len + n);
            if ready!(read)? == 0 {
                return Poll::Ready(Err(MessageError::CutShort.into()));
            }
            this.advance()?;
        }
    }
}
