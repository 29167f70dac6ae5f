//! The panic threshold, above which the suspect state of backend servers is ignored.

/// Returns whether more than half of all backend servers are suspects, which is then ignored.
///
/// With that many suspects, the cause is more likely a wrong measurement than the backend servers,
/// and sending all requests to the few others would overload them.
pub(crate) fn is_panic(suspects: usize, total: usize) -> bool {
    suspects * 2 > total
}
