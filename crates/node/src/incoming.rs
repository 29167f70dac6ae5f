//! The body of a request as it comes in, and whether it has been read to its end.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use futures_util::Stream;
use ntex::http::Payload;
use ntex::http::error::PayloadError;
use ntex::util::Bytes;

/// The body of a request.
///
/// The HTTP library ends a connection when a body is dropped before its end. What forwards the
/// body may do so at any time; so the body is kept beside it as [`Unread`].
pub(crate) struct Incoming(Rc<RefCell<Body>>);

/// What has still to come of a body.
pub(crate) struct Unread(Rc<RefCell<Body>>);

struct Body {
    payload: Payload,
    left: u64,
}

impl Incoming {
    /// Wraps a body whose declared length is `length`; without one its end shows itself.
    pub(crate) fn new(payload: Payload, length: Option<u64>) -> Self {
        let left = match &payload {
            Payload::None => 0,
            Payload::H1(_) | Payload::H2(_) | Payload::Stream(_) => length.unwrap_or(u64::MAX),
        };
        Self(Rc::new(RefCell::new(Body { payload, left })))
    }

    /// Returns what has still to come, whoever else reads the body meanwhile.
    pub(crate) fn unread(&self) -> Unread {
        Unread(Rc::clone(&self.0))
    }
}

impl Unread {
    /// Returns whether the body has been read to its end.
    pub(crate) fn is_none(&self) -> bool {
        self.0.borrow().left == 0
    }

    /// Reads and drops the rest; ready at the end of the body.
    pub(crate) fn poll_discard(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut body = self.0.borrow_mut();
        while body.left > 0 {
            ready!(body.poll(cx));
        }
        Poll::Ready(())
    }
}

impl Body {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, PayloadError>>> {
        let next = ready!(Pin::new(&mut self.payload).poll_next(cx));
        self.left = match &next {
            Some(Ok(chunk)) => self.left.saturating_sub(chunk.len() as u64),
            Some(Err(_)) | None => 0,
        };
        Poll::Ready(next)
    }
}

impl Stream for Incoming {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.borrow_mut().poll(cx)
    }
}
