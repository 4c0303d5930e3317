//! Grants of transfers and predictions of fetches.

use std::time::Duration;

use guavahold::cache::{BlockKey, Held, Operation, Secret, Ticket, TicketError, grant};
use guavahold::prelude::Name;

#[test]
fn grant_fits_its_block_operation_and_time() {
    let secret = Secret::new(b"a secret of at least thirty-two bytes");
    let keys = [1, 2].map(|n| BlockKey::from_bytes([n; 32]));
    let store = "127.0.0.1:8070".parse().unwrap();
    let customer = Name::from("barbers");
    let import = grant(&secret, Operation::Read, store, &customer, 3, &keys, 1000);
    assert_eq!((import.first, import.blocks.len()), (3, 2));
    let ticket: Ticket = import.blocks[1].ticket.parse().unwrap();
    assert_eq!(ticket.customer, customer);
    let check = |operation, key, now| ticket.check(&secret, operation, key, now);
    assert_eq!(check(Operation::Read, &keys[1], 999), Ok(()));
    assert_eq!(
        check(Operation::Read, &keys[0], 999),
        Err(TicketError::Forged)
    );
    assert_eq!(
        check(Operation::Write, &keys[1], 999),
        Err(TicketError::Forged)
    );
    assert_eq!(
        check(Operation::Read, &keys[1], 1000),
        Err(TicketError::Expired)
    );
}

#[test]
fn held_predicts_queue_and_transfer() {
    let held = Held {
        blocks: 4,
        queue_bytes: 500_000,
        link_bytes_per_second: 1_000_000,
        block_bytes: 250_000,
    };
    assert_eq!(held.fetch_time(2), Duration::from_secs(1));
    assert_eq!(Held::default().fetch_time(1), Duration::ZERO);
}
