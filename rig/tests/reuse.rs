//! Blocks come from the store when an engine no longer holds what its entry believes.

use guavahold::catalog::TokenHash;
use guavahold::platform::Role;
use guavahold_rig::Fleet;
use guavahold_rig::client::Call;
use guavahold_rig::fleet::{await_ok, await_that, within};
use http_types::Method;
use serde_json::json;

const TOKEN: &str = "token-of-the-test";
const BLOCKS: usize = 3;
const BLOCK_BYTES: usize = 4096;

#[test]
fn import_after_engine_forgot() {
    within(async {
        let fleet = Fleet::start().unwrap();
        let note = json!({
            "revision": 0,
            "added": {
                "customers": {"c": {"share": 1, "tokens": [TokenHash::of(TOKEN).to_string()]}},
                "policies": {"p": {"class": "patient", "first_token_ms": 20_000, "total_ms": 60_000}},
                "models": {"m": {"weights": "w1", "policy": "p"}},
            },
        });
        fleet.put_note(&note.to_string()).await;
        // The engine holds one prompt only, and its events come two late.
        let engine = fleet
            .engine(
                "engine",
                "m",
                "w1",
                &["--cache-blocks", "4", "--block-bytes", "4096"],
            )
            .unwrap();
        fleet
            .list("engine", Role::Engine, "a", engine.address("address"), "m")
            .await;
        let store = fleet.store("store", "a", &json!({})).unwrap();
        fleet
            .list("store", Role::Store, "a", store.address("blocks"), "")
            .await;
        let entry = fleet.entry("entry", "a", &json!({})).unwrap();
        await_ok(entry.address("admin"), "/ready").await;
        let callers = entry.address("callers");
        await_that("the engine in service", async || {
            let call = Call::chat(TOKEN, "m", "ready?", 1, false);
            call.send(callers).await.is_ok_and(|a| a.status == 200)
        })
        .await;
        let mut imported = 0;
        for (n, prompt) in ["a", "b", "c", "a"].into_iter().enumerate() {
            let text = prompt.repeat(BLOCKS * 4096);
            let call = Call::chat(TOKEN, "m", &text, 1, false);
            let answer = call.send(callers).await.unwrap().json();
            let details = &answer["usage"]["prompt_tokens_details"];
            imported = details["imported_tokens"].as_u64().unwrap();
            let exported = (n + 1).min(3) * BLOCKS * BLOCK_BYTES;
            await_that("the export to end", async || {
                let stats = Call::new(Method::Get, "/stats")
                    .send(engine.address("admin"))
                    .await;
                stats.unwrap().json()["export_bytes"].as_u64() >= Some(exported as u64)
            })
            .await;
        }
        assert_eq!(imported, BLOCKS as u64 * 1024);
    });
}
