//! Keeps a connection open until the body of its request has been read.
//!
//! A caller that still sends when the connection ends sees it break, and may not come to read the
//! answer. So an answer that comes early says that its connection closes, and the connection
//! closes when the body has come to its end.

use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use ntex::http::ConnectionType;
use ntex::http::body::{Body, BodySize, MessageBody, ResponseBody};
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use tokio::time::{Sleep, sleep, timeout};

use crate::incoming::Unread;

/// The longest time that the rest of a body is read; nginx has the same limit.
const LINGER_LIMIT: Duration = Duration::from_secs(30);

/// Returns an answer whose connection ends only after the rest of the request's body.
///
/// `entered` is held as long, so that the process does not end before.
pub(crate) async fn linger(
    mut response: HttpResponse,
    unread: Unread,
    entered: Arc<()>,
) -> HttpResponse {
    if unread.is_none() {
        return response;
    }
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    if response.body().size().is_eof() {
        // The HTTP library does not ask for the body of an answer that has none.
        let rest = poll_fn(|cx| unread.poll_discard(cx));
        // Past the limit the connection ends with the body unread.
        let _ = timeout(LINGER_LIMIT, rest).await;
        return response;
    }
    response.map_body(|_, answer| {
        ResponseBody::Body(Body::from_message(Lingering {
            answer,
            unread,
            limit: Box::pin(sleep(LINGER_LIMIT)),
            _entered: entered,
        }))
    })
}

/// The body of an answer that ends after that of the request.
struct Lingering {
    answer: ResponseBody<Body>,
    unread: Unread,
    limit: Pin<Box<Sleep>>,
    _entered: Arc<()>,
}

impl MessageBody for Lingering {
    fn size(&self) -> BodySize {
        self.answer.size()
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        let rest = self.unread.poll_discard(cx);
        let next = self.answer.poll_next_chunk(cx);
        if matches!(next, Poll::Ready(None)) && rest.is_pending() {
            return self.limit.as_mut().poll(cx).map(|()| None);
        }
        next
    }
}
