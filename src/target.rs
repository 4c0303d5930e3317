//! Protocols of targets, which are model engines and plain services.

mod order;
mod protocol;
mod report;

pub use order::{Order, OrderRequest, OrderResponse};
pub use protocol::{
    PromptBlocks, REQUEST_ID_HEADER, RUN_STATE_HEADER, STALE_ORDER_STATUS, WEIGHTS_HEADER,
};
pub use report::LoadReport;
