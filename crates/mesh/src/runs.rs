//! The requests that run at the local backend server.

use std::cell::RefCell;

use compact_str::CompactString;

struct Run {
    request: CompactString,
    repeat: bool,
}

/// The requests that run at the local backend server, to know whose calls come from it.
#[derive(Default)]
pub(crate) struct Runs(RefCell<Vec<Run>>);

impl Runs {
    /// Notes that a request runs, until what is returned is dropped.
    ///
    /// `repeat` tells whether it is a second run of its request, or was made by one.
    pub(crate) fn enter(&self, request: &str, repeat: bool) -> Running<'_> {
        self.0.borrow_mut().push(Run {
            request: request.into(),
            repeat,
        });
        Running {
            runs: self,
            request: request.into(),
            repeat,
        }
    }

    /// Returns whether a repeated run of the request is under way.
    pub(crate) fn is_repeat(&self, request: &str) -> bool {
        let runs = self.0.borrow();
        runs.iter().any(|run| run.repeat && run.request == request)
    }
}

/// A request that runs.
pub(crate) struct Running<'a> {
    runs: &'a Runs,
    request: CompactString,
    repeat: bool,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut runs = self.runs.0.borrow_mut();
        let index = runs
            .iter()
            .position(|run| run.repeat == self.repeat && run.request == self.request);
        if let Some(index) = index {
            runs.swap_remove(index);
        }
    }
}
