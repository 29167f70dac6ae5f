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

mod clock;
#[cfg(feature = "config")]
pub mod config;
mod header;
mod keys;
mod load;
mod outcome;
mod policy;

pub use clock::{Clock, Millis};
pub use header::{
    ACK, ATTEMPT, CALL_ID, CUSTOMER, DEADLINE, LOAD, OUTCOME, REASON, RETRY_AFTER_MS, SERVICE,
};
pub use keys::{CallId, Grant, Incarnation, ServerKey, ServiceKey, ZoneKey};
pub use load::LoadHint;
pub use outcome::{Cause, Outcome, Refusal};
pub use policy::Policy;
