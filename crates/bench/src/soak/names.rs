//! The headers that clients, nodes and backend servers of the platform exchange.

/// The identity of a client's attempt.
pub const REQUEST_ID: &str = "oriolering-request-id";
/// The milliseconds that the client waits.
pub const DEADLINE: &str = "oriolering-request-deadline";
/// The only backend server that may run the request.
pub const TARGET: &str = "oriolering-target-instance";
/// The service of the instance where the request began.
pub const CALLER: &str = "oriolering-caller-service";
/// The mark of a backend server on its answer.
pub const SIGNATURE: &str = "oriolering-response-signature";
/// States that the backend server did not run the request.
pub const NOT_EXECUTED: &str = "oriolering-not-executed";
/// The load of the backend server that answers.
pub const LOAD: &str = "oriolering-server-load";
/// The identity of the backend server that answers.
pub const INSTANCE: &str = "oriolering-instance-id";
