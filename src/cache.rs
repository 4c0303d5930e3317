//! Cache blocks: their keys, tickets and transfers.

mod key;
mod secret;
mod ticket;

pub use key::{BlockKey, PrefixKeys, TOKENS_PER_BLOCK, token_estimate};
pub use secret::Secret;
pub use ticket::{Operation, Ticket, TicketError};
