//! HTTP server and client over raw sockets: framing, limits, shutdown and connection reuse.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::Executor;
use futures_lite::FutureExt;
use guavahold::http::{
    Connection, Handler, IncomingRequest, Limits, Pool, ResponseFuture, Server, ServerControl,
    event_body,
};
use http_types::{Method, Request, Response, Url};
use serde::Deserialize;

/// Records request bodies and echoes them, except for `wait` (delayed) and `abort` (body aborted).
#[derive(Default)]
struct Recorder(Mutex<Vec<String>>);

impl Handler for Recorder {
    fn handle(self: Arc<Self>, request: IncomingRequest) -> ResponseFuture {
        let body = String::from_utf8(request.body).unwrap();
        self.0.lock().unwrap().push(body.clone());
        Box::pin(async move {
            if body == "wait" {
                async_io::Timer::after(Duration::from_millis(200)).await;
            }
            let mut res = Response::new(200);
            if body == "abort" {
                let (tx, events) = event_body();
                drop(tx);
                res.set_body(events);
            } else {
                res.set_body(body);
            }
            res
        })
    }
}

struct TestServer {
    addr: SocketAddr,
    recorder: Arc<Recorder>,
    control: Arc<ServerControl>,
}

fn start_server(limits: Limits) -> TestServer {
    serve_on(TcpListener::bind("127.0.0.1:0").unwrap(), limits)
}

/// Serves the connections of a listener, which may have arrived before.
fn serve_on(listener: TcpListener, limits: Limits) -> TestServer {
    let addr = listener.local_addr().unwrap();
    let recorder = Arc::new(Recorder::default());
    let control = Arc::new(ServerControl::default());
    let server = Server::new(listener, limits, recorder.clone(), control.clone()).unwrap();
    let ex = Arc::new(Executor::new());
    ex.spawn(Arc::new(server).run(ex.clone())).detach();
    std::thread::spawn(move || async_io::block_on(ex.run(std::future::pending::<()>())));
    TestServer {
        addr,
        recorder,
        control,
    }
}

/// Sends bytes on a new connection, shuts down the sending side and reads to the end.
fn exchange_raw(addr: SocketAddr, send: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    stream.write_all(send).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

fn statuses(response: &str) -> Vec<u16> {
    let heads = response.split("HTTP/1.1 ").skip(1);
    heads.map(|head| head[..3].parse().unwrap()).collect()
}

fn parse_lines<T: for<'a> Deserialize<'a>>(text: &str) -> Vec<T> {
    let lines = text.lines();
    lines
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

#[derive(Deserialize)]
struct RequestCase {
    case: String,
    send: String,
    expect: Vec<u16>,
    runs: Vec<String>,
}

#[test]
fn server_rejects_invalid_framing() {
    for case in parse_lines::<RequestCase>(include_str!("http/requests.jsonl")) {
        let server = start_server(Limits::default());
        let response = exchange_raw(server.addr, case.send.as_bytes());
        assert_eq!(
            statuses(&response),
            case.expect,
            "{}: {response}",
            case.case
        );
        let runs = server.recorder.0.lock().unwrap().clone();
        assert_eq!(runs, case.runs, "{}", case.case);
    }
}

#[test]
fn server_long_head_is_rejected() {
    let server = start_server(Limits::default());
    let filler = "x".repeat(9000);
    let send = format!("GET / HTTP/1.1\r\nhost: x\r\nfiller: {filler}\r\n\r\n");
    assert_eq!(statuses(&exchange_raw(server.addr, send.as_bytes())), [431]);
}

#[test]
fn server_slow_message_is_rejected() {
    let limits = Limits {
        message_timeout: Duration::from_millis(100),
        ..Limits::default()
    };
    let server = start_server(limits);
    let mut stream = TcpStream::connect(server.addr).unwrap();
    stream
        .write_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-")
        .unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert_eq!(statuses(&response), [408]);
}

#[test]
fn server_aborted_body_is_truncated() {
    let server = start_server(Limits::default());
    let send = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nabort";
    let response = exchange_raw(server.addr, send);
    assert!(!response.ends_with("0\r\n\r\n"), "{response:?}");
}

#[test]
fn server_responds_after_half_close() {
    let server = start_server(Limits::default());
    let send = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nwait";
    assert_eq!(statuses(&exchange_raw(server.addr, send)), [200]);
}

/// Guards against connections that are closed at their idle timeout although a request has arrived,
/// which the reactor reports only later. With a timeout of zero it always reports it later.
#[test]
fn server_idle_timeout_loses_no_request_that_has_arrived() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let requests = (0..8).map(|_| {
        let mut stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let timeout = Some(Duration::from_secs(10));
        stream.set_read_timeout(timeout).unwrap();
        let request = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
        stream.write_all(request).unwrap();
        stream
    });
    let callers: Vec<TcpStream> = requests.collect();
    let idle_timeout = Duration::ZERO;
    let server = serve_on(
        listener,
        Limits {
            idle_timeout,
            ..Limits::default()
        },
    );
    for mut stream in callers {
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        assert_eq!(statuses(&String::from_utf8_lossy(&response)), [200]);
    }
    assert_eq!(server.recorder.0.lock().unwrap().len(), 8);
}

#[test]
fn server_stop_completes_running_request() {
    let server = start_server(Limits::default());
    let (addr, control) = (server.addr, server.control.clone());
    let send = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nwait";
    let caller = std::thread::spawn(move || exchange_raw(addr, send));
    while control.running_requests() == 0 {
        std::thread::yield_now();
    }
    control.stop();
    let response = caller.join().unwrap();
    assert_eq!(statuses(&response), [200]);
    assert!(response.contains("connection: close"));
}

#[derive(Deserialize)]
struct ResponseCase {
    case: String,
    answer: String,
    expect: Option<String>,
}

/// Starts a server that sends fixed bytes after the first read of each connection, then closes it.
fn serve_fixed_response(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(response.as_bytes());
        }
    });
    addr
}

fn get(addr: SocketAddr) -> Request {
    Request::new(Method::Get, Url::parse(&format!("http://{addr}/")).unwrap())
}

fn block_on_with_timeout<T>(f: impl Future<Output = T>) -> T {
    let timed_out = async {
        async_io::Timer::after(Duration::from_secs(10)).await;
        panic!("the exchange did not end within 10 s")
    };
    async_io::block_on(f.or(timed_out))
}

#[test]
fn client_rejects_truncated_responses() {
    for case in parse_lines::<ResponseCase>(include_str!("http/answers.jsonl")) {
        let addr = serve_fixed_response(case.answer);
        let body = block_on_with_timeout(async {
            let conn = Connection::open(addr, Duration::from_secs(5))
                .await
                .unwrap();
            let mut response = conn.send(get(addr)).await.ok()?;
            response.bytes(1024).await.ok()
        });
        let body = body.map(|b| String::from_utf8(b).unwrap());
        assert_eq!(body, case.expect, "{}", case.case);
    }
}

/// Answers uploads at once without a length, and resets their connections after a part.
fn serve_early_reset() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart");
            let _ = stream.read(&mut [0; 4096]);
            // The bytes of the upload that were not read reset the connection.
        }
    });
    addr
}

#[test]
fn client_rejects_early_answer_that_is_reset_during_upload() {
    let addr = serve_early_reset();
    for _ in 0..20 {
        let body = block_on_with_timeout(async {
            let conn = Connection::open(addr, Duration::from_secs(5))
                .await
                .unwrap();
            let mut req = get(addr);
            req.set_method(Method::Post);
            req.set_body("u".repeat(1024 * 1024));
            let mut response = conn.send(req).await.ok()?;
            response.bytes(1024).await.ok()
        });
        assert_eq!(body, None);
    }
}

#[test]
fn client_does_not_reuse_connection_with_extra_bytes() {
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n";
    let addr = serve_fixed_response(response.to_owned());
    block_on_with_timeout(async {
        let conn = Connection::open(addr, Duration::from_secs(5))
            .await
            .unwrap();
        let mut response = conn.send(get(addr)).await.unwrap();
        assert_eq!(response.bytes(1024).await.unwrap(), b"abc");
        assert!(response.into_connection().is_none());
    });
}

#[test]
fn pool_replaces_closed_connections() {
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc";
    let addr = serve_fixed_response(response.to_owned());
    let pool = Pool::new(Duration::from_secs(5));
    block_on_with_timeout(async {
        for _ in 0..3 {
            let (status, body) = pool.fetch(addr, get(addr), 1024).await.unwrap();
            assert_eq!((u16::from(status), body.as_slice()), (200, &b"abc"[..]));
            async_io::Timer::after(Duration::from_millis(20)).await;
        }
    });
}

/// Guards against a connection that stays open for each server that was ever asked: servers that
/// are replaced come back at other addresses.
#[test]
fn pool_closes_connections_to_servers_that_are_not_asked_any_more() {
    const SERVERS: usize = 40;
    const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
    let keeping = Pool::new(Duration::from_secs(5));
    let pool = Pool::new(Duration::from_secs(5)).idle_timeout(IDLE_TIMEOUT);
    block_on_with_timeout(async {
        let staying = start_server(Limits::default()).addr;
        for _ in 0..SERVERS {
            let addr = start_server(Limits::default()).addr;
            keeping.fetch(addr, get(addr), 1024).await.unwrap();
            pool.fetch(addr, get(addr), 1024).await.unwrap();
        }
        assert_eq!(keeping.idle_count(), SERVERS);
        for _ in 0..4 {
            async_io::Timer::after(IDLE_TIMEOUT / 2).await;
            pool.fetch(staying, get(staying), 1024).await.unwrap();
        }
    });
    assert_eq!(pool.idle_count(), 1);
}
