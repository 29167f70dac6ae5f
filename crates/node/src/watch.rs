//! What is known of the local backend server, by what its connections show.

/// What is known of the local backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Watch {
    /// It accepts connections, as far as is known.
    #[default]
    Up,
    /// A connection was lost; a new one is being tried.
    Probing,
    /// It refuses connections.
    Down,
}
