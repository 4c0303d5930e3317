//! Requests that take down the targets that run them.

use guavahold::catalog::Class;
use guavahold::decide::{DeskSettings, Refusal};

use crate::world::{World, arrival, key, ms, policy};

fn world(seed: u64) -> World {
    let mut cfg = DeskSettings::new("domain-0".into());
    cfg.seed = seed;
    let mut world = World::new(cfg, World::fleet(4, 3, 4));
    let quick = policy(Class::Interactive, 2_000);
    world.stream(seed, 60.0, (ms(0), ms(20_000)), |id| {
        arrival(id, "a", &quick)
    });
    world
}

#[test]
fn crashing_request_takes_down_two_targets() {
    for seed in 0..20 {
        let mut world = world(seed);
        let killer = key(1);
        world.killers.push(killer);
        let quick = policy(Class::Interactive, 2_000);
        for n in 0..40 {
            let mut req = arrival(0, "b", &quick);
            req.fingerprint = killer;
            req.affinity = key(2);
            let id = world.arrive_at(ms(1_000 + 150 * n), req.clone());
            // Sent twice at the same time, too.
            world.arrive_at(ms(1_000 + 150 * n), req);
            assert!(id.0 > 0);
        }
        world.run_until(ms(40_000));
        println!("seed {seed}: killed {:?}", world.killed);
        assert!(world.killed.len() <= 2, "seed {seed}: {:?}", world.killed);
        assert!(!world.killed.is_empty());
        let others = world
            .records
            .values()
            .filter(|r| &*r.arrival.customer == "a");
        let refused = others.filter(|r| matches!(r.refusal(), Some(Refusal::Quarantined { .. })));
        assert_eq!(
            refused.count(),
            0,
            "seed {seed}: a bystander was quarantined"
        );
    }
}

#[test]
fn killed_targets_accuse_nobody() {
    for seed in 0..20 {
        let mut world = world(seed);
        world.run_until(ms(2_000));
        world.cut("domain-1", true);
        world.run_until(ms(4_000));
        world.kill("engine-2-0");
        world.run_until(ms(40_000));
        let refused = world.records.values();
        let refused = refused.filter(|r| matches!(r.refusal(), Some(Refusal::Quarantined { .. })));
        assert_eq!(refused.count(), 0, "seed {seed}");
    }
}
