//! Cache blocks: their keys, tickets and transfers.

pub(crate) mod client;
mod grant;
mod held;
mod key;
mod secret;
mod ticket;

pub use client::{StoreClient, StoreError};
pub use grant::grant;
pub use held::{Held, HeldRequest};
pub use key::{BlockKey, PrefixKeys, TOKENS_PER_BLOCK, token_estimate};
pub use secret::Secret;
pub use ticket::{Operation, Ticket, TicketError};
