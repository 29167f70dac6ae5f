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
mod attempt;
mod choice;
mod explain;
mod hedge;
mod panic_rule;
mod policy;
mod pool;
mod retry;
mod standing;
mod subset;
mod typical;

pub use attempt::Attempt;
pub use choice::Chooser;
pub use explain::{Class, Explanation};
pub use hedge::Hedge;
pub use policy::{ChoiceSettings, Policy};
pub use pool::Candidate;
pub use retry::{AttemptState, Failure, RetryBudget, Step, next_step};

mod clock;
mod header;
mod keys;
mod load;
mod outcome;

pub use clock::{Clock, Millis};
pub use header::{
    ACK, ATTEMPT, CALL_ID, CUSTOMER, DEADLINE, LOAD, OUTCOME, REASON, RETRY_AFTER_MS, SERVICE,
};
pub use keys::{CallId, Grant, Incarnation, ServerKey, ServiceKey, ZoneKey};
pub use load::LoadHint;
pub use outcome::{Cause, Outcome, Refusal};
