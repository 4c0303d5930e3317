//! Claims that make a non-idempotent request run at most once.

mod request;

use futures_lite::future::Boxed;

pub use request::{Claim, ClaimError, ClaimKey, ClaimOutcome, ClaimRequest, ClaimVerdict};

/// The table of claims, kept in the platform.
pub trait Claims: Send + Sync {
    /// Commits a claim before its request is dispatched.
    fn claim(&self, req: ClaimRequest) -> Boxed<Result<ClaimVerdict, ClaimError>>;
    /// Records what became of a dispatched claim; retried until it is stored or too old to matter.
    fn settle(&self, claim: Claim, outcome: ClaimOutcome) -> Boxed<()>;
    /// Gives up a claim whose request was never handed to a target, so that its key may be used
    /// again; retried until it is stored or too old to matter.
    fn release(&self, claim: Claim) -> Boxed<()>;
    /// Claims of this entry not yet settled or released in the platform.
    fn pending(&self) -> usize;
}
