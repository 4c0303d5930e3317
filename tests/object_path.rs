//! Paths and queries of calls to an object API, decoded by another library than encodes them.

use std::net::SocketAddr;

use guavahold::platform::{ObjectPath, PlatformError};
use http_types::Url;
use proptest::prelude::*;

/// Root of the API.
const ROOT: &str = "/-/objects/";

/// Names that have a meaning in a URL or look encoded.
const NAMES: &[&str] = &[
    "%",
    "%41",
    "%2e",
    "%2E%2e",
    ".%2e",
    "...",
    "a01#cdf90d",
    "a&b=c",
    "a+b",
    "a/../b",
    "/",
    "//",
    "?",
    "a b",
    " ",
    ";",
    "\\",
    "a:b@c",
    "%C3%A9",
    "\u{e9}",
    "\u{1f980}",
    "\0",
    "a\r\nHost: b",
    "\t",
];

fn server() -> SocketAddr {
    "127.0.0.1:8080".parse().unwrap()
}

/// Any text, with the characters that have a meaning in a URL more often than others.
fn text() -> impl Strategy<Value = String> {
    let character = prop_oneof![
        any::<char>(),
        prop::sample::select("%#&=+/?;:@\\. 4123acEF".chars().collect::<Vec<_>>()),
    ];
    prop::collection::vec(character, 0..40).prop_map(String::from_iter)
}

/// Decodes a segment of a path, in which a plus sign stands for itself.
fn decode_segment(segment: &str) -> String {
    let query = segment.replace('+', "%2B");
    let url = Url::parse(&format!("http://host/?{query}")).unwrap();
    let (key, value) = url.query_pairs().next().unwrap_or_default();
    assert_eq!("", value, "not encoded: {segment}");
    key.into_owned()
}

/// The decoded segments below the API's root.
fn segments(url: &Url) -> Vec<String> {
    let segments = url.path_segments().unwrap();
    let mut segments = segments.map(decode_segment);
    assert_eq!(Some("-"), segments.next().as_deref());
    assert_eq!(Some("objects"), segments.next().as_deref());
    segments.collect()
}

/// Whether a URL can have a text as a segment of its path.
fn is_segment(text: &str) -> bool {
    !matches!(text, "" | "." | "..")
}

fn assert_unchanged(kind: &str, name: &str, key: &str, value: &str) {
    let path = ObjectPath::of_object(kind, name);
    if !is_segment(kind) || !is_segment(name) {
        assert!(matches!(path, Err(PlatformError::Rejected(_))), "{path:?}");
        return;
    }
    let path = path.unwrap().with(key, value).with("second", 2);
    let url = path.to_url(server(), ROOT).unwrap();
    assert_eq!(vec![kind, name], segments(&url));
    let pairs: Vec<_> = url.query_pairs().into_owned().collect();
    let pair = |key: &str, value: &str| (key.to_owned(), value.to_owned());
    assert_eq!(vec![pair(key, value), pair("second", "2")], pairs);
    assert_eq!(None, url.fragment());
    assert_eq!(Some("127.0.0.1"), url.host_str());
    // What is sent has neither spaces nor line ends.
    assert!(url.as_str().bytes().all(|byte| byte.is_ascii_graphic()));
}

#[test]
fn of_object_names_with_url_characters_come_back_unchanged() {
    for name in NAMES {
        assert_unchanged("servers", name, "after", name);
        assert_unchanged(name, "a", name, "a");
    }
}

#[test]
fn of_object_without_usable_segment_is_rejected() {
    for name in ["", ".", ".."] {
        assert_unchanged("servers", name, "after", name);
        assert_unchanged(name, "a", "after", name);
        assert!(ObjectPath::of_kind(name).is_err());
    }
}

#[test]
fn of_kind_without_query_has_none() {
    let path = ObjectPath::of_kind("servers").unwrap();
    let url = path.to_url(server(), ROOT).unwrap();
    assert_eq!(
        (vec!["servers".to_owned()], None),
        (segments(&url), url.query())
    );
}

proptest! {
    #[test]
    fn of_object_any_text_comes_back_unchanged(
        kind in text(),
        name in text(),
        key in text(),
        value in text(),
    ) {
        assert_unchanged(&kind, &name, &key, &value);
    }

    #[test]
    fn of_kind_any_text_comes_back_unchanged(kind in text(), after in text()) {
        prop_assume!(is_segment(&kind));
        let path = ObjectPath::of_kind(&kind).unwrap().with("after", &after);
        let url = path.to_url(server(), ROOT).unwrap();
        prop_assert_eq!(vec![kind], segments(&url));
        let pairs: Vec<_> = url.query_pairs().into_owned().collect();
        prop_assert_eq!(vec![("after".to_owned(), after)], pairs);
    }
}
