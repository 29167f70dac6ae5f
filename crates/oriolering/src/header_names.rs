//! The header names that a deployment uses.

/// The header names used between callers, nodes and backend servers, in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// The id of a caller's request.
    pub request: &'static str,
    /// The time until a request's deadline, in milliseconds.
    pub deadline: &'static str,
    /// The id of the only backend server that may run a request.
    pub target: &'static str,
    /// The service of the instance where a request originated.
    pub caller: &'static str,
    /// Marks a response that comes from a backend server.
    pub signature: &'static str,
    /// Marks a response which states that the request was not executed.
    pub unexecuted: &'static str,
    /// The load of the responding backend server.
    pub load: &'static str,
    /// The id of the responding backend server.
    pub server: &'static str,
    /// The rate limit of the backend server over all nodes together, in requests per second; one
    /// name for each accepted spelling.
    pub limit: [&'static str; 2],
    /// Marks a backend server that is leaving; one name for each accepted spelling.
    pub leaving: [&'static str; 2],
}
