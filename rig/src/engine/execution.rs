//! Simulated execution of a run: queueing, prefill and decoding.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use guavahold::prefix_keys::TOKENS_PER_BLOCK;
use serde_json::{Value, json};

use crate::Engine;
use crate::engine::job::{Job, TokenUsage};
use crate::engine::{Run, response_words};

/// Prompt tokens computed for one run before another run gets a turn.
const PREFILL_CHUNK_TOKENS: u32 = 512;
/// Time for which the events of an ended run can still be read.
const ENDED_RUN_RETENTION: Duration = Duration::from_secs(10);

impl Engine {
    /// Starts a run; without a reader it continues for [`EngineSettings::orphan_timeout`].
    ///
    /// [`EngineSettings::orphan_timeout`]: crate::EngineSettings::orphan_timeout
    pub(crate) fn start_run(self: &Arc<Self>, job: Job) -> Arc<Run> {
        let run = Arc::new(Run::new(job.id.clone(), job.weights.clone()));
        self.with_state(|s| {
            s.runs.insert(job.id.clone(), run.clone());
            s.stats.runs += 1;
            *s.stats.by_request.entry(job.id.to_string()).or_default() += 1;
        });
        let (this, task) = (self.clone(), run.clone());
        self.spawn(async move {
            let orphan_timeout = this.cfg.orphan_timeout;
            let execution = async { this.execute(&job, &task).await };
            execution.or(task.wait_orphaned(orphan_timeout)).await;
            task.finish();
            Timer::after(ENDED_RUN_RETENTION).await;
            this.with_state(|s| {
                if s.runs.get(&task.id).is_some_and(|r| Arc::ptr_eq(r, &task)) {
                    s.runs.remove(&task.id);
                }
            });
        });
        run
    }

    async fn execute(self: &Arc<Self>, job: &Job, run: &Arc<Run>) {
        let tokens = u64::from(job.prompt_tokens);
        let queued = QueuedGuard::new(self, tokens);
        let _permit = self.slots.acquire(job.priority).await;
        drop(queued);
        let _running = RunningGuard::new(self);
        let usage = self.prefill(job, run).await;
        if run.is_cancelled() {
            return;
        }
        self.decode(job, run, usage).await;
    }

    /// Computes the prompt tokens that are not in the prefix cache.
    async fn prefill(&self, job: &Job, run: &Run) -> TokenUsage {
        let block_tokens = match job.blocks.block_tokens {
            0 => TOKENS_PER_BLOCK,
            given => given,
        };
        let cached_blocks = self.with_state(|s| s.cache.touch_cached_prefix(&job.blocks.keys));
        let cached = u32::try_from(cached_blocks).unwrap_or(u32::MAX) * block_tokens;
        let usage = TokenUsage {
            prompt: job.prompt_tokens,
            cached: cached.min(job.prompt_tokens),
            completion: job.max_tokens,
        };
        self.compute_tokens(usage.computed(), job.priority, run)
            .await;
        self.with_state(|s| {
            s.stats.prompt_tokens += u64::from(usage.prompt);
            s.stats.computed_tokens += u64::from(usage.computed());
        });
        self.with_state(|s| s.cache.insert(&job.blocks.keys));
        usage
    }

    /// Computes prompt tokens in chunks, interleaved with the chunks of other runs.
    async fn compute_tokens(&self, tokens: u32, priority: u8, run: &Run) {
        let mut remaining = tokens;
        while remaining > 0 && !run.is_cancelled() {
            let _turn = self.prefill_turn.acquire(priority).await;
            let chunk = remaining.min(PREFILL_CHUNK_TOKENS);
            let rate = f64::from(self.cfg.prefill_rate.max(1));
            let time = Duration::from_secs_f64(f64::from(chunk) / rate);
            Timer::after(time.mul_f64(self.faults.slowdown())).await;
            remaining -= chunk;
        }
    }

    async fn decode(&self, job: &Job, run: &Run, usage: TokenUsage) {
        let words = response_words(&job.weights, &job.prompt, job.max_tokens);
        let mut due = Instant::now();
        for word in words {
            self.faults.wait_unfrozen().await;
            if run.is_cancelled() {
                return;
            }
            run.push(chunk_event(job, &json!({"content": word}), None, None));
            // After a freeze, tokens continue at the normal rate instead of catching up in a burst.
            due = due.max(
                Instant::now()
                    .checked_sub(self.cfg.token_time)
                    .unwrap_or(due),
            );
            due += self.cfg.token_time.mul_f64(self.faults.slowdown());
            Timer::at(due).await;
        }
        run.push(chunk_event(job, &json!({}), Some("stop"), Some(usage)));
    }
}

fn chunk_event(
    job: &Job,
    delta: &Value,
    finish: Option<&str>,
    usage: Option<TokenUsage>,
) -> String {
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

/// Counts a request and its prompt tokens as queued in the load report until dropped.
struct QueuedGuard<'a>(&'a Engine, u64);

impl<'a> QueuedGuard<'a> {
    fn new(engine: &'a Engine, tokens: u64) -> Self {
        engine.update_load(|load| {
            load.queued += 1;
            load.queued_tokens += tokens;
        });
        Self(engine, tokens)
    }
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        self.0.update_load(|load| {
            load.queued -= 1;
            load.queued_tokens -= self.1;
        });
    }
}

/// Counts a request as running in the load report until dropped.
struct RunningGuard<'a>(&'a Engine);

impl<'a> RunningGuard<'a> {
    fn new(engine: &'a Engine) -> Self {
        engine.update_load(|load| load.running += 1);
        Self(engine)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.update_load(|load| load.running -= 1);
    }
}
