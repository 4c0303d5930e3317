//! At-most-once execution of non-idempotent requests.
//!
//! A claim is the committed right to run a request once. Each attempt to obtain it has its own
//! claimant name, and at most one claimant holds it. Claims are stored in platform objects, one for
//! each shard and time bucket. Entries update an object only if its version is unchanged.

mod bucket_state;
mod cached_object;
mod circuit_breaker;
mod claimant;
mod commit;
mod commit_path;
mod counters;
mod delivery;
mod garbage_collection;
mod inner;
mod op;
mod owner;
mod queue;
mod record;
mod request;
mod shard_writer;
mod table;
mod time_bucket;

use futures_lite::future::Boxed;

pub use bucket_state::{BatchResult, BucketState};
pub use circuit_breaker::CircuitBreaker;
pub use counters::ClaimCounts;
pub use op::{ClaimOp, HolderStatus, OpResult};
pub use owner::rank_owners;
pub use queue::{OpQueue, QueuedOp};
pub use record::{ClaimRecord, RecordState};
pub use request::{Claim, ClaimError, ClaimKey, ClaimOutcome, ClaimRequest, ClaimVerdict};
pub use table::ClaimTable;
pub use time_bucket::{TimeBucket, shard_of};

/// Interface of the claim table to request handlers.
pub trait Claims: Send + Sync {
    /// Commits a claim. The request may be dispatched only when the claim is granted.
    fn claim(&self, req: ClaimRequest) -> Boxed<Result<ClaimVerdict, ClaimError>>;
    /// Whether the request's total timeout, counted from before the claim was committed, has not
    /// yet passed. Call it right before the first byte is sent to the target, because the process
    /// may have been paused since the grant. When `false`, release the claim.
    fn may_dispatch(&self, claim: &Claim) -> bool;
    /// Records the outcome of a dispatched request; retries until it is stored or the claim's
    /// object has expired.
    fn settle(&self, claim: Claim, outcome: ClaimOutcome) -> Boxed<()>;
    /// Releases a claim whose request was never sent to a target, so that its key can be claimed
    /// again; retries until the release is stored or the claim's object has expired.
    fn release(&self, claim: Claim) -> Boxed<()>;
    /// Number of this entry's claimants that may hold a claim in the platform which is neither
    /// settled nor released.
    fn pending(&self) -> usize;
}
