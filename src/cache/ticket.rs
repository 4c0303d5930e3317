//! Tickets that let an engine read or write one block at a store.

use std::fmt;
use std::str::FromStr;

use crate::cache::{BlockKey, Secret};
use crate::prelude::*;

/// What a ticket allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Read a block.
    Read,
    /// Write a block.
    Write,
    /// Ask which blocks of a prefix are held; the key is the prefix's root.
    Probe,
    /// Free a block.
    Free,
}

impl Operation {
    const ALL: [Self; 4] = [Self::Read, Self::Write, Self::Probe, Self::Free];

    fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Probe => "probe",
            Self::Free => "free",
        }
    }
}

/// Why a ticket was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketError {
    /// The text is not a ticket.
    Malformed,
    /// The authentication code does not fit operation, customer, block and expiry.
    Forged,
    /// The ticket has expired.
    Expired,
}

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "malformed ticket",
            Self::Forged => "ticket does not fit",
            Self::Expired => "ticket expired",
        })
    }
}

impl std::error::Error for TicketError {}

/// Permission for one operation of one customer on one block, until an expiry.
///
/// Its text is `operation:customer:expiry:code`; the code is a keyed BLAKE3 hash that also covers
/// the block key, which the ticket's bearer names itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// What is allowed.
    pub operation: Operation,
    /// Customer that owns the block.
    pub customer: Name,
    /// Expiry in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    code: blake3::Hash,
}

impl Ticket {
    /// Issues a ticket for `key`.
    #[must_use]
    pub fn issue(
        secret: &Secret,
        operation: Operation,
        customer: &Name,
        key: &BlockKey,
        expires_ms: u64,
    ) -> Self {
        Self {
            operation,
            customer: customer.clone(),
            expires_ms,
            code: code(secret, operation, customer, key, expires_ms),
        }
    }

    /// Checks that the ticket allows `operation` on `key` at `now_ms`.
    ///
    /// # Errors
    /// [`TicketError::Forged`] or [`TicketError::Expired`].
    pub fn check(
        &self,
        secret: &Secret,
        operation: Operation,
        key: &BlockKey,
        now_ms: u64,
    ) -> Result<(), TicketError> {
        let expected = code(secret, operation, &self.customer, key, self.expires_ms);
        if self.operation != operation || expected != self.code {
            return Err(TicketError::Forged);
        }
        if now_ms >= self.expires_ms {
            return Err(TicketError::Expired);
        }
        Ok(())
    }
}

fn code(
    secret: &Secret,
    operation: Operation,
    customer: &str,
    key: &BlockKey,
    expires_ms: u64,
) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(secret.tickets());
    for part in [operation.as_str(), customer] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(key.as_bytes());
    hasher.update(&expires_ms.to_le_bytes());
    hasher.finalize()
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let operation = self.operation.as_str();
        let code = self.code.to_hex();
        write!(
            f,
            "{operation}:{}:{}:{code}",
            self.customer, self.expires_ms
        )
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let mut parts = text.split(':');
        let mut next = || parts.next().ok_or(TicketError::Malformed);
        let (operation, customer, expires, code) = (next()?, next()?, next()?, next()?);
        let operation = Operation::ALL.into_iter().find(|o| o.as_str() == operation);
        Ok(Self {
            operation: operation.ok_or(TicketError::Malformed)?,
            customer: customer.into(),
            expires_ms: expires.parse().map_err(|_| TicketError::Malformed)?,
            code: blake3::Hash::from_hex(code).map_err(|_| TicketError::Malformed)?,
        })
    }
}
