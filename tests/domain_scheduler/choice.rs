//! Choice of the failure domain.

use guavahold::domain_scheduler::DomainChoice;

use crate::capacity;

/// The load of one prompt's callers: they share a domain until it is clearly fuller than the next.
#[test]
fn choose_keeps_prompt_in_one_domain_until_it_is_full() {
    let domains = ["a", "b", "c"];
    let choice = |requests: [u32; 3]| {
        let domains = domains.iter().zip(requests);
        DomainChoice::new(domains.map(|(domain, n)| capacity(domain, 100, n)))
    };
    let idle = choice([0; 3]);
    for key in 0..200_u64 {
        let key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let home = idle.choose(key, |_| true).unwrap();
        let at = domains.iter().position(|d| **d == *home).unwrap();
        let mut requests = [10; 3];
        requests[at] = 30;
        assert_eq!(choice(requests).choose(key, |_| true), Some(home.clone()));
        requests[at] = 90;
        assert_ne!(choice(requests).choose(key, |_| true), Some(home));
    }
}

#[test]
fn choose_divides_prompts_by_slots() {
    let choice = DomainChoice::new([
        capacity("small", 100, 0),
        capacity("large", 300, 0),
        capacity("dark", 0, 0),
    ]);
    let keys = (0..4_000_u64).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let chosen = keys.filter_map(|key| choice.choose(key, |_| true));
    let large = chosen.filter(|domain| **domain == *"large").count();
    assert!((2_800..3_200).contains(&large), "{large} of 4000");
    assert_eq!(choice.choose(1, |_| false), None);
}
