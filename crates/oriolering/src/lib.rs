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
mod control_budget;
mod fate;
mod header;
mod keys;
mod load;
mod member;
mod outcome;
mod reader;
mod relay;
mod revision;
mod roster;
mod section;
mod spread;

pub use clock::{Clock, Millis};
pub use control_budget::{Bucket, ControlBudget, Work};
pub use fate::Fate;
pub use header::{
    ACK, ATTEMPT, CALL_ID, CUSTOMER, DEADLINE, LOAD, OUTCOME, REASON, RETRY_AFTER_MS, SERVICE,
};
pub use keys::{CallId, Grant, Incarnation, ServerKey, ServiceKey, ZoneKey};
pub use load::LoadHint;
pub use member::Member;
pub use outcome::{Cause, Outcome, Refusal};
pub use reader::{ReadLimit, is_reader};
pub use relay::{Assembly, Document, Relay, RelayError};
pub use revision::{Head, Ignored, Published, Standing};
pub use roster::{MEMBERS_MAX, MemberNote, NOTE_AGE_MAX_MS, Roster};
pub use section::{
    Digest, SECTION_MAX_BYTES, SECTION_MIN_BYTES, SECTIONS_MAX, Section, VALUE_BYTES, pack, split,
    unpack,
};
pub use spread::{QUARANTINE_MAX_MS, QUARANTINES_MAX, QuarantineEntry, Spread};
