//! The names of the headers that a deployment speaks.

/// The names of the headers between callers, nodes and backend servers, in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// The identity of a caller's request.
    pub request: &'static str,
    /// The milliseconds that are left of a request's deadline.
    pub deadline: &'static str,
    /// The identity of the backend server that alone may run a request.
    pub target: &'static str,
    /// The service of the instance where a request began.
    pub caller: &'static str,
    /// The mark of an answer that a backend server made.
    pub signature: &'static str,
    /// The mark of an answer that says that the request did not run.
    pub unexecuted: &'static str,
    /// The load of the backend server that answers.
    pub load: &'static str,
    /// The identity of the backend server that answers.
    pub server: &'static str,
    /// The requests a second that the backend server takes from all nodes together, in each of
    /// its spellings.
    pub limit: [&'static str; 2],
    /// The mark of a backend server that leaves, in each of its spellings.
    pub leaving: [&'static str; 2],
}
