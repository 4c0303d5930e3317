//! Decoding of the platform's responses. An object that cannot be read costs no other one.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::platform::{
    Listing, Object, ObjectFault, PlatformError, UnreadableObjects, Version, WatchEvent, json_scan,
};
use crate::prelude::*;

/// Reads the object that a response consists of; one whose `spec` cannot be read has null instead.
///
/// # Errors
/// When it has no name or version.
pub(super) fn read_object(kind: &str, body: &[u8]) -> Result<Object, PlatformError> {
    let read = ReadObject::new(kind, body, None).ok_or_else(|| unreadable("no object"))?;
    Ok(read.object)
}

/// Reads a listing.
///
/// # Errors
/// When it has no version to watch from or no items: it does not say that there are no objects.
pub(super) fn read_listing(kind: &str, body: &[u8]) -> Result<Listing, PlatformError> {
    let version = read_version(body).ok_or_else(|| unreadable("listing without version"))?;
    let items = json_scan::field(body, "items").and_then(json_scan::items);
    let items = items.ok_or_else(|| unreadable("listing without items"))?;
    let mut objects = Vec::new();
    let mut faults = UnreadableObjects::default();
    for item in items {
        let Some(read) = ReadObject::new(kind, item, Some(&version)) else {
            faults.add_unnamed();
            continue;
        };
        if let Some(fault) = read.fault {
            faults.add(&read.object.name, fault, "");
        }
        objects.push(read.object);
    }
    Ok(Listing {
        items: objects,
        version,
        unreadable: faults,
        ..Listing::default()
    })
}

/// Reads a line of a watch; it has no event if it is a bookmark without a version.
///
/// # Errors
/// When it does not say which object has changed, or ends the watch.
pub(super) fn read_watch_line(
    kind: &str,
    line: &[u8],
) -> Result<SmallVec<[WatchEvent; 2]>, PlatformError> {
    let event_type: Name = json_scan::field(line, "type")
        .and_then(read)
        .ok_or_else(|| unreadable("watch line without type"))?;
    let object = json_scan::field(line, "object").unwrap_or_default();
    let mut events = SmallVec::new();
    match &*event_type {
        "ADDED" | "MODIFIED" => {
            let read = ReadObject::new(kind, object, None);
            let read = read.ok_or_else(|| unreadable("change of no object"))?;
            if let Some(fault) = read.fault {
                let mut faults = UnreadableObjects::default();
                faults.add(&read.object.name, fault, "");
                events.push(WatchEvent::Unreadable(faults));
            }
            events.push(WatchEvent::Put(read.object));
        }
        "DELETED" => {
            let read = ReadObject::new(kind, object, None);
            let read = read.ok_or_else(|| unreadable("deletion of no object"))?;
            events.push(WatchEvent::Deleted(read.object));
        }
        "BOOKMARK" => events.extend(read_version(object).map(WatchEvent::Bookmark)),
        // As in Kubernetes, an `ERROR` event ends the watch, for example when its version is too old.
        _ => return Err(PlatformError::Expired),
    }
    Ok(events)
}

/// An object as it was read.
struct ReadObject {
    object: Object,
    /// Why its `spec` is null instead.
    fault: Option<ObjectFault>,
}

impl ReadObject {
    /// Reads an object. One without a version has at most that of its listing.
    fn new(kind: &str, text: &[u8], listed_at: Option<&Version>) -> Option<Self> {
        let metadata = json_scan::field(text, "metadata")?;
        let name: Name = read(json_scan::field(metadata, "name")?)?;
        let version = read_version(text).or_else(|| listed_at.cloned())?;
        let spec = json_scan::field(text, "spec").unwrap_or(b"null");
        let (spec, fault) = match serde_json::from_slice(spec) {
            Ok(spec) => (spec, None),
            Err(_) => (Value::Null, Some(fault_of(spec))),
        };
        Some(Self {
            object: Object {
                kind: kind.into(),
                name,
                version,
                spec,
            },
            fault,
        })
    }
}

fn fault_of(spec: &[u8]) -> ObjectFault {
    match std::str::from_utf8(spec) {
        Ok(_) => ObjectFault::InvalidJson,
        Err(_) => ObjectFault::NotUtf8,
    }
}

/// Version in the metadata of an object or a listing.
fn read_version(text: &[u8]) -> Option<Version> {
    let metadata = json_scan::field(text, "metadata")?;
    let version: String = read(json_scan::field(metadata, "resourceVersion")?)?;
    Some(Version(version)).filter(|version| !version.0.is_empty())
}

fn read<T: DeserializeOwned>(text: &[u8]) -> Option<T> {
    serde_json::from_slice(text).ok()
}

fn unreadable(reason: &str) -> PlatformError {
    PlatformError::Unreadable(reason.to_owned())
}
