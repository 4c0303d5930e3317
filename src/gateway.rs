//! Reverse proxy that relays requests of any route to targets of its service.
//!
//! [`Dialect`] implements the wire formats of callers and targets, and [`crate::scheduler`]
//! decides on admission, placement and retries.

mod absent_entries;
mod admitted_request;
mod allowed_versions;
mod arrival;
mod attempt;
mod attempt_error;
mod body;
mod brittle_targets;
mod builder;
mod caller_response;
mod caller_room;
mod connection_pool;
mod contained_decoder;
mod control;
mod decoder;
mod dialect;
mod drain;
mod evacuations;
mod events;
mod fetch_clock;
mod gossip_times;
mod hub_aggregator;
mod hub_selector;
mod kind_watcher;
mod listener;
mod loads;
mod outcome;
mod peer_handler;
mod probe;
mod prompt_quarantine;
mod refusal;
mod registration;
mod relay_server;
mod relays;
mod request_driver;
mod request_head;
mod request_log;
mod request_reader;
mod response_buffers;
mod response_conduct;
mod response_head;
mod response_meaning;
mod response_reader;
mod run_record;
mod running;
mod serve;
mod shared;
mod stream_origins;
mod target_connection;
mod target_dialer;
mod target_history;
mod target_limits;
mod target_paths;
mod target_stream;
mod target_table;
mod unlisted_entries;
mod unreadable_names;
mod versions;

pub use absent_entries::AbsentEntries;
pub use body::BodyReader;
pub use brittle_targets::BrittleTargets;
pub use builder::{GatewayBuilder, GatewayListeners};
pub use control::{TargetControl, TargetStatus};
pub use decoder::{DeclaredWeights, Decoder, RegisteredTarget, WatchedKind};
pub use dialect::{
    Dialect, Dispatch, LocalResponse, RequestHeadError, ResponseInfo, RunReport, TargetPresence,
};
pub use evacuations::{EvacuationChange, Evacuations};
pub use events::{EventSplitter, RawEvent};
pub use fetch_clock::FetchClock;
pub use gossip_times::{
    HUB_INTERVAL, HUB_TIMEOUT, INTERVAL_JITTER, ROUND_TRIP_INTERVAL, STATUS_INTERVAL,
};
pub use hub_aggregator::HubAggregator;
pub use hub_selector::{HubCandidate, HubSelector};
pub use loads::{LoadTable, TargetLoad};
pub use relays::{RelayCandidate, RelayCandidates, RelayPeer};
pub use request_head::{Prompt, PromptPart, RequestHead};
pub use request_log::DEFAULT_LOG_SAMPLE;
pub use response_conduct::ResponseConduct;
pub use response_meaning::{ConnectionHistory, ExpectedResponse, ResponseMeaning};
pub use run_record::{Ending, EndingOutcome, ResponseState, RunRecord};
pub use running::Gateway;
pub use target_table::{TargetRecord, TargetTable};
pub use unlisted_entries::UnlistedEntries;
pub use unreadable_names::UnreadableNames;
pub use versions::{VersionCutoff, WeightVersions};
