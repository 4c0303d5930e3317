//! What responses say about limits.

use crate::prelude::*;
use crate::rate_limit::RequestRate;

/// What the head of a response says about the target's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NamedLimit {
    /// It names none.
    #[default]
    None,
    /// It names this one.
    Rate(RequestRate),
    /// It names one that cannot be read, or two that differ.
    Unreadable,
}

impl NamedLimit {
    /// What two mentions in one head say together.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        if self == Self::None || self == other {
            other
        } else {
            Self::Unreadable
        }
    }
}

/// An observation of a target's limit: the response was generated at some time between the sending
/// of its request and its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitObservation {
    /// The limit; `None` when the target named none.
    pub rate: Option<RequestRate>,
    /// When the request was sent.
    pub sent: Timestamp,
    /// When the head of the response arrived.
    pub received: Timestamp,
}

impl LimitObservation {
    /// Whether this observation allows less than another one.
    #[must_use]
    pub fn is_stricter_than(&self, other: &Self) -> bool {
        match (self.rate, other.rate) {
            (Some(own), Some(other)) => own < other,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// Whether another observation takes the place of this one: if it is stricter unless it is
    /// certainly older, if it is looser only if it is certainly newer.
    #[must_use]
    pub fn is_replaced_by(&self, new: &Self) -> bool {
        if new.is_stricter_than(self) {
            !self.is_after(new)
        } else {
            new.is_after(self)
        }
    }

    /// Whether the response was certainly generated after that of another observation.
    #[must_use]
    pub fn is_after(&self, other: &Self) -> bool {
        self.sent >= other.received
    }
}
