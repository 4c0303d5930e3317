//! One entry: its view of the configuration, and the calls of its watcher as `gateway::kind_watcher`
//! makes them.

use std::time::Duration;

use guavahold::gateway::{
    HUB_INTERVAL, HubCandidate, HubSelector, INTERVAL_JITTER, STATUS_INTERVAL,
};
use guavahold::peer::KindConfirmation;
use guavahold::platform::{
    CALL_TIMEOUT, PlatformError, StoreRevision, WATCH_CALL_PAUSE, WatchEvent, WatchTiming,
};
use guavahold::prelude::Name;
use guavahold::store_view::{
    CATCH_UP_INTERVAL, ConfirmedBy, HUB_CHECK_INTERVAL, KindView, OpenWatch, PeerObject,
    Replacement, back_off_time,
};

use crate::site::Site;
use crate::store::{Answer, Question, Store};

/// Longest time without an answer while a hub confirms.
const CONFIRMED_WATCH_TIME: Duration = Duration::from_secs(15);
/// Time for which a call that reads what has changed is awaited.
const CATCH_UP_SILENCE: Duration = Duration::from_secs(6);

/// A message between entries.
#[derive(Clone, Debug)]
pub enum Message {
    /// Status of an entry or digest of a hub.
    Status {
        from: usize,
        revision: u64,
        confirmation: Option<KindConfirmation>,
    },
    WantObjects {
        from: usize,
    },
    Objects {
        revision: u64,
        objects: Vec<PeerObject>,
    },
}

/// A watch and its current call.
struct Watch {
    /// Present if it relies on the hub.
    relies: Option<OpenWatch>,
    /// The hub when it was opened.
    hub: Option<Name>,
    max_silence: Duration,
    call: Option<usize>,
    /// When the next call begins, or when the current one has begun.
    called_at: Duration,
    next_check: Duration,
}

enum Phase {
    Pause {
        until: Duration,
        list: bool,
    },
    List {
        call: usize,
        until: Duration,
    },
    Watch(Watch),
    CatchUp {
        calls: Vec<(usize, Duration)>,
        next: Duration,
    },
}

/// One entry.
pub struct Entry {
    pub index: usize,
    pub name: Name,
    site: Site,
    pub view: KindView,
    selector: HubSelector,
    phase: Phase,
    from: u64,
    failures: u32,
    next_round: Duration,
    /// Newest version that was in force.
    pub in_force: u64,
    rng: fastrand::Rng,
}

pub fn name(index: usize) -> Name {
    format!("front-{index:02}").into()
}

fn bits(number: u64) -> u64 {
    crate::revision(number).to_bits()
}

fn number(bits: u64) -> u64 {
    StoreRevision::from_bits(bits).number()
}

impl Entry {
    pub fn start(site: Site, index: usize, now: Duration, mut rng: fastrand::Rng) -> Self {
        Self {
            index,
            name: name(index),
            site,
            view: KindView::default(),
            selector: HubSelector::default(),
            phase: Phase::Pause {
                until: now,
                list: true,
            },
            from: 0,
            failures: 0,
            next_round: now + HUB_INTERVAL.mul_f64(rng.f64()),
            in_force: 0,
            rng,
        }
    }

    /// Version that the objects hold.
    pub fn cached_version(&self) -> u64 {
        let object = self.view.cache.iter().next();
        object.map_or(0, |(_, spec)| spec["version"].as_u64().unwrap())
    }

    pub fn cached_revision(&self) -> u64 {
        number(self.view.cache.revision())
    }

    /// Makes what calls are due and applies what answers have arrived.
    pub fn step(&mut self, now: Duration, store: &mut Store) {
        match &mut self.phase {
            Phase::Pause { until, list } => {
                if now >= *until {
                    let list = *list;
                    self.call_again(now, store, list);
                }
            }
            Phase::List { call, until } => {
                let (call, until) = (*call, *until);
                match store.answer(now, call) {
                    Some(Answer::Listing(listing)) => {
                        self.record_answer(now);
                        self.from = number(StoreRevision::of(&listing.version).to_bits());
                        self.view.cache.replace(listing);
                        self.failures = 0;
                        self.open_watch(now);
                    }
                    Some(_) => unreachable!("a listing is answered with one"),
                    None if now >= until => self.fail(now, now, true),
                    None => {}
                }
            }
            Phase::Watch(_) => self.step_watch(now, store),
            Phase::CatchUp { .. } => self.step_catch_up(now, store),
        }
        self.in_force = self.in_force.max(self.cached_version());
    }

    fn step_watch(&mut self, now: Duration, store: &mut Store) {
        let times = self.site.times();
        let hub = self.hub().cloned();
        let Phase::Watch(watch) = &mut self.phase else {
            return;
        };
        let waited = now.saturating_sub(watch.called_at);
        if watch.call.is_none() && now >= watch.called_at {
            let until = now + WatchTiming::waiting(watch.max_silence).wait;
            let from = self.from;
            let question = Question::Watch { from, until };
            watch.call = Some(store.call(self.index, question));
        }
        match watch.call.and_then(|call| store.answer(now, call)) {
            Some(Answer::Events(events)) => {
                let opened_with = watch.hub.clone();
                // A batch ends with a pause, after which the next call has one of its own.
                let again = now + self.site.batch_pause();
                watch.call = None;
                watch.called_at = again + WATCH_CALL_PAUSE;
                watch.next_check = again + HUB_CHECK_INTERVAL;
                if let Some(relies) = &mut watch.relies {
                    *relies = OpenWatch::new(again, hub.as_ref());
                }
                self.apply(now, events);
                self.failures = 0;
                if opened_with != hub {
                    self.open_watch(again);
                }
                return;
            }
            Some(Answer::Expired) => {
                self.pause(now, true);
                return;
            }
            Some(Answer::Listing(_)) => unreachable!("a watch is answered with events"),
            None => {}
        }
        if watch.call.is_some() && waited >= watch.max_silence {
            self.fail(now, now, false);
            return;
        }
        if now < watch.next_check {
            return;
        }
        watch.next_check = now + HUB_CHECK_INTERVAL;
        let Some(relies) = &mut watch.relies else {
            return;
        };
        let verdict = relies.check(now, &self.view, hub.as_ref(), &times);
        match verdict.replacement() {
            None => {}
            Some(Replacement::CatchUp) => self.begin_catch_up(now, store),
            Some(Replacement::Fail) => self.fail(now, now, false),
        }
    }

    fn step_catch_up(&mut self, now: Duration, store: &mut Store) {
        let from = self.from;
        let Phase::CatchUp { calls, next } = &mut self.phase else {
            return;
        };
        calls.retain(|(_, at)| now < *at + CATCH_UP_SILENCE);
        let answer = calls.iter().find_map(|(call, _)| store.answer(now, *call));
        match answer {
            Some(Answer::Events(events)) => {
                self.apply_late(now, events);
                self.failures = 0;
                self.open_watch(now);
            }
            Some(Answer::Expired) => self.pause(now, true),
            Some(Answer::Listing(_)) => unreachable!("changes are answered with events"),
            None if now >= *next => {
                let called_at = next.saturating_sub(CATCH_UP_INTERVAL);
                *next = now + CATCH_UP_INTERVAL;
                let question = Question::Watch { from, until: now };
                calls.push((store.call(self.index, question), now));
                self.record_failure(now, called_at);
            }
            None => {}
        }
    }

    fn call_again(&mut self, now: Duration, store: &mut Store, list: bool) {
        if list {
            self.phase = Phase::List {
                call: store.call(self.index, Question::List),
                until: now + CALL_TIMEOUT,
            };
        } else {
            self.begin_catch_up(now, store);
        }
    }

    fn begin_catch_up(&mut self, now: Duration, store: &mut Store) {
        let from = self.from;
        let question = Question::Watch { from, until: now };
        self.phase = Phase::CatchUp {
            calls: vec![(store.call(self.index, question), now)],
            next: now + CATCH_UP_INTERVAL,
        };
    }

    fn open_watch(&mut self, now: Duration) {
        let hub = self.hub().cloned();
        self.phase = Phase::Watch(Watch {
            relies: hub.as_ref().map(|hub| OpenWatch::new(now, Some(hub))),
            max_silence: if hub.is_some() {
                CONFIRMED_WATCH_TIME
            } else {
                self.site.times().max_silence
            },
            hub,
            call: None,
            called_at: now,
            next_check: now + HUB_CHECK_INTERVAL,
        });
    }

    fn pause(&mut self, now: Duration, list: bool) {
        let until = now + back_off_time(self.failures).mul_f64(0.5 + self.rng.f64() / 2.0);
        self.failures += 1;
        self.phase = Phase::Pause { until, list };
    }

    fn fail(&mut self, now: Duration, failed_at: Duration, list: bool) {
        self.record_failure(now, failed_at);
        self.pause(now, list);
    }

    fn record_failure(&mut self, now: Duration, failed_at: Duration) {
        let wait = WatchTiming::waiting(self.site.times().max_silence).wait;
        let err = PlatformError::Unanswered("no response in time".into());
        self.view.record_failure(now, failed_at, wait, &err);
    }

    fn record_answer(&mut self, now: Duration) {
        self.view.confirm(now, ConfirmedBy::Store);
        self.view.end_outage();
    }

    fn apply(&mut self, now: Duration, events: Vec<WatchEvent>) {
        for event in events {
            if let WatchEvent::Bookmark(version) = &event {
                self.from = StoreRevision::of(version).number();
            }
            self.record_answer(now);
            self.view.cache.apply(event);
        }
    }

    /// Applies an answer of which only the bookmark counts if a peer has told more since.
    fn apply_late(&mut self, now: Duration, mut events: Vec<WatchEvent>) {
        let outdated = match events.last() {
            Some(WatchEvent::Bookmark(version)) => self.view.cache.is_ahead_of(version),
            _ => false,
        };
        if outdated {
            events.retain(|event| matches!(event, WatchEvent::Bookmark(_)));
        }
        self.apply(now, events);
    }

    /// The hub that this entry has selected, unless it is the hub itself.
    pub fn hub(&self) -> Option<&Name> {
        let hub = self.selector.current();
        hub.filter(|_| self.site.uses_hubs())
    }

    /// Sends what is due to the peers that it counts as live.
    pub fn status_round(&mut self, now: Duration, live: &[usize]) -> Vec<(usize, Message)> {
        if now < self.next_round {
            return Vec::new();
        }
        let interval = if self.site.uses_hubs() {
            HUB_INTERVAL
        } else {
            STATUS_INTERVAL
        };
        let jitter = INTERVAL_JITTER * (2.0 * self.rng.f64() - 1.0);
        self.next_round = now + interval.mul_f64(1.0 + jitter);
        let mut message = Message::Status {
            from: self.index,
            revision: self.view.cache.revision(),
            confirmation: None,
        };
        if !self.site.uses_hubs() {
            return live.iter().map(|peer| (*peer, message.clone())).collect();
        }
        let candidate = |index| HubCandidate {
            name: name(index),
            domain: "z".into(),
            cpu_millis: 0,
            draining: false,
        };
        let peers: Vec<HubCandidate> = live.iter().map(|n| candidate(*n)).collect();
        if let Some(hub) = self.selector.select(now, &candidate(self.index), &peers) {
            let hub = live.iter().find(|n| name(**n) == hub);
            return hub.map(|n| (*n, message)).into_iter().collect();
        }
        if let Message::Status { confirmation, .. } = &mut message {
            *confirmation = self.view.confirmation(now);
        }
        live.iter().map(|peer| (*peer, message.clone())).collect()
    }

    /// Applies a message; returns the answer to its sender.
    pub fn receive(&mut self, now: Duration, message: Message) -> Option<(usize, Message)> {
        match message {
            Message::Status {
                from,
                revision,
                confirmation,
            } => {
                let sender = name(from);
                let is_hub = self.selector.current() == Some(&sender);
                if let Some(word) = confirmation.filter(|_| is_hub) {
                    self.selector.record_digest(now, &sender);
                    self.view.observe_confirmation(now, &sender, &word);
                }
                let wanted = self.view.observe_peer_revision(now, revision);
                wanted.then_some((from, Message::WantObjects { from: self.index }))
            }
            Message::WantObjects { from } => {
                let revision = self.view.cache.revision();
                let objects = self.view.cache.to_peer_objects();
                let message = Message::Objects { revision, objects };
                (revision > bits(0)).then_some((from, message))
            }
            Message::Objects { revision, objects } => {
                self.view.adopt(revision, objects, None);
                None
            }
        }
    }
}
