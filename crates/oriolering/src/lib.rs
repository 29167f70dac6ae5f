//! Coordination parts of a load balancer whose nodes run beside each backend server.
//!
//! Every part is a plain struct without sockets, threads or a runtime. The caller passes the
//! time as [`Millis`] and randomness as a generator, so each part can be embedded in any
//! server and tested without waiting.
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
mod allowance;
mod attempt;
mod budget;
mod call_counts;
mod caller_limits;
mod calls;
mod choice;
mod clock;
mod concurrency_limit;
mod control_budget;
mod crossing;
mod explain;
mod fair_queue;
mod fan_out;
mod fate;
mod fleet_budget;
mod gate;
mod gate_load;
mod header;
mod header_names;
mod hedge;
mod keys;
mod kind;
mod latency;
mod load;
mod member;
mod offer;
mod outcome;
mod panic_rule;
mod pause_detector;
mod placement;
mod policy;
mod pool;
mod quarantine;
mod rate;
mod reader;
mod relay;
mod repeat_budgets;
mod retry;
mod retry_after;
mod revision;
mod roster;
mod route;
mod route_estimates;
mod route_table;
mod scheduler;
mod second_run;
mod section;
mod server;
mod server_list;
mod server_load;
mod server_record;
mod session_table;
mod shutdown;
mod slack_share;
mod slots;
mod split;
mod spread;
mod standing;
mod states;
mod subset;
mod text_delta;
mod typical;

#[cfg(feature = "config")]
pub mod config;

pub use allowance::Allowance;
pub use attempt::Attempt;
pub use budget::{Budget, BudgetSettings, Receipt};
pub use call_counts::{CallCounts, Calls, MostCalls};
pub use caller_limits::CallerLimits;
pub use calls::Ticket;
pub use choice::Chooser;
pub use clock::{Clock, Millis};
pub use concurrency_limit::ConcurrencyLimit;
pub use control_budget::{Bucket, ControlBudget, Work};
pub use crossing::Crossing;
pub use explain::{Class, Explanation};
pub use fair_queue::{FairQueue, PushResult};
pub use fan_out::{FAN_OUT, FanOut};
pub use fate::Fate;
pub use fleet_budget::{FleetBudget, Spending};
pub use gate::Gate;
pub use gate_load::GateLoad;
pub use header::{
    ACK, ATTEMPT, CALL_ID, CRASHES, CUSTOMER, DEADLINE, FINGERPRINT, GRANT, LOAD, OUTCOME, REASON,
    RETRY_AFTER_MS, SERVICE, STEP,
};
pub use header_names::HeaderNames;
pub use hedge::Hedge;
pub use keys::{CallId, Grant, Incarnation, ServerKey, ServiceKey, ZoneKey};
pub use kind::RouteKind;
pub use latency::Latency;
pub use load::LoadHint;
pub use member::Member;
pub use offer::{Decision, Finish, GateEvent, GateSettings, Offer};
pub use outcome::{Cause, Outcome, Refusal};
pub use pause_detector::{PauseDetector, SETTLE_MS, TICK_MAX_MS};
pub use placement::{Load, Place, Site, choose_place};
pub use policy::{ChoiceSettings, Policy};
pub use pool::Candidate;
pub use quarantine::{Crash, Quarantine, QuarantineEntry, QuarantineSettings, Verdict};
pub use rate::Rate;
pub use reader::{ReadLimit, is_reader};
pub use relay::{Assembly, Document, Relay, RelayError};
pub use repeat_budgets::{RepeatBound, RepeatBudgets};
pub use retry::{AttemptState, Failure, RetryBudget, Step, next_step};
pub use retry_after::{jittered_retry_after_ms, retry_after_ms};
pub use revision::{Head, Ignored, Published, Standing};
pub use roster::{MEMBERS_MAX, MemberNote, NOTE_AGE_MAX_MS, Roster};
pub use route::{Route, RoutePart};
pub use route_estimates::RouteEstimates;
pub use route_table::{RouteSet, RouteTable, RoutedService};
pub use scheduler::{Admission, Job, JobKey, RefusalReason, Scheduler, SchedulerEvent};
pub use second_run::{Run, wants_second_run};
pub use section::{
    Digest, SECTION_MAX_BYTES, SECTION_MIN_BYTES, SECTIONS_MAX, Section, VALUE_BYTES, expand, pack,
    split, unpack,
};
pub use server_list::{ServerList, ServerNote};
pub use server_load::ServerLoad;
pub use server_record::{ServerRecord, ServerState};
pub use session_table::SessionTable;
pub use shutdown::Shutdown;
pub use slack_share::SlackShare;
pub use split::Splitter;
pub use spread::{QUARANTINE_MAX_MS, QUARANTINES_MAX, Spread};
pub use text_delta::{DeltaError, DeltaPart, SectionedText, TextDelta};
