//! Bounds on what callers hold, without a network: single decisions, and random crowds whose every
//! event is checked against a model.

#[path = "intake/checked_intake.rs"]
mod checked_intake;
#[path = "intake/crowd.rs"]
mod crowd;
#[path = "intake/crowds.rs"]
mod crowds;
#[path = "intake/timing.rs"]
mod timing;

use checked_intake::{CheckedIntake, Stage};
use guavahold::intake::{
    CONNECTION_BYTES, ConnectionId, Evicted, Intake, IntakeLimits, MAX_RETRY_AFTER, MAX_WAIT,
    MIN_IDLE_TIME, Opened, PROGRESS_BYTES, Reservation, SMALL_BYTES, STALL_TIME,
};
use guavahold::prelude::*;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;
/// Largest legal body.
const LARGEST_BODY: usize = 4 * MIB;

const LIMITS: IntakeLimits = IntakeLimits {
    bytes: 8 * MIB,
    connections: 64,
};

fn ms(n: u64) -> Timestamp {
    Timestamp::from_millis(n)
}

fn open(checked: &mut CheckedIntake, now: Timestamp) -> ConnectionId {
    let Opened::Admitted(id) = checked.open(now) else {
        panic!("a connection is not admitted");
    };
    id
}

/// Opens a connection whose request holds these bytes.
fn holder(checked: &mut CheckedIntake, now: Timestamp, bytes: usize) -> ConnectionId {
    let id = open(checked, now);
    assert_eq!(checked.reserve(now, id, bytes), Reservation::Granted);
    id
}

/// Large requests that hold all that large ones may.
fn large_crowd(checked: &mut CheckedIntake, now: Timestamp) -> Vec<ConnectionId> {
    let holders = (0..7).map(|_| holder(checked, now, MIB));
    holders.collect()
}

fn evicted(reservation: Reservation) -> Vec<ConnectionId> {
    let Reservation::Wait { evicted, .. } = reservation else {
        panic!("{reservation:?}");
    };
    evicted.into_vec()
}

#[test]
fn for_machine_bounds_parts_of_its_memory_and_descriptors() {
    let limits = IntakeLimits::for_machine(110_000_000, 4_100);
    assert_eq!(limits.bytes, 44_000_000);
    assert_eq!(limits.connections, 110_000_000 / 10 / CONNECTION_BYTES);
    let few_descriptors = IntakeLimits::for_machine(1_000_000_000, 1_000);
    assert_eq!(few_descriptors.connections, (800 - 100) / 3 * 2);
}

#[test]
fn for_machine_tiny_keeps_minimums() {
    let limits = IntakeLimits::for_machine(0, 0);
    assert_eq!((limits.bytes, limits.connections), (MIB, 32));
    assert!(limits.small_reserve() >= SMALL_BYTES);
}

/// Guards against bounds that a single legal request meets, also while its buffer doubles.
#[test]
fn reserve_largest_body_in_calm_is_granted_on_smallest_machine() {
    let mut checked = CheckedIntake::new(IntakeLimits::for_machine(88_000_000, 1_024));
    let id = open(&mut checked, ms(0));
    for bytes in [8 * KIB, LARGEST_BODY, 3 * LARGEST_BODY, LARGEST_BODY] {
        assert_eq!(checked.reserve(ms(1), id, bytes), Reservation::Granted);
    }
    checked.close_all();
}

#[test]
fn open_full_evicts_longest_idle() {
    let mut checked = CheckedIntake::new(LIMITS);
    let ids: Vec<ConnectionId> = (0..60).map(|n| open(&mut checked, ms(n))).collect();
    let granted = checked.reserve(ms(60), ids[0], KIB);
    assert_eq!(granted, Reservation::Granted);
    assert!(checked.complete(ids[0]));
    assert_eq!(checked.open(ms(61)), Opened::Refused, "all are in use");
    let opened = checked.open(ms(1) + MIN_IDLE_TIME);
    assert!(
        matches!(opened, Opened::AdmittedInPlaceOf { evicted, .. } if evicted == ids[1]),
        "{opened:?}"
    );
    assert!(!checked.complete(ids[1]), "it must close");
    checked.close_all();
}

/// Guards against more descriptors than the bound while evicted connections close.
#[test]
fn open_full_refuses_while_evicted_are_still_open() {
    let mut checked = CheckedIntake::new(LIMITS);
    let mut closing = Vec::new();
    for _ in 0..60 {
        open(&mut checked, ms(0));
    }
    let now = ms(1_000);
    while let Opened::AdmittedInPlaceOf { evicted, .. } = checked.open(now) {
        closing.push(evicted);
    }
    assert_eq!(closing.len(), 4);
    assert_eq!(checked.intake.connections(), 64);
    checked.close(closing[0]);
    let opened = checked.open(now);
    assert!(matches!(opened, Opened::AdmittedInPlaceOf { .. }));
}

/// Guards against a grant of bytes that an evicted request has not freed yet.
#[test]
fn reserve_full_waits_until_evicted_have_freed_their_buffers() {
    let mut checked = CheckedIntake::new(LIMITS);
    let crowd = large_crowd(&mut checked, ms(0));
    let now = ms(0) + STALL_TIME;
    let id = open(&mut checked, now);
    assert_eq!(evicted(checked.reserve(now, id, 2 * MIB)), crowd[..2]);
    assert!(evicted(checked.reserve(now, id, 2 * MIB)).is_empty());
    checked.close(crowd[0]);
    assert!(checked.intake.ready_waiters(now).is_empty());
    // It frees its buffers before it closes.
    let freed = checked.reserve(now, crowd[1], 0);
    assert_eq!(freed, Reservation::Granted);
    assert_eq!(checked.intake.ready_waiters(now)[..], [id]);
    assert_eq!(checked.reserve(now, id, 2 * MIB), Reservation::Granted);
    let again = checked.reserve(now, crowd[1], KIB);
    assert_eq!(again, Reservation::Evicted);
    checked.close_all();
}

/// Guards against the eviction of a request that moves or is being served.
#[test]
fn reserve_full_spares_moving_and_complete_requests() {
    let mut checked = CheckedIntake::new(LIMITS);
    let crowd = large_crowd(&mut checked, ms(0));
    for id in &crowd[..5] {
        assert!(checked.complete(*id));
    }
    checked.progress(ms(200), crowd[5], PROGRESS_BYTES);
    let now = ms(300);
    let id = open(&mut checked, now);
    assert_eq!(evicted(checked.reserve(now, id, 2 * MIB)), [crowd[6]]);
    let Reservation::Wait { ask_again, .. } = checked.reserve(now, id, 2 * MIB) else {
        panic!("there is no room yet");
    };
    assert_eq!(now + ask_again, ms(200) + STALL_TIME);
    assert_eq!(
        evicted(checked.reserve(now + ask_again, id, 2 * MIB)),
        [crowd[5]]
    );
}

/// Guards against callers that keep their memory by a byte now and then.
#[test]
fn progress_of_single_bytes_does_not_count() {
    let mut checked = CheckedIntake::new(LIMITS);
    let crowd = large_crowd(&mut checked, ms(0));
    for n in 1..5 {
        checked.progress(ms(n * 100), crowd[0], 1);
        checked.progress(ms(n * 100), crowd[1], PROGRESS_BYTES / 2);
    }
    let id = open(&mut checked, ms(450));
    let asked = checked.reserve(ms(450), id, 2 * MIB);
    assert_eq!(evicted(asked), [crowd[0], crowd[2]]);
}

/// Guards against a crowd of large requests that leaves no room to ordinary ones, even while it
/// moves.
#[test]
fn reserve_small_is_granted_beside_a_moving_large_crowd() {
    let mut checked = CheckedIntake::new(LIMITS);
    large_crowd(&mut checked, ms(0));
    for _ in 0..16 {
        holder(&mut checked, ms(1), SMALL_BYTES);
    }
    let id = open(&mut checked, ms(1));
    let large = checked.reserve(ms(1), id, SMALL_BYTES + 1);
    assert!(evicted(large).is_empty());
}

/// Guards against small stalled requests that leave no room to other small ones.
#[test]
fn reserve_small_evicts_stalled_small_requests() {
    let mut checked = CheckedIntake::new(LIMITS);
    let crowd: Vec<ConnectionId> = (0..50)
        .map(|_| holder(&mut checked, ms(0), SMALL_BYTES))
        .collect();
    for _ in 0..5 {
        holder(&mut checked, ms(100), 998 * KIB);
    }
    let now = ms(300);
    let id = open(&mut checked, now);
    assert_eq!(evicted(checked.reserve(now, id, SMALL_BYTES)), [crowd[0]]);
    checked.close(crowd[0]);
    let granted = checked.reserve(now, id, SMALL_BYTES);
    assert_eq!(granted, Reservation::Granted);
}

/// Guards against requests that grow step by step and wait for each other half way.
#[test]
fn reserve_growing_requests_do_not_deadlock() {
    let mut checked = CheckedIntake::new(LIMITS);
    let crowd = large_crowd(&mut checked, ms(0));
    let mut served = 0;
    let mut now = ms(0);
    while checked.intake.connections() > served {
        now += ms(10);
        for id in &crowd {
            let stage = checked.model.get(id).map(|connection| connection.stage);
            if stage != Some(Stage::Receiving) {
                continue;
            }
            match checked.reserve(now, *id, 2 * MIB) {
                Reservation::Granted => {
                    assert!(checked.complete(*id));
                    checked.release(now, *id);
                    served += 1;
                }
                Reservation::Wait { evicted, .. } => {
                    evicted.into_iter().for_each(|other| checked.close(other));
                }
                other => panic!("{other:?}"),
            }
        }
        assert!(now < MAX_WAIT, "{served} served, the others wait");
    }
    assert!(served >= 3, "{served} of 7 are served");
}

/// Guards against later requests that overtake one that waits.
#[test]
fn reserve_waiters_are_served_in_order() {
    let mut checked = CheckedIntake::new(LIMITS);
    let crowd = large_crowd(&mut checked, ms(0));
    let ids: Vec<ConnectionId> = (0..3).map(|_| open(&mut checked, ms(1))).collect();
    for id in &ids {
        assert!(evicted(checked.reserve(ms(1), *id, 2 * MIB)).is_empty());
    }
    for done in &crowd[..2] {
        assert!(checked.complete(*done));
        checked.release(ms(2), *done);
    }
    let newcomer = open(&mut checked, ms(2));
    for later in [ids[1], ids[2], newcomer] {
        assert!(evicted(checked.reserve(ms(2), later, MIB)).is_empty());
    }
    assert_eq!(checked.intake.ready_waiters(ms(2))[..], [ids[0]]);
    let granted = checked.reserve(ms(2), ids[0], 2 * MIB);
    assert_eq!(granted, Reservation::Granted);
    checked.close_all();
}

#[test]
fn reserve_more_than_the_bound_is_refused_at_once() {
    let mut checked = CheckedIntake::new(LIMITS);
    let id = open(&mut checked, ms(0));
    let refused = Reservation::Refused {
        retry_after: MAX_RETRY_AFTER,
    };
    for bytes in [LIMITS.large_bytes() + 1, usize::MAX] {
        assert_eq!(checked.reserve(ms(0), id, bytes), refused);
    }
    assert_eq!(checked.intake.counters().refusals(), 2);
}

/// Guards against requests that wait for as long as others are being served.
#[test]
fn reserve_is_refused_after_a_wait() {
    let mut checked = CheckedIntake::new(LIMITS);
    for id in large_crowd(&mut checked, ms(0)) {
        assert!(checked.complete(id));
    }
    let id = open(&mut checked, ms(0));
    let mut now = ms(0);
    while let Reservation::Wait { ask_again, .. } = checked.reserve(now, id, MIB) {
        now += ask_again;
    }
    assert_eq!(now, MAX_WAIT);
    assert_eq!(checked.intake.waiters(), 0);
    assert_eq!(checked.intake.counters().refusals(), 1);
}

/// Guards against more waiting requests, whose bytes lie in the buffers of their sockets, than could
/// be served soon.
#[test]
fn reserve_is_refused_at_once_behind_a_long_queue() {
    let mut checked = CheckedIntake::new(LIMITS);
    large_crowd(&mut checked, ms(0));
    for _ in 0..7 {
        let id = open(&mut checked, ms(0));
        assert!(evicted(checked.reserve(ms(0), id, MIB)).is_empty());
    }
    let id = open(&mut checked, ms(0));
    let reservation = checked.reserve(ms(0), id, MIB);
    assert!(matches!(reservation, Reservation::Refused { .. }));
    assert_eq!(checked.intake.waiters(), 7);
}

/// Guards against a wait that stays behind when its connection needs less, ends or closes.
#[test]
fn reserve_less_ends_a_wait() {
    let mut checked = CheckedIntake::new(LIMITS);
    large_crowd(&mut checked, ms(0));
    let ids = [(); 3].map(|()| holder(&mut checked, ms(0), KIB));
    for id in ids {
        assert!(evicted(checked.reserve(ms(0), id, MIB)).is_empty());
    }
    assert_eq!(checked.reserve(ms(1), ids[0], 100), Reservation::Granted);
    checked.release(ms(1), ids[1]);
    checked.close(ids[2]);
    checked.close_all();
}

/// Guards against a request that is served although its caller is told that it was not.
#[test]
fn complete_of_an_evicted_request_is_an_error() {
    let mut intake = Intake::new(LIMITS);
    let Opened::Admitted(first) = intake.open(ms(0)) else {
        panic!("not admitted");
    };
    intake.reserve(ms(0), first, 7 * MIB);
    let Opened::Admitted(second) = intake.open(ms(0)) else {
        panic!("not admitted");
    };
    assert_eq!(evicted(intake.reserve(STALL_TIME, second, MIB)), [first]);
    assert_eq!(intake.complete(first), Err(Evicted));
    assert_eq!(intake.counters().evictions(), 1);
    intake.close(first);
    assert_eq!(intake.complete(first), Err(Evicted));
    assert_eq!(intake.reserve(STALL_TIME, first, 1), Reservation::Evicted);
    assert_eq!(
        intake.reserve(STALL_TIME, second, MIB),
        Reservation::Granted
    );
}
