//! Applies the load and the notices in responses of the backend server to the gate.

use oriolering::ServerLoad;
use oriolering_http::HeaderMap;
use oriolering_platform::{HEADERS, parse_load};

use super::Gate;
use super::notices::ResponseKind;
use crate::frame::Offer;
use crate::headers;
use crate::notice::Notice;

impl Gate {
    /// Applies the load that a response of the backend server reports. Any response shows that the
    /// backend server is up; some never report a load.
    pub(super) fn apply_load_report(&self, map: &HeaderMap) {
        if let Some(id) = headers::text(map, HEADERS.server) {
            let previous = self.responding_id.replace(Some(id.into()));
            self.responded.set(true);
            if let Some(previous) = previous.filter(|previous| previous != id) {
                self.listeners
                    .broadcast(self.suspects.record_replacement(&previous));
                self.forget_warm_up();
            }
        }
        self.health.record_report();
        self.reopen();
        if let Some(load) = headers::text(map, HEADERS.load).and_then(parse_load) {
            self.apply_load(load);
        }
    }

    fn apply_load(&self, load: ServerLoad) {
        self.scheduler.borrow_mut().resize(load.slots);
        if self
            .scheduler
            .borrow_mut()
            .set_work_percent(load.work_percent)
        {
            self.process_events();
            self.send_load();
        }
    }

    /// Applies the limit and the leaving notice that a response carries.
    pub(super) fn apply_notice(&self, map: &HeaderMap, kind: ResponseKind) -> Notice {
        let notice = self.notices.apply(map, kind);
        self.update_limit();
        if notice.leaving {
            self.reopen();
        }
        notice
    }

    /// Applies the limit that an ingress has passed on, until this process has a response of the
    /// backend server itself.
    pub(super) fn apply_passed_limit(&self, offer: &Offer) {
        if offer.limit.is_some() && self.notices.apply_passed_limit(offer.limit) {
            self.update_limit();
        }
    }
}
