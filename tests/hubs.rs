//! Hub selection and load aggregation through hubs, in a simulated system of entries.

use std::collections::BTreeMap;
use std::time::Duration;

use guavahold::context_store::{RetiredVersions, RetirementTracker};
use guavahold::domain_scheduler::DomainHub;
use guavahold::gateway::{HubAggregator, HubCandidate, HubSelector, LoadTable, TargetLoad};
use guavahold::name_hash::name_hash;
use guavahold::peer::{GatewayDigest, GatewayStatus, RelayedStoreUpdate};
use guavahold::prelude::Name;

const DOMAINS: usize = 3;
const ENTRIES_PER_DOMAIN: usize = 7;
const TARGETS: u32 = 5;
const ROUND_INTERVAL: Duration = Duration::from_millis(150);

/// The entry `name` as the hub of a failure domain.
fn domain_hub(name: &str) -> DomainHub {
    DomainHub {
        domain: "z".into(),
        entry: name.into(),
        queued: 0,
    }
}

/// Creates entry `n`; the fourth of each failure domain has the largest CPU share.
fn peer(n: usize) -> HubCandidate {
    HubCandidate {
        name: format!("entry-{n}").into(),
        domain: format!("domain-{}", n % DOMAINS).into(),
        cpu_millis: if n / DOMAINS == 3 { 500 } else { 120 },
        draining: false,
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
    selector: HubSelector,
    aggregator: HubAggregator,
    loads: LoadTable,
    loads_sent_to_hub: Vec<(u32, TargetLoad)>,
    status: GatewayStatus,
    running: bool,
}

enum Message {
    Status(GatewayStatus),
    Digest(GatewayDigest),
}

/// Entries that exchange messages in rounds; a message arrives before the next round.
struct Simulation {
    now: Duration,
    entries: Vec<Entry>,
}

impl Simulation {
    fn new() -> Self {
        let entries = (0..DOMAINS * ENTRIES_PER_DOMAIN).map(|n| Entry {
            peer: peer(n),
            selector: HubSelector::default(),
            aggregator: HubAggregator::default(),
            loads: LoadTable::default(),
            loads_sent_to_hub: Vec::new(),
            status: GatewayStatus::default(),
            running: true,
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
            entry.status.loads = loads.collect();
        }
    }

    /// Runs one round; `sees` returns whether the first entry considers the second one live.
    fn round(&mut self, sees: impl Fn(&HubCandidate, &HubCandidate) -> bool) {
        self.now += ROUND_INTERVAL;
        let all: Vec<HubCandidate> = self.entries.iter().map(|e| e.peer.clone()).collect();
        let mut sent: Vec<(Name, HubCandidate, Message)> = Vec::new();
        for entry in self.entries.iter_mut().filter(|e| e.running) {
            entry.loads.expire(self.now);
            let others = all.iter().filter(|p| p.name != entry.peer.name);
            let live: Vec<HubCandidate> =
                others.filter(|p| sees(&entry.peer, p)).cloned().collect();
            let status = entry.status.clone();
            if let Some(hub) = entry.selector.select(self.now, &entry.peer, &live) {
                entry.loads_sent_to_hub.clone_from(&status.loads);
                sent.push((hub, entry.peer.clone(), Message::Status(status)));
                continue;
            }
            let (domain, whole) =
                entry
                    .aggregator
                    .digests(self.now, &domain_hub(&entry.peer.name), status);
            let active = entry.aggregator.live_hubs(self.now);
            for hub in HubSelector::other_domain_hubs(&entry.peer, &live, &active) {
                sent.push((hub, entry.peer.clone(), Message::Digest(domain.clone())));
            }
            for near in live.iter().filter(|p| p.domain == entry.peer.domain) {
                let message = Message::Digest(whole.clone());
                sent.push((near.name.clone(), entry.peer.clone(), message));
            }
        }
        for (to, from, message) in sent {
            let found = self.entries.iter_mut().find(|e| e.peer.name == to);
            found.unwrap().receive(self.now, &from, message);
        }
    }

    fn assert_sums(&self) {
        for entry in self.entries.iter().filter(|e| e.running) {
            let mut expected: BTreeMap<u32, TargetLoad> = BTreeMap::new();
            let others = self.entries.iter();
            for other in others.filter(|o| o.running && o.peer.name != entry.peer.name) {
                for (target, load) in &other.status.loads {
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
    fn receive(&mut self, now: Duration, from: &HubCandidate, message: Message) {
        if !self.running {
            return;
        }
        match message {
            Message::Status(status) => {
                self.loads.record(now, &from.name, status.loads.clone());
                self.aggregator.record_status(now, None, &from.name, status);
            }
            Message::Digest(digest) if from.domain == self.peer.domain => {
                if self.selector.current() != Some(&from.name) {
                    return;
                }
                self.selector.record_digest(now, &from.name);
                let sum = digest.merged.loads;
                self.loads
                    .record_sum(now, &from.name, sum, &self.loads_sent_to_hub);
            }
            Message::Digest(digest) => {
                let loads = digest.merged.loads.clone();
                self.loads.record(now, &from.name, loads);
                self.aggregator.record_digest(now, None, &from.name, digest);
            }
        }
    }
}

#[test]
fn hub_selector_selects_largest_cpu_share_at_every_entry() {
    let all: Vec<HubCandidate> = (0..DOMAINS * ENTRIES_PER_DOMAIN).map(peer).collect();
    for own in all.iter().filter(|p| &*p.domain == "domain-1") {
        let others: Vec<HubCandidate> = all.iter().filter(|p| *p != own).cloned().collect();
        let hub = HubSelector::default().select(Duration::ZERO, own, &others);
        let hub = hub.unwrap_or_else(|| own.name.clone());
        assert_eq!(&*hub, "entry-10");
    }
}

#[test]
fn hub_selector_excludes_timed_out_hub_for_a_period() {
    let peers = [peer(0), peer(3), peer(9)];
    let ms = Duration::from_millis;
    let mut hubs = HubSelector::default();
    let mut select = |at| hubs.select(ms(at), &peers[0], &peers[1..]);
    assert_eq!(select(0).as_deref(), Some("entry-9"));
    assert_eq!(select(999).as_deref(), Some("entry-9"));
    let next = select(1_000);
    assert_ne!(next.as_deref(), Some("entry-9"));
    assert_eq!(select(1_900), next);
    assert_eq!(select(11_100).as_deref(), Some("entry-9"));
}

#[test]
fn load_sums_equal_load_of_all_other_entries() {
    let mut simulation = Simulation::new();
    for seed in 0..20 {
        simulation.set_loads(seed);
        for _ in 0..4 {
            simulation.round(|_, _| true);
        }
        simulation.assert_sums();
    }
}

#[test]
fn load_sums_recover_after_hub_is_lost() {
    let mut simulation = Simulation::new();
    simulation.set_loads(1);
    for _ in 0..4 {
        simulation.round(|_, _| true);
    }
    // The hub of domain 0 stops; the others detect it only by the hub timeout.
    simulation.entries[9].running = false;
    for _ in 0..30 {
        simulation.round(|_, _| true);
    }
    simulation.assert_sums();
}

#[test]
fn load_sums_count_no_load_twice_while_entries_select_different_hubs() {
    let mut simulation = Simulation::new();
    simulation.set_loads(2);
    // One entry does not consider the hub of its failure domain live.
    let sees = |own: &HubCandidate, other: &HubCandidate| {
        !(&*own.name == "entry-6" && &*other.name == "entry-9")
    };
    for _ in 0..10 {
        simulation.round(sees);
    }
    let total: u32 = simulation
        .entries
        .iter()
        .map(|e| e.status.loads[0].1.requests)
        .sum();
    for entry in &simulation.entries {
        let sums = entry.loads.sums();
        let others = sums.get(&0).map_or(0, |load| load.requests);
        let own = entry.status.loads[0].1.requests;
        assert!(
            others + own <= total,
            "{}: {others} and {own} of {total}",
            entry.peer.name
        );
    }
}

#[test]
fn digest_retired_by_all_is_minimum_and_merged_is_maximum() {
    let status = |below| GatewayStatus {
        retired_below: (below, below + 1),
        retired_counts: true,
        ..GatewayStatus::default()
    };
    let forgetful = GatewayStatus {
        retired_counts: false,
        ..status(2)
    };
    let mut aggregator = HubAggregator::default();
    let now = Duration::from_secs(1);
    let made_after = Some(Duration::from_millis(700));
    aggregator.record_status(now, made_after, &"b".into(), status(3));
    aggregator.record_status(now, made_after, &"c".into(), status(5));
    aggregator.record_status(now, None, &"of unknown age".into(), status(1));
    aggregator.record_status(now, made_after, &"restarted".into(), forgetful);
    let (digest, _) = aggregator.digests(now, &domain_hub("a"), status(4));
    assert_eq!(digest.retired_by_all, (3, 4));
    assert_eq!(digest.entries_age_ms, Some(300));
    assert_eq!(digest.merged.retired_below, (5, 6));
    let names: Vec<Name> = ["a", "b", "c"].map(Name::from).into();
    let mut entries = digest.entries.clone();
    entries.sort_unstable();
    let mut expected: Vec<u32> = names.iter().map(|n| name_hash(n)).collect();
    expected.sort_unstable();
    assert_eq!(entries, expected);

    // An entry frees only what the digest covers for a majority of the entries in the platform store.
    let freed_for = |listed: &[Name]| {
        let mut retirement = RetirementTracker::default();
        retirement.recall(Duration::ZERO, 0);
        let mut freed = RetiredVersions::default();
        retirement.retire(RetiredVersions {
            all_below: 5,
            half_below: 6,
        });
        for ms in (0..7_000).step_by(150) {
            let now = Duration::from_millis(ms);
            let retired = RetiredVersions {
                all_below: digest.retired_by_all.0,
                half_below: digest.retired_by_all.1,
            };
            for entry in &digest.entries {
                retirement.record_report(now, *entry, retired);
            }
            freed = retirement.freeable(now, listed);
        }
        freed
    };
    assert_eq!(freed_for(&names).all_below, 3);
    let silent = ["d", "e", "f", "g"].map(Name::from);
    let more: Vec<Name> = names.iter().cloned().chain(silent).collect();
    assert_eq!(freed_for(&more), RetiredVersions::default());
}

/// Guards against a hub that passes on an old report as if it were new.
#[test]
fn digest_ages_reports_until_they_do_not_count() {
    let digest = GatewayDigest {
        entries: vec![1, 2],
        entries_age_ms: Some(900),
        ..GatewayDigest::default()
    };
    let after = |ms| digest.clone().aged_by(Some(Duration::from_millis(ms)));
    assert_eq!(after(400).entries_age_ms, Some(1_300));
    assert_eq!(after(400).entries, [1, 2]);
    assert!(after(2_200).entries.is_empty(), "older than a lease");
    assert!(digest.clone().aged_by(None).entries.is_empty());
    let of_earlier_build = GatewayDigest {
        entries_age_ms: None,
        ..digest
    };
    let aged = of_earlier_build.aged_by(Some(Duration::ZERO));
    assert!(aged.entries.is_empty());
}

#[test]
fn hub_aggregator_omits_expired_statuses() {
    let mut aggregator = HubAggregator::default();
    let status = GatewayStatus {
        retired_counts: true,
        ..GatewayStatus::default()
    };
    let at = Duration::ZERO;
    aggregator.record_status(at, Some(at), &"b".into(), status.clone());
    let (digest, _) = aggregator.digests(Duration::from_secs(2), &domain_hub("a"), status);
    assert_eq!(digest.entries, [name_hash("a")]);
}

/// A hub passes on what entries know of declared versions: the largest ages, older by the time for
/// which it kept them, and those without one.
#[test]
fn digest_ages_declarations_that_the_hub_kept() {
    let status = |age, undated: &[(u32, u64)]| GatewayStatus {
        declared_versions: vec![(21, 5, age)],
        undated_versions: undated.to_vec(),
        ..GatewayStatus::default()
    };
    let mut aggregator = HubAggregator::default();
    let own = status(900, &[(21, 4)]);
    aggregator.record_status(
        Duration::ZERO,
        None,
        &"b".into(),
        status(800, &[(21, 4), (21, 3)]),
    );
    let after = Duration::from_millis(300);
    let (domain, all) = aggregator.digests(after, &domain_hub("a"), own);
    for digest in [domain, all] {
        assert_eq!(digest.merged.declared_versions, [(21, 5, 1_100)]);
        assert_eq!(digest.merged.undated_versions, [(21, 4), (21, 3)]);
    }
}

/// The previous build decodes exactly four revisions: that of the evacuations travels beside them,
/// not at all where there are none, and a status without it is understood.
#[test]
fn status_keeps_four_revisions_on_the_wire() {
    let status = GatewayStatus {
        revisions: [1, 2, 3, 4],
        ..GatewayStatus::default()
    };
    let plain = serde_json::to_value(&status).unwrap();
    assert_eq!(plain["r"], serde_json::json!([1, 2, 3, 4]));
    assert!(plain.get("e").is_none());
    let read: GatewayStatus = serde_json::from_value(plain).unwrap();
    assert_eq!(read.all_revisions(), [1, 2, 3, 4, 0]);
    let status = GatewayStatus {
        evacuations_revision: 5,
        ..status
    };
    let extended = serde_json::to_value(&status).unwrap();
    assert_eq!(extended["r"], serde_json::json!([1, 2, 3, 4]));
    let read: GatewayStatus = serde_json::from_value(extended).unwrap();
    assert_eq!(read.all_revisions(), [1, 2, 3, 4, 5]);
}

/// Guards against an entry that shuts down and takes itself for the hub, so that nobody hears of it.
#[test]
fn hub_selector_takes_an_entry_that_drains_last() {
    let draining = |n| HubCandidate {
        draining: true,
        ..peer(n)
    };
    let mut selector = HubSelector::default();
    let best = peer(3 * DOMAINS);
    let other = peer(0);
    let selected = selector.select(Duration::ZERO, &best, std::slice::from_ref(&other));
    assert_eq!(selected, None, "the best one is the hub");
    let selected = selector.select(Duration::ZERO, &draining(3 * DOMAINS), &[other]);
    assert_eq!(selected, Some(peer(0).name), "until it drains");
    let alone = selector.select(Duration::ZERO, &draining(3 * DOMAINS), &[]);
    assert_eq!(alone, None, "with nobody else");
    let far = [draining(1), peer(1 + DOMAINS), draining(2)];
    let mut hubs = HubSelector::other_domain_hubs(&peer(0), &far, &[]);
    hubs.sort_unstable();
    assert_eq!(hubs, [draining(2).name, peer(1 + DOMAINS).name]);
}

/// What a store told up to the change `next`: changes, or its full contents.
fn store_update(from: u64, next: u64) -> RelayedStoreUpdate {
    RelayedStoreUpdate {
        store: ([172, 20, 0, 1], 8_080).into(),
        epoch: 7,
        from,
        next,
        changes: vec![("1".into(), format!("p-{next}").into(), 700)],
        clock_ms: None,
        full_requested: false,
        store_unreachable: false,
    }
}

/// Guards against a digest that holds the full contents of a store several times.
#[test]
fn hub_aggregator_queues_full_contents_of_a_store_once() {
    let mut aggregator = HubAggregator::default();
    let restarted = RelayedStoreUpdate {
        epoch: 9,
        ..store_update(0, 3)
    };
    let of_another_store = RelayedStoreUpdate {
        store: ([172, 20, 0, 2], 8_080).into(),
        ..store_update(0, 4)
    };
    let unreachable = RelayedStoreUpdate {
        store_unreachable: true,
        ..store_update(0, 0)
    };
    let queued = [
        store_update(2, 5),
        restarted.clone(),
        of_another_store.clone(),
        unreachable.clone(),
        store_update(0, 5),
        store_update(5, 9),
        store_update(0, 8),
        store_update(0, 8),
        store_update(9, 10),
    ];
    for update in queued {
        aggregator.queue_for_all(update.clone());
    }
    let expected = [
        restarted,
        of_another_store,
        unreachable,
        store_update(5, 9),
        store_update(0, 8),
        store_update(9, 10),
    ];
    let own = GatewayStatus::default();
    let (domain, all) = aggregator.digests(Duration::ZERO, &domain_hub("a"), own);
    for digest in [domain, all] {
        assert_eq!(digest.store_updates, expected);
    }
}
