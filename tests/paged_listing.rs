//! Listings that are read page by page: progress, bounds, and what is known when they end.

use std::time::Duration;

use guavahold::platform::{
    Listing, ListingPage, ListingStop, NextPage, Object, ObjectFault, PagedListing, Version,
};
use proptest::prelude::*;
use serde_json::{Value, json};

/// Most pages of a listing.
const MAX_PAGES: u32 = 1_000;
/// Most bytes that are kept of a listing.
const MAX_BYTES: usize = 8 * 1024 * 1024;
/// Longest time for a listing.
const MAX_TIME: Duration = Duration::from_mins(1);

fn listing() -> PagedListing {
    PagedListing::new(Duration::ZERO, Version("7".into()))
}

fn object(name: &str, spec: Value) -> Object {
    Object::new("servers", name, spec)
}

/// A page of objects with these names, after which there are more.
fn page(names: &[&str]) -> ListingPage {
    ListingPage {
        objects: names.iter().map(|name| object(name, json!(1))).collect(),
        last_name: names.last().map(|name| (*name).into()),
        has_more: true,
        ..ListingPage::default()
    }
}

fn last_page(names: &[&str]) -> ListingPage {
    ListingPage {
        has_more: false,
        ..page(names)
    }
}

fn after(name: &str) -> NextPage {
    NextPage::After(name.into())
}

fn names(listing: &Listing) -> Vec<&str> {
    listing.items.iter().map(|object| &*object.name).collect()
}

fn spec_of<'a>(listing: &'a Listing, name: &str) -> Option<&'a Value> {
    let object = listing.items.iter().find(|object| *object.name == *name);
    object.map(|object| &object.spec)
}

#[test]
fn add_each_page_follows_the_last_name_of_the_one_before() {
    let mut listing = listing();
    assert_eq!(
        Ok(after("b")),
        listing.add(Duration::ZERO, page(&["a", "b"]))
    );
    assert_eq!(
        Ok(after("d")),
        listing.add(Duration::ZERO, page(&["c", "d"]))
    );
    let last = listing.add(Duration::ZERO, last_page(&["e"]));
    assert_eq!(Ok(NextPage::None), last);
    let listing = listing.finish(None);
    assert_eq!(vec!["a", "b", "c", "d", "e"], names(&listing));
    assert_eq!((3, None), (listing.pages, listing.stop));
    assert_eq!(Version("7".into()), listing.version);
}

/// The order of names is the store's own.
#[test]
fn add_names_in_any_order_advance() {
    let mut listing = listing();
    for name in ["m", "a", "z", "\u{e9}", "B", "b"] {
        assert_eq!(Ok(after(name)), listing.add(Duration::ZERO, page(&[name])));
    }
}

#[test]
fn add_page_after_a_name_that_was_followed_before_stops() {
    let mut listing = listing();
    assert_eq!(Ok(after("a")), listing.add(Duration::ZERO, page(&["a"])));
    assert_eq!(Ok(after("b")), listing.add(Duration::ZERO, page(&["b"])));
    let stopped = listing.add(Duration::ZERO, page(&["c", "a"]));
    assert_eq!(Err(ListingStop::NoProgress), stopped);
    let listing = listing.finish(Some(ListingStop::NoProgress));
    assert_eq!(vec!["a", "b", "c"], names(&listing));
}

#[test]
fn add_page_without_a_name_stops_if_there_are_more() {
    let mut listing = listing();
    assert_eq!(Ok(after("a")), listing.add(Duration::ZERO, page(&["a"])));
    let stopped = listing.add(Duration::ZERO, page(&[]));
    assert_eq!(Err(ListingStop::NoProgress), stopped);
}

#[test]
fn add_page_without_a_name_ends_the_listing_if_there_are_no_more() {
    let mut listing = listing();
    let last = listing.add(Duration::ZERO, last_page(&[]));
    assert_eq!(Ok(NextPage::None), last);
    assert_eq!(Vec::<&str>::new(), names(&listing.finish(None)));
}

#[test]
fn add_two_objects_of_one_name_keeps_the_later_one() {
    for second in [json!(2), Value::Null] {
        let mut listing = listing();
        let mut first = page(&["a", "b"]);
        first.objects.push(object("a", second.clone()));
        first
            .unreadable
            .add(&"a".into(), ObjectFault::InvalidJson, "");
        listing.add(Duration::ZERO, first).unwrap();
        listing.add(Duration::ZERO, last_page(&["c"])).unwrap();
        let listing = listing.finish(None);
        assert_eq!(vec!["a", "b", "c"], names(&listing));
        assert_eq!(Some(&second), spec_of(&listing, "a"));
        assert_eq!(1, listing.unreadable.count());
    }
}

#[test]
fn add_two_pages_with_one_object_keeps_the_later_one() {
    let mut listing = listing();
    listing.add(Duration::ZERO, page(&["a"])).unwrap();
    let mut second = last_page(&["b"]);
    second.objects.push(object("a", json!(2)));
    listing.add(Duration::ZERO, second).unwrap();
    let listing = listing.finish(None);
    assert_eq!(Some(&json!(2)), spec_of(&listing, "a"));
}

#[test]
fn add_unreadable_objects_of_all_pages_are_counted() {
    let mut listing = listing();
    let mut first = page(&["a"]);
    first.unreadable.add_unnamed();
    listing.add(Duration::ZERO, first).unwrap();
    let mut second = last_page(&["b"]);
    second.unreadable.add(&"b".into(), ObjectFault::NotUtf8, "");
    listing.add(Duration::ZERO, second).unwrap();
    let unreadable = listing.finish(None).unreadable;
    assert_eq!((2, 1), (unreadable.count(), unreadable.unnamed()));
}

#[test]
fn add_pages_without_end_stop_at_the_most_pages() {
    let mut listing = listing();
    for n in 1..MAX_PAGES {
        let name = format!("n{n}");
        assert_eq!(
            Ok(after(&name)),
            listing.add(Duration::ZERO, page(&[&name]))
        );
    }
    let stopped = listing.add(Duration::ZERO, page(&["z"]));
    assert_eq!(Err(ListingStop::TooManyPages), stopped);
}

#[test]
fn add_objects_without_end_stop_at_the_most_bytes() {
    let mut listing = listing();
    let with_bytes = |name: &str, bytes: usize| ListingPage {
        bytes,
        ..page(&[name])
    };
    let first = with_bytes("a", MAX_BYTES);
    assert_eq!(Ok(after("a")), listing.add(Duration::ZERO, first));
    let stopped = listing.add(Duration::ZERO, with_bytes("b", 1));
    assert_eq!(Err(ListingStop::TooLarge), stopped);
}

#[test]
fn add_slow_pages_stop_at_the_longest_time() {
    let mut listing = listing();
    let in_time = MAX_TIME.checked_sub(Duration::from_millis(1)).unwrap();
    assert_eq!(Ok(after("a")), listing.add(in_time, page(&["a"])));
    let stopped = listing.add(MAX_TIME, page(&["b"]));
    assert_eq!(Err(ListingStop::TooSlow), stopped);
}

/// The last page ends a listing whatever the bounds are, as no further page is asked for.
#[test]
fn add_last_page_beyond_the_bounds_ends_the_listing() {
    let mut listing = listing();
    let last = ListingPage {
        bytes: MAX_BYTES + 1,
        ..last_page(&["a"])
    };
    assert_eq!(Ok(NextPage::None), listing.add(MAX_TIME * 2, last));
}

proptest! {
    /// Whatever a store sends, a listing asks after no name twice and ends within its pages.
    #[test]
    fn add_any_pages_ask_after_no_name_twice(
        sent in prop::collection::vec(prop::collection::vec("[a-c]{0,3}", 0..4), 1..200),
    ) {
        let mut listing = listing();
        let mut asked = Vec::new();
        for names in sent {
            let names: Vec<_> = names.iter().map(String::as_str).collect();
            match listing.add(Duration::ZERO, page(&names)) {
                Ok(NextPage::After(name)) => asked.push(name),
                Ok(NextPage::None) => prop_assert!(false, "ended before the last page"),
                Err(stop) => {
                    prop_assert_eq!(ListingStop::NoProgress, stop);
                    break;
                }
            }
        }
        let count = asked.len();
        asked.sort();
        asked.dedup();
        prop_assert_eq!(count, asked.len());
    }
}
