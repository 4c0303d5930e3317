//! One message of each kind, and of each step and decision of the domain schedulers.

use guavahold::catalog::{Catalog, ReleaseNote};
use guavahold::claim::{Claim, ClaimError, ClaimKey, ClaimOutcome, ClaimRequest, ClaimVerdict};
use guavahold::domain_scheduler::{
    CallStep, Decision, DomainHub, Grant, RemoteArrival, SchedulerCall, SchedulerReply,
};
use guavahold::gateway::TargetLoad;
use guavahold::http::RunState;
use guavahold::part_quarantine::PartNotice;
use guavahold::peer::{
    GatewayDigest, GatewayStatus, LoadUpdate, PeerMessage, RelayFailure, RelayedStoreUpdate,
};
use guavahold::platform::Vm;
use guavahold::prelude::*;
use guavahold::rate_limit::{LimitReport, RequestRate};
use guavahold::scheduler::{Arrival, AttemptOutcome, Refusal};
use guavahold::store_view::PeerObject;
use guavahold::stream_origin::{StreamKey, StreamOrigin};
use guavahold::target::LoadReport;
use serde_json::json;

/// Samples with the names of their files. Values that later builds add stay at their defaults.
pub fn samples() -> Vec<(&'static str, PeerMessage)> {
    [
        links(),
        catalog(),
        targets(),
        schedulers(),
        objects(),
        claims(),
    ]
    .concat()
}

fn links() -> Vec<(&'static str, PeerMessage)> {
    let (name, proof): (Name, Name) = ("entry-a1".into(), "5c1e07a2".into());
    let hello = PeerMessage::Hello {
        protocol: 1,
        name: name.clone(),
        domain: "a".into(),
        boot: 7,
        proof: proof.clone(),
    };
    let relay_open = PeerMessage::RelayOpen {
        protocol: 1,
        name,
        boot: 7,
        proof,
        target: "t-1".into(),
    };
    let heartbeat = PeerMessage::Heartbeat {
        revision: 76_000,
        since_ms: 1_500,
        draining: true,
        watching: true,
    };
    vec![
        ("hello", hello),
        ("relay-open", relay_open),
        ("relay-opened", PeerMessage::RelayOpened),
        (
            "relay-failed",
            PeerMessage::RelayFailed(RelayFailure::CutOff),
        ),
        ("heartbeat", heartbeat),
    ]
}

fn catalog() -> Vec<(&'static str, PeerMessage)> {
    let note = ReleaseNote {
        against: 3,
        id: "n-1".into(),
        by: "night shift".into(),
        at_ms: 1_796_330_000_000,
        ..ReleaseNote::default()
    };
    let vm: Vm = serde_json::from_value(json!({
        "name": "entry-a1", "role": "entry", "domain": "a", "address": "10.0.0.1:8081",
        "power": 250
    }))
    .unwrap();
    vec![
        ("notes", PeerMessage::Notes(vec![note])),
        ("want-catalog", PeerMessage::WantCatalog),
        (
            "whole-catalog",
            PeerMessage::WholeCatalog(Arc::new(Catalog::default())),
        ),
        ("want-vms", PeerMessage::WantVms),
        ("vms", PeerMessage::Vms(vec![vm])),
    ]
}

fn targets() -> Vec<(&'static str, PeerMessage)> {
    let quarantine = PeerMessage::Quarantine {
        seq: 9,
        fingerprint: "abcd".into(),
        victims: vec!["t-1".into()],
        answering_victims: Vec::new(),
        ttl_ms: 30_000,
    };
    let signal = PeerMessage::TargetSignal {
        target: "t-1".into(),
        leaving: true,
    };
    let load = LoadUpdate {
        target: "t-1".into(),
        running: 3,
        queued: 2,
        queued_tokens: 4_000,
        full_report: Some(LoadReport {
            slots: 8,
            weights: vec!["m/3".into()],
            ..LoadReport::default()
        }),
    };
    let victim = PartNotice::Victim {
        parts: vec!["p-1".into()],
        scope: "salon".into(),
        target: "t-1".into(),
        age_ms: 300,
    };
    let sound = PartNotice::Sound {
        parts: vec!["p-2".into()],
        after_victims: true,
    };
    let key = StreamKey::new("salon", "/stream/a", "r-1");
    vec![
        ("quarantine", quarantine),
        ("quarantine-seen", PeerMessage::QuarantineAck { seq: 9 }),
        ("target-signal", signal),
        ("loads", PeerMessage::Loads(vec![load])),
        ("gateway", PeerMessage::Gateway(Box::new(status()))),
        ("digest", PeerMessage::Digest(Box::new(digest()))),
        ("parts-victim", PeerMessage::PromptParts(victim)),
        ("parts-sound", PeerMessage::PromptParts(sound)),
        ("want-prompt-parts", PeerMessage::WantPromptParts),
        ("stream-origins", PeerMessage::StreamOrigins(vec![origin()])),
        (
            "want-stream-origins",
            PeerMessage::WantStreamOrigins(vec![key]),
        ),
    ]
}

fn origin() -> StreamOrigin {
    StreamOrigin {
        key: StreamKey::new("salon", "/stream/a", "r-1"),
        software: "v7".into(),
    }
}

/// Fields that later builds add stay at their defaults.
#[allow(clippy::needless_update)]
pub fn status() -> GatewayStatus {
    GatewayStatus {
        revisions: [11, 12, 13, u64::MAX],
        loads: vec![(17, TargetLoad::from_tokens(3, 9_000, 12_000))],
        cordoned_targets: vec![18],
        unreachable_targets: vec![19],
        retired_below: (2, 3),
        target_versions: vec![(17, 4)],
        declared_versions: vec![(21, 5, 800)],
        limits: vec![LimitReport {
            target: 22,
            rate: Some(RequestRate::from_thousandths(2_500)),
            sent_ms: 40,
            received_ms: 30,
            since_ms: 900,
        }],
        cut_off_entries: vec![23],
        stream_origins: vec![origin()],
        ..GatewayStatus::default()
    }
}

pub fn digest() -> GatewayDigest {
    GatewayDigest {
        hubs: vec![DomainHub {
            domain: "a".into(),
            entry: "entry-a1".into(),
            queued: 6,
        }],
        store_updates: vec![store_update()],
        entries: vec![24],
        retired_by_all: status().retired_below,
        merged: status(),
        ..GatewayDigest::default()
    }
}

fn store_update() -> RelayedStoreUpdate {
    RelayedStoreUpdate {
        store: "10.0.0.9:8080".parse().unwrap(),
        epoch: 7,
        from: 3,
        next: 5,
        changes: vec![("1".into(), "p-1".into(), 1_000)],
        clock_ms: Some(1_796_330_000_000),
        full_requested: true,
        store_unreachable: true,
    }
}

pub fn remote_arrival() -> RemoteArrival {
    let key = "ab".repeat(32);
    let arrival: Arrival = serde_json::from_value(json!({
        "id": 5, "customer": "salon", "serves": "llm", "weights": ["m/3", "m/2"],
        "policy": {"class": "interactive", "first_token_ms": 900, "total_ms": 9_000,
            "idempotent": true, "retention_s": 600, "loads_at_once": 2},
        "fingerprint": key, "affinity": key, "tokens": 4_000, "shared_tokens": 3_000,
        "kept_tokens": [2_000, 0], "kept_domain": "a", "output_tokens": 300, "attempts": 3,
        "resumable": true, "software": "v7"
    }))
    .unwrap();
    RemoteArrival {
        objective_ms: 400,
        ..RemoteArrival::from(&arrival)
    }
}

pub fn grant() -> Grant {
    Grant {
        attempt: 2,
        target: "t-1".into(),
        address: "10.0.0.5:9000".parse().unwrap(),
        weights: "m/3".into(),
        neighbour: Some("10.0.0.6:9000".parse().unwrap()),
        software: "v7".into(),
        within_limit: true,
        within_warm_up: false,
        load: (9_000, 3),
    }
}

fn schedulers() -> Vec<(&'static str, PeerMessage)> {
    let call = |step| PeerMessage::SchedulerCall(SchedulerCall { id: 5, step });
    let reply = |decision| PeerMessage::SchedulerReply(SchedulerReply { id: 5, decision });
    let ended = |outcome| call(CallStep::Ended(1, outcome));
    let refused = |refusal| reply(Decision::Refuse(refusal));
    let retry_after = Duration::from_millis(1_250);
    let run = RunState::Unknown;
    let pause = Some(retry_after);
    vec![
        (
            "call-arrive",
            call(CallStep::Arrive(Box::new(remote_arrival()))),
        ),
        ("call-first-token", call(CallStep::FirstToken(1))),
        ("call-left", call(CallStep::Left)),
        ("ended-done", ended(AttemptOutcome::Done)),
        ("ended-not-sent", ended(AttemptOutcome::NotSent)),
        ("ended-withheld", ended(AttemptOutcome::Withheld)),
        (
            "ended-refused",
            ended(AttemptOutcome::Refused { retry_after: pause }),
        ),
        ("ended-wrong-weights", ended(AttemptOutcome::WrongWeights)),
        ("ended-lost", ended(AttemptOutcome::Lost)),
        ("ended-path-lost", ended(AttemptOutcome::PathLost)),
        ("ended-cut-short", ended(AttemptOutcome::CutShort)),
        ("ended-faulty", ended(AttemptOutcome::TargetError)),
        ("ended-cancelled", ended(AttemptOutcome::Cancelled)),
        ("reply-queued", reply(Decision::Queued)),
        (
            "reply-dispatch",
            reply(Decision::Dispatch(Box::new(grant()))),
        ),
        ("reply-cancel", reply(Decision::Cancel(2))),
        ("reply-declined", reply(Decision::Declined)),
        (
            "refused-overloaded",
            refused(Refusal::Overloaded { retry_after }),
        ),
        (
            "refused-late",
            refused(Refusal::DeadlineUnreachable { retry_after }),
        ),
        (
            "refused-no-target",
            refused(Refusal::NoTarget { retry_after }),
        ),
        (
            "refused-quarantined",
            refused(Refusal::Quarantined { retry_after, run }),
        ),
        (
            "refused-failed",
            refused(Refusal::Failed { run, retry_after }),
        ),
        (
            "refused-draining",
            refused(Refusal::Draining { retry_after }),
        ),
    ]
}

fn objects() -> Vec<(&'static str, PeerMessage)> {
    let object = PeerObject {
        name: "t-1".into(),
        spec: "{\"zone\":\"a\"}".into(),
    };
    let objects = PeerMessage::Objects {
        kind: 2,
        revision: u64::MAX - 1,
        objects: vec![object],
    };
    vec![
        ("store-update", PeerMessage::StoreUpdate(store_update())),
        ("want-objects", PeerMessage::WantObjects { kind: 2 }),
        ("objects", objects),
    ]
}

fn claims() -> Vec<(&'static str, PeerMessage)> {
    let key = ClaimKey {
        customer: "salon".into(),
        key: uuid::Uuid::nil(),
    };
    let claim = Claim {
        key: key.clone(),
        claimant: "entry-a1/5".into(),
        retention: Duration::from_mins(1),
    };
    let req = ClaimRequest {
        key,
        digest: "5c1e07a2".into(),
        retention: Duration::from_mins(1),
        total_timeout: Duration::from_secs(9),
    };
    let outcome = ClaimOutcome::Answered {
        status: 201,
        content_type: "text/plain".into(),
        body: Some("booked".into()),
    };
    let request = PeerMessage::Claim {
        seq: 4,
        claimant: "entry-a1/5".into(),
        req,
    };
    let reply = |result| PeerMessage::ClaimReply { seq: 4, result };
    let retry_after = Duration::from_millis(700);
    let end = PeerMessage::EndClaim {
        seq: 6,
        claim: claim.clone(),
        outcome: Some(outcome.clone()),
    };
    vec![
        ("claim", request),
        ("claim-granted", reply(Ok(ClaimVerdict::Granted(claim)))),
        ("claim-settled", reply(Ok(ClaimVerdict::Settled(outcome)))),
        ("claim-in-progress", reply(Ok(ClaimVerdict::InProgress))),
        ("claim-mismatch", reply(Ok(ClaimVerdict::Mismatch))),
        ("claim-out-of-window", reply(Ok(ClaimVerdict::OutOfWindow))),
        (
            "claim-failed",
            reply(Err(ClaimError::PlatformDown { retry_after })),
        ),
        ("end-claim", end),
        ("claim-ended", PeerMessage::ClaimEnded { seq: 6 }),
    ]
}
