//! Names of the HTTP headers that nodes read and write.

/// The service that a request is for; defaults to the first label of `host`.
pub const SERVICE: &str = "oriolering-service";
/// The remaining time for a request, in milliseconds; each hop reduces it.
pub const DEADLINE: &str = "oriolering-deadline-ms";
/// The outcome of a request that got no response: see [`Outcome`](crate::Outcome).
pub const OUTCOME: &str = "oriolering-outcome";
/// Why a request was refused: see [`Cause`](crate::Cause).
pub const REASON: &str = "oriolering-reason";
/// When to retry, in milliseconds; `retry-after` carries the same delay in whole seconds.
pub const RETRY_AFTER_MS: &str = "oriolering-retry-after-ms";
/// The identity of an attempt between ingress and gate: see [`CallId`](crate::CallId).
pub const CALL_ID: &str = "oriolering-call";
/// The sequence number up to which all attempts of the session are complete.
pub const ACK: &str = "oriolering-ack";
/// The load of a backend server, sent with each response: see [`LoadHint`](crate::LoadHint).
pub const LOAD: &str = "oriolering-load";
/// The number of the attempt, starting at one.
pub const ATTEMPT: &str = "oriolering-attempt";
/// The customer key that an ingress forwards to the gate.
pub const CUSTOMER: &str = "oriolering-customer";
/// The session that a gate opened for an ingress: see [`Grant`](crate::Grant).
pub const GRANT: &str = "oriolering-grant";
/// The fingerprint of a request as sixteen hexadecimal digits.
pub const FINGERPRINT: &str = "oriolering-fingerprint";
/// Requests a gate operation other than running a call: `open`, `reserve` or `collect`.
pub const STEP: &str = "oriolering-step";
/// The number of backend servers that crashed while running this request.
pub const CRASHES: &str = "oriolering-crashes";
