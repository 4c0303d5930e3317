//! Servers and clients of HTTP/1.1 on loopback addresses, one thread a connection.

use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A request as a server reads it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    /// Path with its query.
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap_or_default()
    }

    /// Path without its query.
    pub fn bare_path(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    /// Value of a parameter of the query.
    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(k, _)| *k == key).map(|(_, value)| value)
    }
}

/// A connection that is read line by line.
pub struct Conn {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads more bytes; `false` at the end of the stream.
    pub fn fill(&mut self) -> Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    }

    /// Reads a line without its end; `None` at the end of the stream.
    pub fn line(&mut self) -> Result<Option<String>> {
        loop {
            if let Some(at) = self.buf.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=at).collect();
                let line = String::from_utf8_lossy(&line).trim_end().to_owned();
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads exactly `n` bytes; fewer at the end of the stream.
    pub fn bytes(&mut self, n: usize) -> Result<Vec<u8>> {
        while self.buf.len() < n && self.fill()? {}
        let n = n.min(self.buf.len());
        Ok(self.buf.drain(..n).collect())
    }

    fn headers(&mut self) -> Result<Vec<(String, String)>> {
        let mut headers = Vec::new();
        while let Some(line) = self.line()?.filter(|line| !line.is_empty()) {
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        Ok(headers)
    }

    /// Reads a request; `None` at the end of the stream.
    pub fn request(&mut self) -> Result<Option<Request>> {
        let Some(line) = self.line()? else {
            return Ok(None);
        };
        let mut words = line.split(' ');
        let mut req = Request {
            method: words.next().unwrap_or_default().to_owned(),
            path: words.next().unwrap_or_default().to_owned(),
            headers: self.headers()?,
            body: Vec::new(),
        };
        let len = req.header("content-length").and_then(|n| n.parse().ok());
        req.body = self.bytes(len.unwrap_or(0))?;
        Ok(Some(req))
    }
}

/// Serves each connection to a free port of `ip` with `handle`, which returns whether it stays open.
pub fn serve(
    ip: &str,
    handle: impl Fn(Request, &mut Conn) -> bool + Send + Sync + Clone + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("no free port");
    let address = listener.local_addr().expect("no address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(Some(req)) = conn.request() {
                    if !handle(req, &mut conn) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Writes a response with a body; `false` if the connection is gone.
pub fn respond(conn: &mut Conn, status: u16, headers: &[(&str, String)], body: &str) -> bool {
    let mut out = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += "\r\n";
    out += body;
    conn.stream.write_all(out.as_bytes()).is_ok()
}

/// A response as a client reads it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Zero without a response.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// What was wrong with it, if it was not whole.
    pub fault: Option<String>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a new connection and reads the response.
pub fn call(address: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> Response {
    let mut response = Response::default();
    if let Err(err) = exchange(address, head, body, timeout, &mut response) {
        response.fault = Some(err.to_string());
    }
    response
}

fn exchange(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
    response: &mut Response,
) -> Result<()> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    let mut conn = Conn::new(stream);
    conn.stream.write_all(head.as_bytes())?;
    conn.stream.write_all(body)?;
    let Some(line) = conn.line()? else {
        response.fault = Some("closed without a response".to_owned());
        return Ok(());
    };
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    response.status = status.unwrap_or(0);
    response.headers = conn.headers()?;
    if response.header("transfer-encoding").is_some() {
        return read_chunks(&mut conn, response);
    }
    let len = response
        .header("content-length")
        .and_then(|n| n.parse().ok());
    let len: usize = len.unwrap_or(0);
    response.body = conn.bytes(len)?;
    if response.body.len() < len {
        response.fault = Some("closed within the body".to_owned());
    }
    Ok(())
}

fn read_chunks(conn: &mut Conn, response: &mut Response) -> Result<()> {
    loop {
        let Some(line) = conn.line()? else {
            response.fault = Some("closed within the body".to_owned());
            return Ok(());
        };
        let size = line.split(';').next().unwrap_or_default().trim();
        let Ok(size) = usize::from_str_radix(size, 16) else {
            response.fault = Some(format!("not a chunk: {line:?}"));
            return Ok(());
        };
        let chunk = conn.bytes(size)?;
        response.body.extend_from_slice(&chunk);
        if chunk.len() < size {
            response.fault = Some("closed within a chunk".to_owned());
            return Ok(());
        }
        conn.line()?;
        if size == 0 {
            return Ok(());
        }
    }
}
