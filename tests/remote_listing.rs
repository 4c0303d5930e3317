//! Responses of the object API that cannot be read.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use async_io::block_on;
use guavahold::platform::{Platform, PlatformError, RemotePlatform};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a server that sends this body in response to each request.
fn start(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let len = body.len();
            let response = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {len}\r\nconnection: close\r\n\r\n{body}"
            );
            let _ = stream.write_all(response.as_bytes());
        }
    });
    addr
}

/// Guards against a listing that cannot be read and is taken for the end of all objects.
#[test]
fn list_response_without_items_or_version_is_an_error() {
    let unreadable = [
        "",
        "{",
        "null",
        "[]",
        "{}",
        r#"{"items": []}"#,
        r#"{"items": [], "metadata": {"resourceVersion": 7}}"#,
        r#"{"metadata": {"resourceVersion": "7"}}"#,
        r#"{"items": {}, "metadata": {"resourceVersion": "7"}}"#,
        r#"{"items": null, "metadata": {"resourceVersion": "7"}}"#,
    ];
    for body in unreadable {
        let platform = RemotePlatform::new(vec![start(body)], TIMEOUT);
        let listed = block_on(platform.list("vms"));
        assert!(
            matches!(listed, Err(PlatformError::Unreadable(_))),
            "{body:?}: {listed:?}"
        );
    }
    let empty = r#"{"items": [], "metadata": {"resourceVersion": "7"}}"#;
    let platform = RemotePlatform::new(vec![start(empty)], TIMEOUT);
    let listed = block_on(platform.list("vms")).unwrap();
    assert_eq!((listed.items.len(), &*listed.version.0), (0, "7"));
}
