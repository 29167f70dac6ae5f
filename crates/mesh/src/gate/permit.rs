//! A slot of the local backend server.

use std::rc::Rc;

use super::Gate;

/// A slot of the backend server, released on drop.
pub(super) struct Permit(pub(super) Rc<Gate>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.scheduler.borrow_mut().finish();
        self.0.process_events();
    }
}
