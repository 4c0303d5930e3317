//! The platform in memory, with faults that tests switch.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard};

use async_channel::Sender;
use futures_lite::future::Boxed;
use futures_lite::stream::{self, StreamExt};
use guavahold::platform::{
    Listing, Object, Platform, PlatformError, Version, WatchEvent, WatchStream,
};
use guavahold::prelude::*;

/// How a call goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call is not sent.
    Down,
    /// The call takes effect after a delay, and so does its answer.
    Slow(Duration),
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The call has no effect and its answer is lost.
    CallLost,
    /// The answer is lost; a write takes effect when [`MemoryPlatform::land`] is called.
    EffectLate,
}

/// Calls answered or failed so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// `get` and `list`.
    pub reads: u64,
    /// `create`, `update` and `delete`.
    pub writes: u64,
    /// `watch`.
    pub watches: u64,
    /// Writes refused for their version.
    pub conflicts: u64,
}

type Key = (Name, Name);
type Write = Box<dyn FnOnce(&mut State) -> Result<Option<Object>, PlatformError> + Send>;

#[derive(Default)]
struct State {
    version: u64,
    objects: BTreeMap<Key, Object>,
    log: Vec<(u64, WatchEvent)>,
    watchers: Vec<Sender<WatchEvent>>,
    late: Vec<Write>,
    calls: Calls,
}

#[derive(Default)]
struct Faults {
    standing: Option<Fault>,
    next_writes: VecDeque<Option<Fault>>,
}

/// The platform in memory; clones share their objects and faults.
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

    /// The same objects seen over another way with faults of its own.
    pub fn another_way(&self) -> Self {
        Self {
            state: self.state.clone(),
            faults: Arc::default(),
        }
    }

    /// Applies a fault to every call, or none.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.faults().standing = fault;
    }

    /// Applies faults to the next writes, in order; they go before the standing fault.
    pub fn fail_writes(&self, faults: impl IntoIterator<Item = Option<Fault>>) {
        self.faults().next_writes.extend(faults);
    }

    /// Lets writes of [`Fault::EffectLate`] take effect now.
    pub fn land(&self) {
        let mut state = self.state();
        for write in std::mem::take(&mut state.late) {
            let _ = write(&mut state);
        }
    }

    /// Calls so far.
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
        let fault = self.faults().standing;
        match fault {
            Some(Fault::Down) => return Err(PlatformError::Unreachable("down".into())),
            Some(Fault::Slow(delay)) => drop(async_io::Timer::after(delay).await),
            Some(_) => return Err(PlatformError::Unanswered("lost".into())),
            None => {}
        }
        Ok(read(&mut self.state()))
    }

    async fn write(&self, write: Write) -> Result<Option<Object>, PlatformError> {
        self.state().calls.writes += 1;
        let fault = {
            let mut faults = self.faults();
            let next = faults.next_writes.pop_front();
            next.unwrap_or(faults.standing)
        };
        let lost = Err(PlatformError::Unanswered("lost".into()));
        match fault {
            Some(Fault::Down) => return Err(PlatformError::Unreachable("down".into())),
            Some(Fault::Slow(delay)) => drop(async_io::Timer::after(delay).await),
            Some(Fault::CallLost) => return lost,
            Some(Fault::EffectLate) => {
                self.state().late.push(write);
                return lost;
            }
            Some(Fault::AnswerLost) => {
                let _ = write(&mut self.state());
                return lost;
            }
            None => {}
        }
        let done = write(&mut self.state());
        if done == Err(PlatformError::Conflict) {
            self.state().calls.conflicts += 1;
        }
        done
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

    fn check(&self, key: &Key, version: &Version) -> Result<(), PlatformError> {
        let held = self.objects.get(key).ok_or(PlatformError::NotFound)?;
        if held.version == *version {
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

fn concerns(event: &WatchEvent, kind: &str, name: Option<&str>) -> bool {
    match event {
        WatchEvent::Put(o) | WatchEvent::Deleted(o) => {
            &*o.kind == kind && name.is_none_or(|n| n == &*o.name)
        }
        WatchEvent::Bookmark(_) => true,
    }
}

fn whole(done: Option<Object>) -> Object {
    done.expect("creating and replacing give the object")
}

impl Platform for MemoryPlatform {
    fn get(&self, kind: &str, name: &str) -> Boxed<Result<Option<Object>, PlatformError>> {
        let (this, key) = (self.clone(), (Name::from(kind), Name::from(name)));
        Box::pin(async move { this.read(|state| state.objects.get(&key).cloned()).await })
    }

    fn list(&self, kind: &str) -> Boxed<Result<Listing, PlatformError>> {
        let (this, kind) = (self.clone(), Name::from(kind));
        Box::pin(async move {
            let items = this.read(|state| state.version).await?;
            Ok(Listing {
                items: this.objects(&kind),
                version: Version(items.to_string()),
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
        Box::pin(async move { this.write(Box::new(write)).await.map(whole) })
    }

    fn update(&self, object: Object) -> Boxed<Result<Object, PlatformError>> {
        let this = self.clone();
        let write = move |state: &mut State| {
            let key = (object.kind.clone(), object.name.clone());
            state.check(&key, &object.version)?;
            Ok(Some(state.put(object)))
        };
        Box::pin(async move { this.write(Box::new(write)).await.map(whole) })
    }

    fn delete(&self, kind: &str, name: &str, version: Version) -> Boxed<Result<(), PlatformError>> {
        let (this, key) = (self.clone(), (Name::from(kind), Name::from(name)));
        let write = move |state: &mut State| {
            state.check(&key, &version)?;
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
    ) -> Boxed<Result<WatchStream, PlatformError>> {
        let (this, kind, name) = (self.clone(), Name::from(kind), name.map(Name::from));
        Box::pin(async move {
            let rx = {
                let mut state = this.state();
                state.calls.watches += 1;
                if this.faults().standing == Some(Fault::Down) {
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
            let mine = events.filter(move |e| concerns(e, &kind, name.as_deref()));
            Ok(Box::pin(mine.map(Ok)) as WatchStream)
        })
    }
}
