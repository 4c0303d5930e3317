//! In-memory platform with fault injection.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard};

use async_channel::Sender;
use futures_lite::future::Boxed;
use futures_lite::stream::{self, StreamExt};
use guavahold::platform::{
    Listing, Object, Platform, PlatformError, Version, WatchEvent, WatchStream, WatchTiming,
};
use guavahold::prelude::*;

/// Fault of a platform call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The platform cannot be reached: the call is not sent.
    Down,
    /// The call takes effect after a delay and then returns.
    Slow(Duration),
    /// The call takes effect and its response is lost.
    ResponseLost,
    /// The call is lost: it has no effect and gets no response.
    RequestLost,
    /// The response is lost; a write takes effect with [`MemoryPlatform::apply_delayed_writes`].
    EffectDelayed,
    /// The call panics.
    Panic,
}

/// Number of calls so far, including failed ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// `get` and `list`.
    pub reads: u64,
    /// `create`, `update` and `delete`.
    pub writes: u64,
    /// `watch`.
    pub watches: u64,
    /// Writes that returned a conflict.
    pub conflicts: u64,
}

type Key = (Name, Name);
type WriteFn = Box<dyn FnOnce(&mut State) -> Result<Option<Object>, PlatformError> + Send>;

#[derive(Default)]
struct State {
    version: u64,
    objects: BTreeMap<Key, Object>,
    log: Vec<(u64, WatchEvent)>,
    watchers: Vec<Sender<WatchEvent>>,
    delayed_writes: Vec<WriteFn>,
    calls: Calls,
}

#[derive(Default)]
struct Faults {
    all_calls: Option<Fault>,
    next_writes: VecDeque<Option<Fault>>,
}

/// In-memory platform; clones share its objects and faults.
#[derive(Clone, Default)]
pub struct MemoryPlatform {
    state: Arc<Mutex<State>>,
    faults: Arc<Mutex<Faults>>,
}

impl MemoryPlatform {
    /// Makes an empty platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a platform with the same objects and separate faults.
    pub fn with_own_faults(&self) -> Self {
        Self {
            state: self.state.clone(),
            faults: Arc::default(),
        }
    }

    /// Sets or clears the fault of all calls.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.faults().all_calls = fault;
    }

    /// Queues faults for the next writes, in order; they override the fault of all calls.
    pub fn fail_writes(&self, faults: impl IntoIterator<Item = Option<Fault>>) {
        self.faults().next_writes.extend(faults);
    }

    /// Applies the writes delayed by [`Fault::EffectDelayed`].
    pub fn apply_delayed_writes(&self) {
        let mut state = self.state();
        for write in std::mem::take(&mut state.delayed_writes) {
            let _ = write(&mut state);
        }
    }

    /// Number of calls so far.
    pub fn calls(&self) -> Calls {
        self.state().calls
    }

    /// All objects of a kind.
    pub fn objects(&self, kind: &str) -> Vec<Object> {
        let state = self.state();
        let all = state.objects.values().filter(|o| &*o.kind == kind);
        all.cloned().collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap()
    }

    async fn read<T>(&self, read: impl FnOnce(&mut State) -> T) -> Result<T, PlatformError> {
        self.state().calls.reads += 1;
        let fault = self.faults().all_calls;
        match fault {
            Some(Fault::Down) => return Err(PlatformError::Unreachable("down".into())),
            Some(Fault::Slow(delay)) => drop(async_io::Timer::after(delay).await),
            Some(Fault::Panic) => panic!("planned panic in a read"),
            Some(_) => return Err(PlatformError::Unanswered("lost".into())),
            None => {}
        }
        Ok(read(&mut self.state()))
    }

    async fn write(&self, write: WriteFn) -> Result<Option<Object>, PlatformError> {
        self.state().calls.writes += 1;
        let fault = {
            let mut faults = self.faults();
            let next = faults.next_writes.pop_front();
            next.unwrap_or(faults.all_calls)
        };
        let lost = Err(PlatformError::Unanswered("lost".into()));
        match fault {
            Some(Fault::Down) => return Err(PlatformError::Unreachable("down".into())),
            Some(Fault::Slow(delay)) => drop(async_io::Timer::after(delay).await),
            Some(Fault::RequestLost) => return lost,
            Some(Fault::Panic) => panic!("planned panic in a write"),
            Some(Fault::EffectDelayed) => {
                self.state().delayed_writes.push(write);
                return lost;
            }
            Some(Fault::ResponseLost) => {
                let _ = write(&mut self.state());
                return lost;
            }
            None => {}
        }
        let result = write(&mut self.state());
        if result == Err(PlatformError::Conflict) {
            self.state().calls.conflicts += 1;
        }
        result
    }
}

impl State {
    fn put(&mut self, mut object: Object) -> Object {
        self.version += 1;
        object.version = Version(self.version.to_string());
        let key = (object.kind.clone(), object.name.clone());
        self.objects.insert(key, object.clone());
        self.publish(&WatchEvent::Put(object.clone()));
        object
    }

    fn check_version(&self, key: &Key, version: &Version) -> Result<(), PlatformError> {
        let current = self.objects.get(key).ok_or(PlatformError::NotFound)?;
        if current.version == *version {
            Ok(())
        } else {
            Err(PlatformError::Conflict)
        }
    }

    fn publish(&mut self, event: &WatchEvent) {
        self.log.push((self.version, event.clone()));
        self.watchers
            .retain(|tx| tx.try_send(event.clone()).is_ok());
    }
}

fn matches_watch(event: &WatchEvent, kind: &str, name: Option<&str>) -> bool {
    match event {
        WatchEvent::Put(o) | WatchEvent::Deleted(o) => {
            &*o.kind == kind && name.is_none_or(|n| n == &*o.name)
        }
        WatchEvent::Bookmark(_) | WatchEvent::Unreadable(_) => true,
    }
}

fn written_object(object: Option<Object>) -> Object {
    object.expect("creating and replacing return the object")
}

impl Platform for MemoryPlatform {
    fn get(&self, kind: &str, name: &str) -> Boxed<Result<Option<Object>, PlatformError>> {
        let (this, key) = (self.clone(), (Name::from(kind), Name::from(name)));
        Box::pin(async move { this.read(|state| state.objects.get(&key).cloned()).await })
    }

    fn list(&self, kind: &str) -> Boxed<Result<Listing, PlatformError>> {
        let (this, kind) = (self.clone(), Name::from(kind));
        Box::pin(async move {
            let version = this.read(|state| state.version).await?;
            Ok(Listing {
                items: this.objects(&kind),
                version: Version(version.to_string()),
                ..Listing::default()
            })
        })
    }

    fn create(&self, object: Object) -> Boxed<Result<Object, PlatformError>> {
        let this = self.clone();
        let write = move |state: &mut State| {
            let key = (object.kind.clone(), object.name.clone());
            if state.objects.contains_key(&key) {
                return Err(PlatformError::Conflict);
            }
            Ok(Some(state.put(object)))
        };
        Box::pin(async move { this.write(Box::new(write)).await.map(written_object) })
    }

    fn update(&self, object: Object) -> Boxed<Result<Object, PlatformError>> {
        let this = self.clone();
        let write = move |state: &mut State| {
            let key = (object.kind.clone(), object.name.clone());
            state.check_version(&key, &object.version)?;
            Ok(Some(state.put(object)))
        };
        Box::pin(async move { this.write(Box::new(write)).await.map(written_object) })
    }

    fn delete(&self, kind: &str, name: &str, version: Version) -> Boxed<Result<(), PlatformError>> {
        let (this, key) = (self.clone(), (Name::from(kind), Name::from(name)));
        let write = move |state: &mut State| {
            state.check_version(&key, &version)?;
            state.version += 1;
            let old = state.objects.remove(&key).ok_or(PlatformError::NotFound)?;
            state.publish(&WatchEvent::Deleted(old));
            Ok(None)
        };
        Box::pin(async move { this.write(Box::new(write)).await.map(|_| ()) })
    }

    fn watch(
        &self,
        kind: &str,
        name: Option<&str>,
        from: Version,
        _timing: WatchTiming,
    ) -> Boxed<Result<WatchStream, PlatformError>> {
        let (this, kind, name) = (self.clone(), Name::from(kind), name.map(Name::from));
        Box::pin(async move {
            let rx = {
                let mut state = this.state();
                state.calls.watches += 1;
                if this.faults().all_calls == Some(Fault::Down) {
                    return Err(PlatformError::Unreachable("down".into()));
                }
                let from: u64 = from.0.parse().unwrap_or_default();
                let (tx, rx) = async_channel::unbounded();
                for (_, event) in state.log.iter().filter(|(at, _)| *at > from) {
                    let _ = tx.try_send(event.clone());
                }
                state.watchers.push(tx);
                rx
            };
            let events = stream::unfold(rx, |rx| async move {
                let event = rx.recv().await.ok()?;
                Some((event, rx))
            });
            let matching = events.filter(move |e| matches_watch(e, &kind, name.as_deref()));
            Ok(Box::pin(matching.map(Ok)) as WatchStream)
        })
    }
}
