//! A slot at the local backend server.

use std::rc::Rc;

use super::Gate;

/// A slot at the backend server, freed when it is dropped.
pub(super) struct Permit(pub(super) Rc<Gate>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.room.borrow_mut().finish();
        self.0.pump();
    }
}
