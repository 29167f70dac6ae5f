//! Names of the HTTP headers that the system reads and writes.

/// Names the service that a call is for; the first label of `host` is used without it.
pub const SERVICE: &str = "oriolering-service";
/// The time left for a call, in milliseconds, reduced at each hop.
pub const DEADLINE: &str = "oriolering-deadline-ms";
/// What became of a request without an answer: see [`Outcome`](crate::Outcome).
pub const OUTCOME: &str = "oriolering-outcome";
/// Why a request was refused: see [`Cause`](crate::Cause).
pub const REASON: &str = "oriolering-reason";
/// When to send again, in milliseconds; `retry-after` carries the same in whole seconds.
pub const RETRY_AFTER_MS: &str = "oriolering-retry-after-ms";
/// The identity of an attempt between ingress and gate: see [`CallId`](crate::CallId).
pub const CALL_ID: &str = "oriolering-call";
/// The sequence number up to which every attempt of the session is settled.
pub const ACK: &str = "oriolering-ack";
/// The load of a backend server on an answer: see [`LoadHint`](crate::LoadHint).
pub const LOAD: &str = "oriolering-load";
/// The number of the attempt, counted from one.
pub const ATTEMPT: &str = "oriolering-attempt";
/// The customer key that an ingress passes on to the gate.
pub const CUSTOMER: &str = "oriolering-customer";
/// The session that a gate opened for an ingress: see [`Grant`](crate::Grant).
pub const GRANT: &str = "oriolering-grant";
/// The fingerprint of a request as sixteen hexadecimal digits.
pub const FINGERPRINT: &str = "oriolering-fingerprint";
/// Asks a gate for something other than running a call: `open`, `reserve` or `collect`.
pub const STEP: &str = "oriolering-step";
/// The number of backend servers that died while they ran this request.
pub const CRASHES: &str = "oriolering-crashes";
