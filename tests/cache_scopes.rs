//! Scopes under which cached context is shared: customers that are isolated, and all others.

use std::collections::BTreeSet;

use guavahold::prelude::Name;
use guavahold::route::{CacheScopes, KeyHolder, scope_version};
use proptest::prelude::*;

fn scopes(isolated: &[&str]) -> CacheScopes {
    CacheScopes::new(isolated.iter().map(|name| Name::from(*name)).collect())
}

/// A customer that was not isolated when its request was accepted.
fn holder(customer: &str) -> KeyHolder {
    KeyHolder {
        customer: customer.into(),
        urgency: None,
        isolated: false,
        allowed_regions: Vec::new(),
    }
}

fn scope(scopes: &CacheScopes, customer: &str) -> Name {
    scopes.scope(Some(&holder(customer)), 3)
}

/// Context is read again whenever a scope changes.
#[test]
fn shared_scope_is_the_weight_version_while_nobody_is_isolated() {
    assert_eq!(&*scope(&scopes(&[]), "a"), "3");
    assert_eq!(&*CacheScopes::default().scope(None, 3), "3");
}

/// Entries on several builds must agree on the scope, or context is read once for each build.
#[test]
fn shared_scope_of_a_set_is_the_same_everywhere() {
    let first = scopes(&["a", "b"]);
    assert_eq!(&*scope(&first, "c"), "3~57a04113bc387223");
    assert_eq!(scope(&first, "c"), scope(&scopes(&["b", "a"]), "d"));
    assert_eq!(scope(&first, "c"), first.scope(None, 3));
    assert_eq!(&*scope(&first, "a"), "3.a");
}

/// Names that run into each other must not make two sets look alike.
#[test]
fn shared_scope_differs_between_sets_of_isolated_customers() {
    let sets: [&[&str]; 7] = [
        &[],
        &["a"],
        &["b"],
        &["a", "b"],
        &["ab"],
        &["a", "b", ""],
        &[""],
    ];
    let shared: BTreeSet<Name> = sets.iter().map(|set| scope(&scopes(set), "x")).collect();
    assert_eq!(shared.len(), sets.len());
}

/// A request that was accepted while its customer was isolated must not leave its context to others.
#[test]
fn request_of_a_customer_isolated_when_accepted_keeps_its_own_scope() {
    let accepted = KeyHolder {
        isolated: true,
        ..holder("a")
    };
    assert_eq!(&*scopes(&[]).scope(Some(&accepted), 3), "3.a");
}

fn name() -> impl Strategy<Value = String> {
    prop_oneof!["[abc]{0,2}", "[.~0-9a-f]{0,18}", ".*"]
}

proptest! {
    /// Stored context is freed by the weight version of its scope, whatever customers are called, and
    /// no name leads from one scope into another.
    #[test]
    fn scopes_name_their_weight_version_and_stay_apart(
        isolated in prop::collection::btree_set(name(), 0..4),
        others in prop::collection::btree_set(name(), 1..4),
        versions in (any::<u64>(), any::<u64>()),
    ) {
        let set: Vec<&str> = isolated.iter().map(String::as_str).collect();
        let scopes = scopes(&set);
        let mut seen = std::collections::BTreeMap::new();
        for version in [versions.0, versions.1] {
            for customer in isolated.union(&others) {
                let scope = scopes.scope(Some(&holder(customer)), version);
                prop_assert_eq!(scope_version(&scope), Some(version));
                let own = isolated.contains(customer).then(|| customer.clone());
                let user = (version, own);
                let known = seen.entry(scope).or_insert_with(|| user.clone());
                prop_assert_eq!(known, &user);
            }
        }
    }
}
