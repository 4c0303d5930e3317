//! Prefill and decoding of a run.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use guavahold::prefix_keys::TOKENS_PER_BLOCK;
use serde_json::{Value, json};

use crate::Engine;
use crate::engine::job::{Job, Usage};
use crate::engine::{Run, answer_words};

/// Prompt tokens computed before another run has its turn.
const PREFILL_CHUNK: u32 = 512;
/// Time for which an ended run can still be read.
const KEEP_ENDED: Duration = Duration::from_secs(10);

impl Engine {
    /// Starts a run that goes on without its connection for a while.
    pub(crate) fn start_run(self: &Arc<Self>, job: Job) -> Arc<Run> {
        let run = Arc::new(Run::new(job.id.clone(), job.weights.clone()));
        self.with(|s| {
            s.runs.insert(job.id.clone(), run.clone());
            s.stats.runs += 1;
            *s.stats.by_request.entry(job.id.to_string()).or_default() += 1;
        });
        let (this, task) = (self.clone(), run.clone());
        self.spawn(async move {
            let orphan_time = this.cfg.orphan_time;
            let work = async { this.work(&job, &task).await };
            work.or(task.orphaned(orphan_time)).await;
            task.finish();
            Timer::after(KEEP_ENDED).await;
            this.with(|s| {
                if s.runs.get(&task.id).is_some_and(|r| Arc::ptr_eq(r, &task)) {
                    s.runs.remove(&task.id);
                }
            });
        });
        run
    }

    async fn work(self: &Arc<Self>, job: &Job, run: &Arc<Run>) {
        let tokens = u64::from(job.prompt_tokens);
        let waiting = Waiting::new(self, tokens);
        let _permit = self.slots.enter(job.priority).await;
        drop(waiting);
        let _running = Running::new(self);
        let usage = self.read_prompt(job, run).await;
        if run.is_cancelled() {
            return;
        }
        self.decode(job, run, usage).await;
    }

    /// Computes what the cache does not hold of the prompt.
    async fn read_prompt(&self, job: &Job, run: &Run) -> Usage {
        let block_tokens = match job.blocks.block_tokens {
            0 => TOKENS_PER_BLOCK,
            given => given,
        };
        let held = self.with(|s| s.cache.hit(&job.blocks.keys));
        let cached = u32::try_from(held).unwrap_or(u32::MAX) * block_tokens;
        let usage = Usage {
            prompt: job.prompt_tokens,
            cached: cached.min(job.prompt_tokens),
            completion: job.max_tokens,
        };
        self.compute(usage.computed(), job.priority, run).await;
        self.with(|s| {
            s.stats.prompt_tokens += u64::from(usage.prompt);
            s.stats.computed_tokens += u64::from(usage.computed());
        });
        self.with(|s| s.cache.insert(&job.blocks.keys));
        usage
    }

    /// Computes prompt tokens in turns with the other runs.
    async fn compute(&self, tokens: u32, priority: u8, run: &Run) {
        let mut left = tokens;
        while left > 0 && !run.is_cancelled() {
            let _turn = self.prefill.enter(priority).await;
            let chunk = left.min(PREFILL_CHUNK);
            let rate = f64::from(self.cfg.prefill_rate.max(1));
            let time = Duration::from_secs_f64(f64::from(chunk) / rate);
            Timer::after(time.mul_f64(self.faults.slow())).await;
            left -= chunk;
        }
    }

    async fn decode(&self, job: &Job, run: &Run, usage: Usage) {
        let words = answer_words(&job.weights, &job.prompt, job.max_tokens);
        let mut due = Instant::now();
        for word in words {
            self.faults.thawed().await;
            if run.is_cancelled() {
                return;
            }
            run.push(chunk(job, &json!({"content": word}), None, None));
            due = due.max(
                Instant::now()
                    .checked_sub(self.cfg.token_time)
                    .unwrap_or(due),
            );
            due += self.cfg.token_time.mul_f64(self.faults.slow());
            Timer::at(due).await;
        }
        run.push(chunk(job, &json!({}), Some("stop"), Some(usage)));
    }
}

fn chunk(job: &Job, delta: &Value, finish: Option<&str>, usage: Option<Usage>) -> String {
    let mut out = json!({
        "id": &*job.id,
        "object": "chat.completion.chunk",
        "model": &*job.weights,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    });
    if let Some(usage) = usage {
        out["usage"] = usage.to_json();
    }
    out.to_string()
}

/// Counts a request as waiting while it lives.
struct Waiting<'a>(&'a Engine, u64);

impl<'a> Waiting<'a> {
    fn new(engine: &'a Engine, tokens: u64) -> Self {
        engine.change_load(|load| {
            load.queued += 1;
            load.queued_tokens += tokens;
        });
        Self(engine, tokens)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.change_load(|load| {
            load.queued -= 1;
            load.queued_tokens -= self.1;
        });
    }
}

/// Counts a request as running while it lives.
struct Running<'a>(&'a Engine);

impl<'a> Running<'a> {
    fn new(engine: &'a Engine) -> Self {
        engine.change_load(|load| load.running += 1);
        Self(engine)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.change_load(|load| load.running -= 1);
    }
}
