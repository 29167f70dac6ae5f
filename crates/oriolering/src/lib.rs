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
mod allowance;
mod attempt;
mod budget;
mod call_counts;
mod caller_limits;
mod calls;
mod choice;
mod clock;
mod come_back;
mod control_budget;
mod crossing;
mod document;
mod explain;
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
mod ledger;
mod limit;
mod load;
mod member;
mod member_list;
mod offer;
mod outcome;
mod panic_rule;
mod pause;
mod placement;
mod policy;
mod pool;
mod quarantine;
mod queue;
mod rate;
mod reader;
mod repeat_budgets;
mod retry;
mod revision;
mod room;
mod route;
mod route_table;
mod second_run;
mod section;
mod server;
mod server_list;
mod server_load;
mod server_record;
mod slack_share;
mod slots;
mod split;
mod spread;
mod standing;
mod states;
mod stop;
mod subset;
mod text_delta;
mod typical;
mod work;

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
pub use come_back::{come_back_ms, spread_back_ms};
pub use control_budget::{Bucket, ControlBudget, Work};
pub use crossing::Crossing;
pub use document::{Assembly, Document, DocumentError, DocumentStore};
pub use explain::{Explanation, ServerClass};
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
pub use ledger::Ledger;
pub use limit::Limit;
pub use load::LoadHint;
pub use member::Member;
pub use member_list::{MEMBERS_MAX, MemberList, MemberUpdate, UPDATE_AGE_MAX_MS};
pub use offer::{Decision, Finish, GateEvent, GateSettings, Offer};
pub use outcome::{Cause, Outcome, Refusal};
pub use pause::{Pause, SETTLE_MS, TICK_MAX_MS};
pub use placement::{Load, Place, Site, choose_place};
pub use policy::{ChoiceSettings, Policy};
pub use pool::Candidate;
pub use quarantine::{Crash, Quarantine, QuarantineEntry, QuarantineSettings, Verdict};
pub use queue::{Push, Queue};
pub use rate::Rate;
pub use reader::{ReadLimiter, is_reader};
pub use repeat_budgets::{RepeatBound, RepeatBudgets};
pub use retry::{AttemptState, Failure, RetryBudget, Step, next_step};
pub use revision::{Head, IgnoredCounts, PublishedValue, RevisionOrder};
pub use room::{Entry, Job, JobKey, NoRoom, Room, Turn};
pub use route::{Route, WeightedService};
pub use route_table::{RouteSet, RouteTable, RoutedService};
pub use second_run::{Run, wants_second_run};
pub use section::{
    Digest, SECTION_MAX_BYTES, SECTION_MIN_BYTES, SECTIONS_MAX, Section, VALUE_MAX_BYTES, compress,
    decompress, decompress_section, split_sections,
};
pub use server_list::{ServerList, ServerUpdate};
pub use server_load::ServerLoad;
pub use server_record::{ServerRecord, ServerState};
pub use slack_share::SlackShare;
pub use split::Splitter;
pub use spread::{QUARANTINE_MAX_MS, QUARANTINES_MAX, Spread};
pub use stop::Stop;
pub use text_delta::{DeltaError, DeltaSection, SectionedText, TextDelta};
pub use work::WorkTimes;
