//! One call of a caller as it moves through the filters and attempts.

use std::cell::RefCell;
use std::sync::Arc;

use ntex::http::header::HeaderMap;
use ntex::http::{Method, Uri};
use ntex::util::Bytes;
use ntex::web::HttpRequest;
use oriolering::config::ServiceSettings;
use oriolering::{Millis, ServiceKey};

use crate::body::Upload;

/// A call with what the filters have found out about it.
pub(crate) struct Call {
    /// The request as the server read it.
    pub(crate) request: HttpRequest,
    /// When the head of the request was read.
    pub(crate) arrived: Millis,
    /// The service that the call is for.
    pub(crate) service: ServiceKey,
    /// The settings of that service.
    pub(crate) settings: Arc<ServiceSettings>,
    /// When the caller stops waiting.
    pub(crate) deadline: Millis,
    /// Whether running the request twice is harmless.
    pub(crate) idempotent: bool,
    /// The hash of the customer key, or zero.
    pub(crate) customer: u64,
    /// The fingerprint of the request, or zero while the body is unread.
    pub(crate) fingerprint: u64,
    /// The headers that travel on, without those of the connection.
    pub(crate) headers: HeaderMap,
    /// The body of the request.
    pub(crate) body: RefCell<CallBody>,
}

impl Call {
    /// Returns the method of the request.
    pub(crate) fn method(&self) -> &Method {
        self.request.method()
    }

    /// Returns the target of the request.
    pub(crate) fn uri(&self) -> &Uri {
        self.request.uri()
    }

    /// Returns whether the body can be sent again.
    pub(crate) fn is_whole(&self) -> bool {
        match &*self.body.borrow() {
            CallBody::Whole(_) => true,
            CallBody::Stream(_) | CallBody::Taken => false,
        }
    }

    /// Returns whether the body has been handed to an attempt and cannot be sent again.
    pub(crate) fn is_taken(&self) -> bool {
        matches!(&*self.body.borrow(), CallBody::Taken)
    }

    /// Returns the milliseconds left before the deadline.
    pub(crate) fn left(&self, now: Millis) -> u64 {
        self.deadline.since(now)
    }
}

/// The body of a call.
pub(crate) enum CallBody {
    /// A body that fits into the buffer and can be sent again.
    Whole(Bytes),
    /// A longer body, which is sent once as it arrives.
    Stream(Upload),
    /// A longer body that has been handed to an attempt.
    Taken,
}
