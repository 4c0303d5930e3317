//! A store serves, refuses and frees blocks over HTTP.

#[path = "store_support/lib.rs"]
mod store_support;

use std::time::Duration;

use guavahold::cache::{BlockKey, Operation, StoreError};
use http_types::StatusCode;
use store_support::{Bed, customer, key};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn put_is_read_back_whole() {
    let bed = Bed::start(|cfg| cfg);
    let bytes = vec![7; 100_000];
    let customer = customer("barbers");
    assert!(bed.put(&customer, 1, &bytes));
    assert!(!bed.put(&customer, 1, &bytes), "already held");
    assert_eq!(bed.get(&customer, 1).unwrap(), Some(bytes));
}

#[test]
fn held_counts_the_prefix() {
    let bed = Bed::start(|cfg| cfg);
    let customer = customer("barbers");
    bed.put(&customer, 1, &[1; 1000]);
    bed.put(&customer, 2, &[2; 3000]);
    bed.put(&customer, 4, &[4; 1000]);
    let keys: Vec<BlockKey> = (1..=4).map(key).collect();
    let held = bed.block_on(bed.client.held(bed.blocks, &customer, &keys, SECOND));
    let held = held.unwrap();
    assert_eq!((held.blocks, held.block_bytes), (2, 2000));
}

#[test]
fn free_is_final() {
    let bed = Bed::start(|cfg| cfg);
    let customer = customer("barbers");
    bed.put(&customer, 1, &[1; 1000]);
    bed.block_on(bed.client.free(bed.blocks, &customer, &key(1)))
        .unwrap();
    assert_eq!(bed.get(&customer, 1).unwrap(), None);
}

#[test]
fn get_of_another_customers_block_is_refused() {
    let bed = Bed::start(|cfg| cfg);
    bed.put(&customer("barbers"), 1, &[1; 1000]);
    assert_eq!(bed.get(&customer("colourist"), 1).unwrap(), None);
    let ticket = bed
        .client
        .ticket(Operation::Read, &customer("barbers"), &key(2));
    let got = bed.block_on(bed.client.get(bed.blocks, &key(1), &ticket, true));
    assert!(matches!(
        got,
        Err(StoreError::Refused(StatusCode::Forbidden))
    ));
}
