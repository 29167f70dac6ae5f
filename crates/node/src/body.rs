//! Bodies on their way through: uploads that note progress, answers that never end short.

use std::cell::Cell;
use std::error::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::{Stream, StreamExt};
use ntex::http::body::{BodySize, MessageBody};
use ntex::http::client::ClientResponse;
use ntex::http::error::PayloadError;
use ntex::io::IoRef;
use ntex::util::{Bytes, BytesMut};
use oriolering::{Clock, Millis};

use crate::incoming::Incoming;

/// The longest time between two chunks of an answer.
const STALL_LIMIT: Duration = Duration::from_secs(10);

/// The part of a body that has been read before it turned out to be long, and the rest.
pub(crate) struct Upload {
    head: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    clock: Clock,
    progress: Rc<Cell<Millis>>,
}

impl Upload {
    /// Joins `head` and `rest`; `length` is the declared length of both together.
    pub(crate) fn new(head: Bytes, rest: Incoming, length: Option<u64>, clock: Clock) -> Self {
        let progress = Rc::new(Cell::new(clock.now()));
        Self {
            head: Some(head).filter(|part| !part.is_empty()),
            rest,
            length,
            clock,
            progress,
        }
    }

    /// Returns the time of the last chunk; it stays readable while the body is being sent.
    pub(crate) fn progress(&self) -> Rc<Cell<Millis>> {
        Rc::clone(&self.progress)
    }
}

impl MessageBody for Upload {
    fn size(&self) -> BodySize {
        match self.length {
            Some(length) => BodySize::Sized(length),
            None => BodySize::Stream,
        }
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        self.progress.set(self.clock.now());
        if let Some(head) = self.head.take() {
            return Poll::Ready(Some(Ok(head)));
        }
        let next = Pin::new(&mut self.rest).poll_next(cx);
        next.map(|chunk| {
            chunk.map(|result| result.map_err(|error| Rc::new(error) as Rc<dyn Error>))
        })
    }
}

/// How the forwarding of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// Every byte that was declared has been passed on.
    Whole,
    /// The source failed or ended early.
    Cut,
}

/// An answer that closes the connection of its reader when the source ends early.
///
/// The HTTP library would otherwise write the text of an error answer into the connection,
/// and a reader that counts bytes would take it for the rest of the answer.
pub(crate) struct WholeBody<S, F: FnOnce(Ending)> {
    source: S,
    left: Option<u64>,
    size: BodySize,
    reader: Option<IoRef>,
    ended: Option<F>,
    stopped: bool,
    stall: Pin<Box<tokio::time::Sleep>>,
}

impl<S, F> WholeBody<S, F>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
    F: FnOnce(Ending) + Unpin + 'static,
{
    /// Wraps `source`, whose declared length is `length`; `ended` runs once at its end.
    pub(crate) fn new(source: S, length: Option<u64>, reader: Option<IoRef>, ended: F) -> Self {
        let size = match length {
            Some(length) => BodySize::Sized(length),
            None => BodySize::Stream,
        };
        Self {
            source,
            left: length,
            size,
            reader,
            ended: Some(ended),
            stopped: false,
            stall: Box::pin(tokio::time::sleep(STALL_LIMIT)),
        }
    }

    fn finish(&mut self, ending: Ending) {
        if let Some(ended) = self.ended.take() {
            ended(ending);
        }
    }

    fn cut(&mut self) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        self.finish(Ending::Cut);
        self.stopped = true;
        if let Some(reader) = &self.reader {
            reader.force_close();
        }
        Poll::Pending
    }

    /// Counts `chunk` against the declared length; `false` when the source sends too much.
    fn count(&mut self, chunk: &Bytes) -> bool {
        let Some(left) = self.left else { return true };
        let Some(rest) = left.checked_sub(chunk.len() as u64) else {
            return false;
        };
        self.left = Some(rest);
        if rest == 0 {
            self.finish(Ending::Whole);
        }
        true
    }
}

impl<S, F> MessageBody for WholeBody<S, F>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
    F: FnOnce(Ending) + Unpin + 'static,
{
    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        if self.stopped {
            return Poll::Pending;
        }
        match Pin::new(&mut self.source).poll_next(cx) {
            Poll::Pending if self.stall.as_mut().poll(cx).is_ready() => self.cut(),
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(chunk))) => match self.count(&chunk) {
                true => {
                    let limit = tokio::time::Instant::now() + STALL_LIMIT;
                    self.stall.as_mut().reset(limit);
                    Poll::Ready(Some(Ok(chunk)))
                }
                false => self.cut(),
            },
            Poll::Ready(Some(Err(_))) => self.cut(),
            Poll::Ready(None) if self.left.unwrap_or(0) > 0 => self.cut(),
            Poll::Ready(None) => {
                self.finish(Ending::Whole);
                Poll::Ready(None)
            }
        }
    }
}

/// Reads a body of `length` bytes to its end; `None` when it ends early or goes on.
///
/// Reading the end gives the connection back to the pool.
pub(crate) async fn read(response: &mut ClientResponse, length: u64) -> Option<Bytes> {
    let length = length as usize;
    let mut body = BytesMut::with_capacity(length);
    while body.len() < length {
        match response.next().await {
            Some(Ok(chunk)) => body.extend_from_slice(&chunk),
            Some(Err(_)) | None => return None,
        }
    }
    if length > 0 && response.next().await.is_some() {
        return None;
    }
    Some(body.freeze())
}
