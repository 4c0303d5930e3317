//! What an entry knows of the platform store's objects, and how it knows it: a state machine without
//! input or output.
//!
//! The store itself answers listings and watches. While it does not, peers that it answers hand on
//! their objects. In a large system the hub of a failure domain also confirms to its entries that
//! nothing has changed, so that they need not renew their watches to find out whether they work.

mod change_times;
mod kind_freshness;
mod kind_view;
mod object_cache;
mod open_watch;
mod store_outage;

pub use change_times::{
    CATCH_UP_INTERVAL, ChangeTimes, HUB_CHECK_INTERVAL, MAX_BACKOFF, OBJECT_REQUEST_DELAY,
    OBJECT_REQUEST_INTERVAL, PROPAGATION_TIME, back_off_time, batch_pause, listing_back_off_time,
};
pub use kind_freshness::{ConfirmedBy, KindFreshness};
pub use kind_view::KindView;
pub use object_cache::{ObjectCache, PeerObject};
pub use open_watch::{OpenWatch, Replacement, WatchVerdict};
pub use store_outage::StoreOutage;
