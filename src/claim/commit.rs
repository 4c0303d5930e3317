//! Commits the queued operations of a shard in batches, each with one conditional write.

use std::panic::AssertUnwindSafe;

use async_io::Timer;
use futures_lite::FutureExt;

use crate::claim::cached_object::CachedObject;
use crate::claim::counters::count;
use crate::claim::inner::Inner;
use crate::claim::queue::QueuedOp;
use crate::claim::shard_writer::{CommitResult, ResultSender, ShardWriter};
use crate::claim::{ClaimError, ClaimOp, ClaimVerdict, OpResult, TimeBucket};
use crate::clock::unix_ms;
use crate::platform::PlatformError;
use crate::prelude::*;

/// Longest time that a claim waits in the queue before its write starts.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(3);
/// Attempts to commit one batch while writes conflict or the cached object is outdated.
const MAX_COMMIT_ATTEMPTS: u32 = 8;
/// Upper bound of the random pause after a conflicting write.
const MAX_CONFLICT_PAUSE: Duration = Duration::from_millis(20);

impl Inner {
    /// Commits an operation through this entry's own shard writer.
    pub(crate) async fn submit(self: &Arc<Self>, op: ClaimOp) -> CommitResult {
        let Some(bucket) = TimeBucket::of(op.key(), self.shards()) else {
            return CommitResult::Done(OpResult::Verdict(ClaimVerdict::OutOfWindow));
        };
        let (reply, rx) = async_channel::bounded(1);
        if let Err(err) = self.enqueue(bucket, op, reply) {
            return CommitResult::NotWritten(err);
        }
        rx.recv().await.unwrap_or(CommitResult::Unresolved)
    }

    /// Queues an operation and starts the shard's writer task if none is running.
    fn enqueue(
        self: &Arc<Self>,
        bucket: TimeBucket,
        op: ClaimOp,
        reply: ResultSender,
    ) -> Result<(), ClaimError> {
        let now = self.now();
        let admitted = self.breaker().check(now);
        admitted.map_err(|retry_after| ClaimError::PlatformDown { retry_after })?;
        let mut queue = self.shard_writers[bucket.shard as usize].queue();
        let wait = queue.ops.expected_wait(now);
        if wait > MAX_QUEUE_WAIT {
            return Err(ClaimError::PlatformDown { retry_after: wait });
        }
        if !queue.ops.has_room() {
            let retry_after = Duration::from_secs(1).max(wait);
            return Err(ClaimError::Overloaded { retry_after });
        }
        queue.ops.push(QueuedOp {
            queued_at: now,
            bucket,
            op,
            reply,
        });
        if !std::mem::replace(&mut queue.committing, true) {
            let this = self.clone();
            let writer = async move { this.run_writer(bucket.shard).await };
            self.executor.spawn(writer).detach();
        }
        Ok(())
    }

    /// Commits batches until the shard's queue is empty.
    async fn run_writer(&self, shard: u32) {
        let writer = &self.shard_writers[shard as usize];
        loop {
            let pause = writer.queue().ops.time_until_next_write(self.now());
            if !pause.is_zero() {
                Timer::after(pause).await;
            }
            let batch = {
                let mut queue = writer.queue();
                let batch = queue.ops.take_batch(self.now());
                if batch.is_empty() {
                    queue.committing = false;
                    return;
                }
                queue.ops.record_write_start(self.now());
                batch
            };
            // A panic leaves the claims of its batch unresolved; others wait for this writer.
            let commit = AssertUnwindSafe(self.commit_batch(writer, batch));
            if commit.catch_unwind().await.is_err() {
                log::error!("event=claim_commit_panicked shard={shard}");
            }
            writer.queue().ops.record_write_end(self.now());
        }
    }

    /// Commits one batch and sends the results; claims that waited too long are rejected unwritten.
    async fn commit_batch(&self, writer: &ShardWriter, batch: Vec<QueuedOp<ResultSender>>) {
        let now = self.now();
        let (expired, batch): (Vec<_>, Vec<_>) = batch.into_iter().partition(|queued| {
            let is_claim = matches!(queued.op, ClaimOp::Claim { .. });
            is_claim && now.saturating_sub(queued.queued_at) > MAX_QUEUE_WAIT
        });
        for queued in expired {
            let retry_after = MAX_QUEUE_WAIT;
            let err = ClaimError::PlatformDown { retry_after };
            let _ = queued.reply.try_send(CommitResult::NotWritten(err));
        }
        let Some(bucket) = batch.first().map(|q| q.bucket) else {
            return;
        };
        let (ops, replies): (Vec<_>, Vec<_>) = batch.into_iter().map(|q| (q.op, q.reply)).unzip();
        let results = match self.commit(writer, bucket, &ops).await {
            Ok(results) => {
                count(&self.counters.ops, results.len());
                results.into_iter().map(CommitResult::Done).collect()
            }
            Err(failure) => vec![failure; replies.len()],
        };
        for (reply, result) in replies.into_iter().zip(results) {
            let _ = reply.try_send(result);
        }
    }

    /// Commits a batch of operations on one time bucket.
    ///
    /// A write without an answer may have taken effect, so the object is read back and the batch
    /// applied again; operations that took effect then change nothing.
    async fn commit(
        &self,
        writer: &ShardWriter,
        bucket: TimeBucket,
        ops: &[ClaimOp],
    ) -> Result<Vec<OpResult>, CommitResult> {
        let started_at = self.now();
        let mut write_unanswered = false;
        let live: Vec<Name> = self.links.live().into_iter().map(|p| p.name).collect();
        for attempt in 0..MAX_COMMIT_ATTEMPTS {
            let mut cached = match self.cached_or_read(writer, bucket, attempt).await {
                Ok(cached) => cached,
                Err(failure) => {
                    return Err(if write_unanswered {
                        self.unresolved()
                    } else {
                        failure
                    });
                }
            };
            let exists = cached.version.is_some();
            let holder_status = |claimant: &str| self.holder_status(claimant, &live);
            let state = &mut cached.state;
            let batch_result = state.apply(unix_ms(), bucket, ops, holder_status);
            if !batch_result.changed {
                let is_fresh = cached.confirmed_at.is_some_and(|at| at >= started_at);
                if is_fresh || !needs_fresh_object(&batch_result.results) {
                    return Ok(batch_result.results);
                }
                writer.cache().remove(&bucket);
                continue;
            }
            writer.cache().remove(&bucket);
            if !write_unanswered && let Err(retry_after) = self.breaker().admit(self.now()) {
                let err = ClaimError::PlatformDown { retry_after };
                return Err(CommitResult::NotWritten(err));
            }
            match self.write(bucket, cached).await {
                Ok(written) => {
                    writer.cache_object(bucket, written);
                    if !exists && !bucket.may_grant_created(unix_ms()) {
                        return Err(self.unresolved());
                    }
                    return Ok(batch_result.results);
                }
                Err(PlatformError::Conflict | PlatformError::NotFound) => {
                    Timer::after(MAX_CONFLICT_PAUSE.mul_f64(fastrand::f64())).await;
                }
                Err(err) if err.may_have_written() => write_unanswered = true,
                Err(_) if write_unanswered => return Err(self.unresolved()),
                Err(_) => return Err(self.not_written()),
            }
        }
        Err(if write_unanswered {
            self.unresolved()
        } else {
            self.not_written()
        })
    }

    /// Returns the object to apply a batch to: the cached one, or one assumed absent on the first
    /// attempt when the span of its bucket has just begun, or the one read from the platform.
    async fn cached_or_read(
        &self,
        writer: &ShardWriter,
        bucket: TimeBucket,
        attempt: u32,
    ) -> Result<CachedObject, CommitResult> {
        if let Some(cached) = writer.cache().get(&bucket) {
            return Ok(cached.clone());
        }
        if attempt == 0 && bucket.has_just_started(unix_ms()) {
            return Ok(CachedObject::absent(None));
        }
        if attempt == 0
            && let Err(retry_after) = self.breaker().admit(self.now())
        {
            let err = ClaimError::PlatformDown { retry_after };
            return Err(CommitResult::NotWritten(err));
        }
        let read = self.read(bucket).await.map_err(|_| self.not_written())?;
        if read.version.is_some() {
            writer.cache_object(bucket, read.clone());
        }
        Ok(read)
    }

    fn not_written(&self) -> CommitResult {
        let wait = self.breaker().check(self.now()).err();
        CommitResult::NotWritten(ClaimError::PlatformDown {
            retry_after: wait.unwrap_or(Duration::from_secs(1)),
        })
    }

    fn unresolved(&self) -> CommitResult {
        count(&self.counters.unresolved, 1);
        CommitResult::Unresolved
    }
}

/// Whether results that changed nothing have to be confirmed on a freshly read object: on an
/// outdated copy a settled claim may look in progress, or a claim to settle may be missing.
fn needs_fresh_object(results: &[OpResult]) -> bool {
    let in_progress = OpResult::Verdict(ClaimVerdict::InProgress);
    results
        .iter()
        .any(|r| *r == in_progress || *r == OpResult::ClaimEnded)
}
