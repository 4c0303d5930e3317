//! The platform's object API with responses that cannot be read, in whole or in part.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use futures_lite::StreamExt;
use futures_lite::future::block_on;
use guavahold::operator::{Exit, OperatorError};
use guavahold::platform::{
    Listing, Object, Platform, PlatformError, RemotePlatform, Version, WatchEvent, WatchTiming,
};
use guavahold::prelude::*;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server whose response to any call is `body`.
fn start_server(body: &[u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let response = [head.as_bytes(), body].concat();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            respond(stream, &response);
        }
    });
    address
}

/// Sends the response to each request on a connection. None has a body.
fn respond(mut stream: TcpStream, response: &[u8]) {
    let mut buf = [0; 4_096];
    let mut received = Vec::new();
    while let Ok(n) = stream.read(&mut buf) {
        received.extend_from_slice(&buf[..n]);
        if n == 0 || (received.ends_with(b"\r\n\r\n") && stream.write_all(response).is_err()) {
            return;
        }
    }
}

fn platform(body: &[u8]) -> RemotePlatform {
    RemotePlatform::new(vec![start_server(body)], TIMEOUT)
}

fn list(body: &[u8]) -> Result<Listing, PlatformError> {
    block_on(platform(body).list("vms"))
}

/// The events of a watch up to its first error.
fn watch(lines: &[u8]) -> Vec<Result<WatchEvent, PlatformError>> {
    block_on(async {
        let from = Version("1".into());
        let timing = WatchTiming::waiting(TIMEOUT);
        let events = platform(lines).watch("vms", None, from, timing).await;
        events.unwrap().collect().await
    })
}

/// Texts that no parser reads as JSON.
fn unreadable_values() -> Vec<Vec<u8>> {
    let mut values = ["NaN", "1e999", r#""\ud800""#, r#"{"a":tru}"#]
        .map(|text| text.as_bytes().to_vec())
        .to_vec();
    values.push(b"\"\xff\"".to_vec());
    values.push(["[".repeat(300), "]".repeat(300)].concat().into_bytes());
    values
}

fn object(name: &str, version: &str) -> Object {
    let mut object = Object::new("vms", name, json!(1));
    object.version = Version(version.into());
    object
}

/// Guards against a response that does not say which objects there are being taken for an empty list:
/// all VMs would be gone.
#[test]
fn listing_that_cannot_be_read_is_not_empty() {
    for body in [
        "",
        "{",
        "null",
        "[]",
        "{}",
        "<html></html>",
        r#"{"metadata":{"resourceVersion":"7"}}"#,
        r#"{"metadata":{"resourceVersion":"7"},"items":null}"#,
        r#"{"metadata":{"resourceVersion":"7"},"items":{}}"#,
        r#"{"metadata":{"resourceVersion":"7"},"items":[{"#,
        r#"{"metadata":{"resourceVersion":7},"items":[]}"#,
        r#"{"metadata":{"resourceVersion":""},"items":[]}"#,
        r#"{"metadata":{},"items":[]}"#,
        r#"{"items":[]}"#,
    ] {
        let listed = list(body.as_bytes());
        assert!(
            matches!(listed, Err(PlatformError::Unreadable(_))),
            "{body}: {listed:?}"
        );
    }
    let empty = list(br#"{"metadata":{"resourceVersion":"7"},"items":[]}"#).unwrap();
    assert_eq!((empty.items.len(), empty.version.0.as_str()), (0, "7"));
}

/// A listing of the objects `a`, one given as text, and `b`.
fn listing_with(item: &[u8]) -> Listing {
    let body = [
        br#"{"metadata":{"resourceVersion":"7"},"items":["#.as_slice(),
        br#"{"metadata":{"name":"a","resourceVersion":"3"},"spec":1},"#,
        item,
        br#",{"metadata":{"name":"b","resourceVersion":"4"},"spec":1}]}"#,
    ]
    .concat();
    let shown = String::from_utf8_lossy(item).into_owned();
    list(&body).unwrap_or_else(|err| panic!("{shown}: {err}"))
}

/// Guards against a list that is lost to one object.
#[test]
fn listing_with_an_unreadable_spec_keeps_all_objects() {
    for spec in unreadable_values() {
        let item = [
            br#"{"metadata":{"name":"bad","resourceVersion":"5"},"spec":"#.as_slice(),
            &spec,
            b"}",
        ];
        let listing = listing_with(&item.concat());
        let mut bad = object("bad", "5");
        bad.spec = json!(null);
        assert_eq!(listing.items, [object("a", "3"), bad, object("b", "4")]);
        let named: Vec<&str> = listing
            .unreadable
            .named()
            .map(|object| &*object.name)
            .collect();
        assert_eq!((named, listing.unreadable.count()), (vec!["bad"], 1));
    }
}

#[test]
fn listing_with_an_object_without_name_keeps_the_others() {
    let mut items: Vec<Vec<u8>> = ["null", "7", "[]", "{}", r#"{"metadata":{}}"#]
        .map(|text| text.as_bytes().to_vec())
        .to_vec();
    for name in unreadable_values() {
        let item = [br#"{"metadata":{"name":"#.as_slice(), &name, b"}}"];
        items.push(item.concat());
    }
    for item in items {
        let listing = listing_with(&item);
        assert_eq!(listing.items, [object("a", "3"), object("b", "4")]);
        assert_eq!(listing.unreadable.unnamed(), 1);
    }
}

/// An update of such an object must not be unconditional.
#[test]
fn listing_with_an_object_without_version_gives_it_that_of_the_listing() {
    for version in ["null", "5", r#""""#, r#"["5"]"#] {
        let item = format!(r#"{{"metadata":{{"name":"c","resourceVersion":{version}}},"spec":1}}"#);
        let listing = listing_with(item.as_bytes());
        assert_eq!(listing.items[1], object("c", "7"));
    }
}

fn line(event_type: &str, name: &str, spec: &[u8]) -> Vec<u8> {
    let start = format!(
        r#"{{"type":"{event_type}","object":{{"metadata":{{"name":"{name}","resourceVersion":"5"}},"spec":"#
    );
    [start.as_bytes(), spec, b"}}\n"].concat()
}

/// Guards against a watch that ends at one object, and then gets the same change again.
#[test]
fn watch_with_an_unreadable_spec_goes_on() {
    for spec in unreadable_values() {
        let lines = [
            line("ADDED", "bad", &spec),
            line("MODIFIED", "a", b"1"),
            line("DELETED", "bad", &spec),
            line("DELETED", "a", b"1"),
        ];
        let events = watch(&lines.concat());
        let mut bad = object("bad", "5");
        bad.spec = json!(null);
        assert_eq!(events.len(), 5, "{events:?}");
        assert!(
            matches!(&events[0], Ok(WatchEvent::Unreadable(objects)) if objects.count() == 1),
            "{events:?}"
        );
        let a = object("a", "5");
        let rest = [
            Ok(WatchEvent::Put(bad.clone())),
            Ok(WatchEvent::Put(a.clone())),
            Ok(WatchEvent::Deleted(bad)),
            Ok(WatchEvent::Deleted(a)),
        ];
        assert_eq!(events[1..], rest);
    }
}

/// Guards against a change that is missed because it does not say of which object it is: the objects
/// have to be listed again.
#[test]
fn watch_line_without_an_object_ends_the_watch_as_unreadable() {
    for bad in [
        "\n",
        "null\n",
        "{\n",
        "{}\n",
        "{\"type\":7}\n",
        "{\"type\":\"ADDED\"}\n",
        "{\"type\":\"ADDED\",\"object\":{\"metadata\":{\"name\":7}}}\n",
        "{\"type\":\"DELETED\",\"object\":{\"metadata\":{\"name\":\"a\"}}}\n",
    ] {
        let lines = [line("ADDED", "a", b"1"), bad.as_bytes().to_vec()].concat();
        let events = watch(&lines);
        assert_eq!(events[0], Ok(WatchEvent::Put(object("a", "5"))), "{bad}");
        assert!(
            matches!(events[1], Err(PlatformError::Unreadable(_))),
            "{bad}: {events:?}"
        );
        assert_eq!(events.len(), 2, "{bad}");
    }
    let ended = watch(b"{\"type\":\"ERROR\",\"object\":{\"code\":410}}\n");
    assert_eq!(ended, [Err(PlatformError::Expired)]);
}

/// Guards against a watch that goes on from no version.
#[test]
fn watch_bookmark_without_a_version_is_skipped() {
    let bookmark = |metadata: &str| {
        format!("{{\"type\":\"BOOKMARK\",\"object\":{{\"metadata\":{metadata}}}}}\n").into_bytes()
    };
    let lines = [
        bookmark("{}"),
        bookmark(r#"{"resourceVersion":7}"#),
        bookmark(r#"{"resourceVersion":""}"#),
        bookmark(r#"{"resourceVersion":"9"}"#),
    ];
    let events = watch(&lines.concat());
    assert_eq!(events, [Ok(WatchEvent::Bookmark(Version("9".into())))]);
}

#[test]
fn object_that_cannot_be_read_has_no_spec_and_one_without_name_is_an_error() {
    for spec in unreadable_values() {
        let body = [
            br#"{"metadata":{"name":"a","resourceVersion":"5"},"spec":"#.as_slice(),
            &spec,
            b"}",
        ];
        let read = block_on(platform(&body.concat()).get("vms", "a"));
        let object = read.unwrap().unwrap();
        assert_eq!((object.spec, object.version.0.as_str()), (json!(null), "5"));
    }
    for body in ["", "null", "{}", r#"{"metadata":{"name":"a"},"spec":1}"#] {
        let read = block_on(platform(body.as_bytes()).get("vms", "a"));
        assert!(matches!(read, Err(PlatformError::Unreadable(_))), "{body}");
    }
}

/// Guards against an exit status that blames the operator's input for a response that cannot be read.
#[test]
fn operator_command_with_an_unreadable_response_ends_as_one_without() {
    for err in [
        PlatformError::Unreadable("x".into()),
        PlatformError::Unanswered("x".into()),
    ] {
        assert_eq!(OperatorError::Platform(err).exit(), Exit::Unreachable);
    }
}
