//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A received message: a request, or an answer whose first line is the status line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub complete: bool,
}

impl Message {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer; zero without one.
    pub fn status(&self) -> u16 {
        let code = self.first_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or_default()
    }
}

/// Reads messages from one connection.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    /// A reader of a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// The next request; `None` once the connection has ended.
    pub fn request(&mut self) -> Option<Message> {
        let mut message = self.head().ok()??;
        self.body(&mut message, false).ok()?;
        message.complete.then_some(message)
    }

    /// The next answer; one that is cut off is not `complete`.
    pub fn answer(&mut self) -> Option<Message> {
        let mut message = self.head().ok()??;
        let _ = self.body(&mut message, true);
        Some(message)
    }

    fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
        Ok(Some(Message {
            first_line,
            headers: headers.collect(),
            ..Message::default()
        }))
    }

    fn body(&mut self, message: &mut Message, until_close: bool) -> io::Result<()> {
        let chunked = message.header("transfer-encoding").is_some();
        let length = message.header("content-length");
        let length = length.and_then(|text| text.parse::<usize>().ok());
        if chunked {
            return self.chunks(message);
        }
        if let Some(length) = length {
            while self.buf.len() < length {
                if self.fill()? == 0 {
                    return Ok(());
                }
            }
            message.body = self.buf.drain(..length).collect();
        } else if until_close {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.buf);
        }
        message.complete = true;
        Ok(())
    }

    fn chunks(&mut self, message: &mut Message) -> io::Result<()> {
        loop {
            let end = loop {
                if let Some(end) = find(&self.buf, b"\r\n") {
                    break end;
                }
                if self.fill()? == 0 {
                    return Ok(());
                }
            };
            let size = String::from_utf8_lossy(&self.buf[..end]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                return Ok(());
            };
            while self.buf.len() < end + 2 + size + 2 {
                if self.fill()? == 0 {
                    return Ok(());
                }
            }
            let chunk = &self.buf[end + 2..end + 2 + size];
            message.body.extend_from_slice(chunk);
            self.buf.drain(..end + 2 + size + 2);
            if size == 0 {
                message.complete = true;
                return Ok(());
            }
        }
    }
}

fn find(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).position(|w| w == what)
}

/// Writes an answer with a body of known length.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {status} x\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

/// What a client got for one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Status; zero when the connection ended without an answer.
    pub status: u16,
    /// Whether the answer arrived to its end.
    pub complete: bool,
    pub took: Duration,
}

/// Sends one request on a new connection and waits for its answer.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> Outcome {
    let started = Instant::now();
    let exchange = || -> Option<Message> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(timeout)).ok()?;
        stream.write_all(request).ok()?;
        Reader::new(stream).answer()
    };
    let answer = exchange().unwrap_or_default();
    Outcome {
        status: answer.status(),
        complete: answer.complete,
        took: started.elapsed(),
    }
}
