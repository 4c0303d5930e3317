//! Hubs tell every entry of a large system what all the others do.

use std::collections::BTreeMap;
use std::time::Duration;

use guavahold::context_store::{RetiredVersions, RetirementTracker};
use guavahold::gateway::{HubAggregator, HubCandidate, HubSelector, LoadTable, TargetLoad};
use guavahold::name_hash::name_hash;
use guavahold::peer::{GatewayDigest, GatewayStatus};
use guavahold::prelude::Name;

const DOMAINS: usize = 3;
const ENTRIES: usize = 7;
const TARGETS: u32 = 5;
const ROUND: Duration = Duration::from_millis(150);

fn peer(n: usize) -> HubCandidate {
    HubCandidate {
        name: format!("entry-{n}").into(),
        domain: format!("domain-{}", n % DOMAINS).into(),
        cpu_millis: if n / DOMAINS == 3 { 500 } else { 120 },
    }
}

fn load(requests: u32) -> TargetLoad {
    TargetLoad {
        requests,
        work: requests * 3,
        context: requests * 5,
    }
}

struct Entry {
    peer: HubCandidate,
    hubs: HubSelector,
    gatherer: HubAggregator,
    loads: LoadTable,
    told: Vec<(u32, TargetLoad)>,
    word: GatewayStatus,
    up: bool,
}

enum Message {
    Word(GatewayStatus),
    Digest(GatewayDigest),
}

/// Entries that tell each other in rounds; what is sent in one arrives before the next.
struct World {
    now: Duration,
    entries: Vec<Entry>,
}

impl World {
    fn new() -> Self {
        let entries = (0..DOMAINS * ENTRIES).map(|n| Entry {
            peer: peer(n),
            hubs: HubSelector::default(),
            gatherer: HubAggregator::default(),
            loads: LoadTable::default(),
            told: Vec::new(),
            word: GatewayStatus::default(),
            up: true,
        });
        Self {
            now: Duration::ZERO,
            entries: entries.collect(),
        }
    }

    fn set_loads(&mut self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        for entry in &mut self.entries {
            let loads = (0..TARGETS).map(|t| (t, load(rng.u32(1..9))));
            entry.word.loads = loads.collect();
        }
    }

    /// `heard` tells whether the first entry still holds the second for live.
    fn round(&mut self, heard: impl Fn(&HubCandidate, &HubCandidate) -> bool) {
        self.now += ROUND;
        let all: Vec<HubCandidate> = self.entries.iter().map(|e| e.peer.clone()).collect();
        let mut sent: Vec<(Name, HubCandidate, Message)> = Vec::new();
        for entry in self.entries.iter_mut().filter(|e| e.up) {
            entry.loads.expire(self.now);
            let others = all.iter().filter(|p| p.name != entry.peer.name);
            let live: Vec<HubCandidate> =
                others.filter(|p| heard(&entry.peer, p)).cloned().collect();
            let word = entry.word.clone();
            if let Some(hub) = entry.hubs.select(self.now, &entry.peer, &live) {
                entry.told.clone_from(&word.loads);
                sent.push((hub, entry.peer.clone(), Message::Word(word)));
                continue;
            }
            let (domain, whole) = entry.gatherer.digests(self.now, &entry.peer.name, word);
            let heard = entry.gatherer.live_hubs(self.now);
            for hub in HubSelector::other_domain_hubs(&entry.peer, &live, &heard) {
                sent.push((hub, entry.peer.clone(), Message::Digest(domain.clone())));
            }
            for near in live.iter().filter(|p| p.domain == entry.peer.domain) {
                let message = Message::Digest(whole.clone());
                sent.push((near.name.clone(), entry.peer.clone(), message));
            }
        }
        for (to, from, message) in sent {
            let found = self.entries.iter_mut().find(|e| e.peer.name == to);
            found.unwrap().take(self.now, &from, message);
        }
    }

    fn check(&self) {
        for entry in self.entries.iter().filter(|e| e.up) {
            let mut expected: BTreeMap<u32, TargetLoad> = BTreeMap::new();
            let others = self.entries.iter();
            for other in others.filter(|o| o.up && o.peer.name != entry.peer.name) {
                for (target, load) in &other.word.loads {
                    let sum = expected.entry(*target).or_default();
                    sum.requests += load.requests;
                    sum.work += load.work;
                    sum.context += load.context;
                }
            }
            let sums: BTreeMap<u32, TargetLoad> = entry.loads.sums().into_iter().collect();
            assert_eq!(sums, expected, "{}", entry.peer.name);
        }
    }
}

impl Entry {
    fn take(&mut self, now: Duration, from: &HubCandidate, message: Message) {
        if !self.up {
            return;
        }
        match message {
            Message::Word(word) => {
                self.loads.record(now, &from.name, word.loads.clone());
                self.gatherer.record_status(now, &from.name, word);
            }
            Message::Digest(digest) if from.domain == self.peer.domain => {
                if self.hubs.current() != Some(&from.name) {
                    return;
                }
                self.hubs.record_digest(now, &from.name);
                let sum = digest.merged.loads;
                self.loads.record_sum(now, &from.name, sum, &self.told);
            }
            Message::Digest(digest) => {
                let loads = digest.merged.loads.clone();
                self.loads.record(now, &from.name, loads);
                self.gatherer.record_digest(now, &from.name, digest);
            }
        }
    }
}

#[test]
fn hub_is_the_strongest_and_the_same_for_all() {
    let all: Vec<HubCandidate> = (0..DOMAINS * ENTRIES).map(peer).collect();
    for own in all.iter().filter(|p| &*p.domain == "domain-1") {
        let others: Vec<HubCandidate> = all.iter().filter(|p| *p != own).cloned().collect();
        let hub = HubSelector::default().select(Duration::ZERO, own, &others);
        let hub = hub.unwrap_or_else(|| own.name.clone());
        assert_eq!(&*hub, "entry-10");
    }
}

#[test]
fn hub_that_is_silent_is_passed_over_for_a_while() {
    let peers = [peer(0), peer(3), peer(9)];
    let ms = Duration::from_millis;
    let mut hubs = HubSelector::default();
    let mut choose = |at| hubs.select(ms(at), &peers[0], &peers[1..]);
    assert_eq!(choose(0).as_deref(), Some("entry-9"));
    assert_eq!(choose(999).as_deref(), Some("entry-9"));
    let next = choose(1_000);
    assert_ne!(next.as_deref(), Some("entry-9"));
    assert_eq!(choose(1_900), next);
    assert_eq!(choose(11_100).as_deref(), Some("entry-9"));
}

#[test]
fn sums_are_those_of_all_other_entries() {
    let mut world = World::new();
    for seed in 0..20 {
        world.set_loads(seed);
        for _ in 0..4 {
            world.round(|_, _| true);
        }
        world.check();
    }
}

#[test]
fn sums_are_right_again_after_a_hub_is_lost() {
    let mut world = World::new();
    world.set_loads(1);
    for _ in 0..4 {
        world.round(|_, _| true);
    }
    // The hub of domain 0 stops; the others do not learn of it but by its silence.
    world.entries[9].up = false;
    for _ in 0..30 {
        world.round(|_, _| true);
    }
    world.check();
}

#[test]
fn sums_count_no_load_twice_while_entries_choose_differently() {
    let mut world = World::new();
    world.set_loads(2);
    // One entry does not see the hub of its failure domain.
    let blind = |own: &HubCandidate, other: &HubCandidate| {
        !(&*own.name == "entry-6" && &*other.name == "entry-9")
    };
    for _ in 0..10 {
        world.round(blind);
    }
    let most: u32 = world
        .entries
        .iter()
        .map(|e| e.word.loads[0].1.requests)
        .sum();
    for entry in &world.entries {
        let sums = entry.loads.sums();
        let seen = sums.get(&0).map_or(0, |load| load.requests);
        let own = entry.word.loads[0].1.requests;
        assert!(
            seen + own <= most,
            "{}: {seen} and {own} of {most}",
            entry.peer.name
        );
    }
}

#[test]
fn digest_agrees_on_the_least_and_retires_the_most() {
    let word = |below| GatewayStatus {
        retired_below: (below, below + 1),
        ..GatewayStatus::default()
    };
    let mut gatherer = HubAggregator::default();
    let now = Duration::from_secs(1);
    gatherer.record_status(now, &"b".into(), word(3));
    gatherer.record_status(now, &"c".into(), word(5));
    let (digest, _) = gatherer.digests(now, "a", word(4));
    assert_eq!(digest.retired_by_all, (3, 4));
    assert_eq!(digest.merged.retired_below, (5, 6));
    let names: Vec<Name> = ["a", "b", "c"].map(Name::from).into();
    let mut entries = digest.entries.clone();
    entries.sort_unstable();
    let mut expected: Vec<u32> = names.iter().map(|n| name_hash(n)).collect();
    expected.sort_unstable();
    assert_eq!(entries, expected);

    // An entry frees only what every listed entry is covered for.
    let agreed = |listed: &[Name]| {
        let mut retirement = RetirementTracker::default();
        let mut freed = RetiredVersions::default();
        retirement.retire(RetiredVersions {
            all_below: 5,
            half_below: 6,
        });
        for ms in (0..4_000).step_by(150) {
            let now = Duration::from_millis(ms);
            retirement.record_retired_by_all(
                now,
                &digest.entries,
                RetiredVersions {
                    all_below: digest.retired_by_all.0,
                    half_below: digest.retired_by_all.1,
                },
            );
            freed = retirement.freeable(now, listed);
        }
        freed
    };
    assert_eq!(agreed(&names).all_below, 3);
    let more: Vec<Name> = names.iter().cloned().chain(["d".into()]).collect();
    assert_eq!(agreed(&more), RetiredVersions::default());
}

#[test]
fn words_that_are_old_are_left_out() {
    let mut gatherer = HubAggregator::default();
    gatherer.record_status(Duration::ZERO, &"b".into(), GatewayStatus::default());
    let (digest, _) = gatherer.digests(Duration::from_secs(2), "a", GatewayStatus::default());
    assert_eq!(digest.entries, [name_hash("a")]);
}
