//! Time of a decision.

use std::hint::black_box;
use std::time::Instant;

use guavahold::intake::{Intake, IntakeLimits, Opened};
use guavahold::prelude::*;

use crate::{KIB, ms};

/// Prints the time of one small request beside a thousand other connections.
#[test]
#[ignore = "a measurement, for release builds"]
fn intake_time_of_a_calm_request() {
    let mut intake = Intake::new(IntakeLimits::for_machine(256_000_000, 4_096));
    let mut ids = Vec::new();
    for n in 0..1_000 {
        let Opened::Admitted(id) = intake.open(ms(n)) else {
            panic!("not admitted");
        };
        ids.push(id);
    }
    let rounds = 1_000_000_u32;
    let start = Instant::now();
    for n in 0..rounds {
        let id = ids[n as usize % ids.len()];
        let now = Duration::from_micros(2_000_000 + u64::from(n) * 50);
        black_box(intake.reserve(now, id, 8 * KIB));
        intake.progress(now, id, 3 * KIB);
        black_box(intake.complete(id)).unwrap();
        intake.release(now, id);
        black_box(intake.ready_waiters(now));
    }
    println!("{:?} a request", start.elapsed() / rounds);
}
