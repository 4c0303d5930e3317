//! Delimits a target's answer before `async-h1` reads it.

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
use crate::http::{ChunkScanner, Framing, HeadError};

/// Longest answer head, in bytes.
const MAX_HEAD: usize = 8 * 1024 - 1;
/// Bytes read from the socket at once.
const READ_SIZE: usize = 4 * 1024;

#[derive(Debug)]
enum Phase {
    Head,
    Length(u64),
    Chunked(ChunkScanner),
    ToEnd,
    Done,
}

/// Reader of exactly one answer; an answer cut short reads as an error.
#[derive(Debug)]
pub(crate) struct AnswerReader {
    stream: Arc<Async<TcpStream>>,
    phase: Phase,
    no_body: bool,
    to_end_allowed: bool,
    raw: Vec<u8>,
    ready: Vec<u8>,
    at: usize,
    clean: Arc<AtomicBool>,
}

impl AnswerReader {
    /// Reads one answer from `stream`; `no_body` is set for answers to HEAD.
    pub(crate) fn new(
        stream: Arc<Async<TcpStream>>,
        no_body: bool,
        to_end_allowed: bool,
        clean: Arc<AtomicBool>,
    ) -> Self {
        Self {
            stream,
            phase: Phase::Head,
            no_body,
            to_end_allowed,
            raw: Vec::new(),
            ready: Vec::new(),
            at: 0,
            clean,
        }
    }

    fn finish(&mut self) {
        self.phase = Phase::Done;
        self.clean.store(self.raw.is_empty(), Ordering::Release);
    }

    /// Moves bytes from `raw` to `ready` as far as the framing allows.
    fn advance(&mut self) -> Result<(), HeadError> {
        loop {
            match &mut self.phase {
                Phase::Head => {
                    if !self.take_head()? {
                        return Ok(());
                    }
                }
                Phase::Length(left) => {
                    let room = u64::try_from(self.raw.len()).unwrap_or(u64::MAX);
                    let take = (*left).min(room);
                    *left -= take;
                    let ended = *left == 0;
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
                Phase::ToEnd => {
                    self.ready.append(&mut self.raw);
                    return Ok(());
                }
                Phase::Done => return Ok(()),
            }
        }
    }

    fn take_head(&mut self) -> Result<bool, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut res = httparse::Response::new(&mut headers);
        let n = match res.parse(&self.raw) {
            Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD => n,
            Ok(httparse::Status::Partial) if self.raw.len() <= MAX_HEAD => return Ok(false),
            Ok(_) => return Err(HeadError::HeadTooLarge),
            Err(_) => return Err(HeadError::Malformed),
        };
        let code = res.code.unwrap_or_default();
        if (100..200).contains(&code) {
            self.raw.drain(..n);
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
            Framing::Unstated if self.to_end_allowed => self.phase = Phase::ToEnd,
            Framing::Unstated => return Err(HeadError::BadLength),
        }
        Ok(true)
    }

    fn end_of_stream(&mut self) -> Result<(), HeadError> {
        match self.phase {
            Phase::Done => Ok(()),
            Phase::ToEnd => {
                self.phase = Phase::Done;
                Ok(())
            }
            _ => Err(HeadError::CutShort),
        }
    }
}

impl AsyncRead for AnswerReader {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        loop {
            if this.at < this.ready.len() {
                let n = buf.len().min(this.ready.len() - this.at);
                buf[..n].copy_from_slice(&this.ready[this.at..this.at + n]);
                this.at += n;
                return Poll::Ready(Ok(n));
            }
            this.ready.clear();
            this.at = 0;
            if matches!(this.phase, Phase::Done) {
                return Poll::Ready(Ok(0));
            }
            let len = this.raw.len();
            this.raw.resize(len + READ_SIZE, 0);
            let read = Pin::new(&mut &*this.stream).poll_read(cx, &mut this.raw[len..]);
            let n = match &read {
                Poll::Ready(Ok(n)) => *n,
                _ => 0,
            };
            this.raw.truncate(len + n);
            if ready!(read)? == 0 {
                this.end_of_stream()?;
            } else {
                this.advance()?;
            }
        }
    }
}
