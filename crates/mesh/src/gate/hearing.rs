//! What the gate takes in of the answers of its backend server.

use oriolering::{Rate, ServerLoad};
use oriolering_http::HeaderMap;
use oriolering_platform::{HEADERS, parse_load};

use super::Gate;
use super::notices::Heard;
use crate::frame::Offer;
use crate::headers;
use crate::notice::Notice;

impl Gate {
    /// Takes in the load that an answer of the backend server tells.
    pub(super) fn hear(&self, map: &HeaderMap) {
        if let Some(id) = headers::text(map, HEADERS.server) {
            let before = self.answers_as.replace(Some(id.into()));
            if let Some(before) = before.filter(|before| before != id) {
                self.listeners.push_any(self.suspects.replaced(&before));
            }
        }
        let Some(load) = headers::text(map, HEADERS.load).and_then(parse_load) else {
            return;
        };
        self.pulse.hear();
        self.reopen();
        self.take_load(load);
    }

    fn take_load(&self, load: ServerLoad) {
        self.room.borrow_mut().resize(load.slots);
        if self.room.borrow_mut().set_work_percent(load.work_percent) {
            self.pump();
            self.tell();
        }
    }

    /// Takes in what an answer says beside the load.
    pub(super) fn hear_notice(&self, map: &HeaderMap, kind: Heard) -> Notice {
        let notice = self.notices.hear(map, kind);
        self.take_limit(self.notices.limit());
        if notice.leaving {
            self.reopen();
        }
        notice
    }

    /// Takes in the limit that an ingress has passed on, until the backend server has answered to
    /// this process itself.
    pub(super) fn hear_of(&self, offer: &Offer) {
        if offer.limit.is_some() && self.notices.hear_of(offer.limit) {
            self.take_limit(offer.limit);
        }
    }

    pub(super) fn take_limit(&self, limit: Option<Rate>) {
        if self.room.borrow_mut().set_limit(self.clock.now(), limit) {
            self.pump();
            self.tell_turn();
        }
    }
}
