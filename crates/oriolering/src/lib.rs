//! Components of a load balancer with one node (sidecar) next to each backend server.
//!
//! Every component is a plain struct without sockets, threads or an async runtime. The caller
//! passes the current time as [`Millis`] and a random number generator, so each component can be
//! embedded in any server and tested without waiting.
//!
//! # Examples
//!
//! ```
//! use oriolering::{Clock, Millis};
//!
//! let clock = Clock::manual(Millis(10));
//! clock.advance(5);
//! assert_eq!(clock.now(), Millis(15));
//! ```

mod adaptive;
mod attempt_result;
mod attempt_status;
mod call_counts;
mod call_table;
mod caller_limits;
mod choice;
mod clock;
mod concurrency_limit;
mod control_budget;
mod cross_zone;
mod document;
mod evacuations;
mod explain;
mod fair_queue;
mod fan_out;
mod fleet_budget;
mod gate;
mod gate_load;
mod header;
mod header_names;
mod health;
mod hedge;
mod keys;
mod latency;
mod load_hint;
mod measurement_budget;
mod member;
mod member_list;
mod offer;
mod outcome;
mod panic_rule;
mod pause_detector;
mod placement;
mod policy;
mod quarantine;
mod quarantine_table;
mod rate;
mod rate_limiter;
mod reader;
mod repeat_budgets;
mod retry;
mod retry_after;
mod revision;
mod route;
mod route_estimates;
mod route_kind;
mod route_table;
mod scheduler;
mod second_run;
mod section;
mod sequence_states;
mod server;
mod server_entry;
mod server_list;
mod server_load;
mod server_record;
mod server_update;
mod service_stats;
mod session_table;
mod shutdown;
mod slack_share;
mod slots;
mod splitter;
mod store_position;
mod subset;
mod text_delta;
mod tracked_server;
mod warm_up;

#[cfg(feature = "config")]
pub mod config;

pub use attempt_result::AttemptResult;
pub use attempt_status::AttemptStatus;
pub use call_counts::{CallCounts, PeakCalls, ServiceCalls};
pub use call_table::Ticket;
pub use caller_limits::CallerLimits;
pub use choice::Chooser;
pub use clock::{Clock, Millis};
pub use concurrency_limit::ConcurrencyLimit;
pub use control_budget::{ControlBudget, ControlWork, TokenBucket};
pub use cross_zone::CrossZoneCost;
pub use document::{Assembly, Document, DocumentError, DocumentStore};
pub use evacuations::ZoneUpdate;
pub use explain::{Explanation, ServerClass};
pub use fair_queue::{FairQueue, PushResult};
pub use fan_out::{FAN_OUT_MAX, FanOut};
pub use fleet_budget::{BudgetUsage, FleetBudget};
pub use gate::Gate;
pub use gate_load::GateLoad;
pub use header::{
    ACK, ATTEMPT, CALL_ID, CRASHES, CUSTOMER, DEADLINE, FINGERPRINT, GRANT, LOAD, OUTCOME, REASON,
    RETRY_AFTER_MS, SERVICE, STEP,
};
pub use header_names::HeaderNames;
pub use hedge::Hedge;
pub use keys::{CallId, Grant, Incarnation, ServerKey, ServiceKey, ZoneKey};
pub use latency::Latency;
pub use load_hint::LoadHint;
pub use measurement_budget::{Charge, MeasurementBudget, MeasurementBudgetSettings};
pub use member::Member;
pub use member_list::{MEMBERS_MAX, MemberList, MemberUpdate, UPDATE_AGE_MAX_MS};
pub use offer::{Decision, Finish, GateEvent, GateSettings, Offer};
pub use outcome::{Cause, Outcome, Refusal};
pub use pause_detector::{PauseDetector, SETTLE_MS, TICK_MAX_MS};
pub use placement::{Placement, RequestCost, ServerEstimate, choose_server, choose_unreported};
pub use policy::{ChoiceSettings, Policy};
pub use quarantine::{Crash, Quarantine, QuarantineEntry, QuarantineSettings, Verdict};
pub use quarantine_table::{QUARANTINE_MAX_MS, QUARANTINES_MAX, QuarantineTable};
pub use rate::Rate;
pub use rate_limiter::RateLimiter;
pub use reader::{ReadLimiter, is_reader};
pub use repeat_budgets::{RepeatBound, RepeatBudgets};
pub use retry::{Failure, RetryBudget, RetryDecision, RetryState, decide_retry};
pub use retry_after::{jittered_retry_after_ms, retry_after_ms};
pub use revision::{Head, IgnoredCounts, PublishedValue, RevisionOrder};
pub use route::{Route, WeightedService};
pub use route_estimates::RouteEstimates;
pub use route_kind::RouteKind;
pub use route_table::{RouteSet, RouteTable, RoutedService};
pub use scheduler::{Admission, Job, JobKey, RefusalReason, Scheduler, SchedulerEvent};
pub use second_run::{RunEstimate, should_start_second_run};
pub use section::{
    Digest, SECTION_MAX_BYTES, SECTION_MIN_BYTES, SECTIONS_MAX, Section, VALUE_MAX_BYTES, compress,
    decompress, decompress_section, split_sections,
};
pub use server_list::{ServerList, StoreReturn};
pub use server_load::ServerLoad;
pub use server_record::{ServerRecord, ServerState};
pub use server_update::{KeptRecord, ListUpdate, ServerUpdate};
pub use session_table::SessionTable;
pub use shutdown::Shutdown;
pub use slack_share::SlackShare;
pub use splitter::TrafficSplitter;
pub use store_position::StorePosition;
pub use text_delta::{DeltaError, DeltaSection, SectionedText, TextDelta};
pub use tracked_server::Candidate;
pub use warm_up::{LimitStart, SlowStart, WarmUp};
