//! Connects peers to targets that they do not reach themselves.

use std::net::SocketAddr;

use futures_lite::future::Boxed;

use crate::gateway::control::Control;
use crate::gateway::shared::Shared;
use crate::gateway::target_stream::TargetStream;
use crate::peer::{RelayFailure, RelayServer, RelayedTarget};
use crate::prelude::*;
use crate::reachability::{DialResult, Path};
use crate::telemetry::LogValue;

impl RelayServer for Control {
    fn connect(&self, target: Name) -> Boxed<Result<RelayedTarget, RelayFailure>> {
        let shared = self.shared.clone();
        let address = self.target_address(&target);
        let comparison = shared.paths.comparison(&target);
        let comparison = comparison.and_then(|name| Some((self.target_address(&name)?, name)));
        Box::pin(async move {
            let Some(address) = address.filter(|_| !shared.drain.is_draining()) else {
                return Err(RelayFailure::Unavailable);
            };
            if shared.scheduler.is_evacuated(&target) {
                let target = LogValue(&target);
                log::info!("event=relay_refused target={target} reason=evacuated");
                return Err(RelayFailure::Unavailable);
            }
            if shared.paths.path(&target) == Path::Relayed {
                return Err(RelayFailure::CutOff);
            }
            let failed = match shared.dial(&target, address).await {
                Ok(stream) => {
                    // A shutdown waits for what is relayed, as for callers.
                    let open = Box::new(shared.drain.count_connection());
                    return Ok(RelayedTarget { stream, open });
                }
                Err(failed) => failed,
            };
            // This entry may have lost its own links at the same moment.
            if !connects(&shared, comparison).await {
                return Err(RelayFailure::CutOff);
            }
            Err(match failed {
                DialResult::Refused => RelayFailure::Refused,
                DialResult::Connected | DialResult::TimedOut => RelayFailure::TimedOut,
            })
        })
    }
}

impl Control {
    fn target_address(&self, target: &str) -> Option<SocketAddr> {
        self.state().targets.get(target).map(|t| t.info.address)
    }
}

/// Whether a new connection to a target succeeds; it is kept for the next request.
async fn connects(shared: &Shared, target: Option<(SocketAddr, Name)>) -> bool {
    let Some((address, target)) = target else {
        return false;
    };
    let Ok(stream) = shared.dial(&target, address).await else {
        return false;
    };
    let stream = TargetStream::from(stream);
    shared.connections.put(address, stream, None);
    true
}
