//! The queue of messages to be written to one link.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use bytes::BytesMut;
use oriolering_http::{ByteReservation, Bytes};
use serde_bytes::ByteBuf;
use tokio::sync::Notify;
use tokio_util::codec::LengthDelimitedCodec;

use crate::frame::{self, CallId, Frame, FrameError, PIECE_BYTES};

/// The send queue of one link; short messages overtake pieces of bodies.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    short: RefCell<Vec<Frame>>,
    long: RefCell<VecDeque<Long>>,
    wake: Notify,
    closed: Cell<bool>,
}

/// What is sent one piece at a time.
#[derive(Debug)]
enum Long {
    Piece(Frame),
    Body(QueuedBody),
}

/// The rest of a body; its pieces are copied only when they are sent.
#[derive(Debug)]
struct QueuedBody {
    call: CallId,
    rest: Bytes,
    /// The memory of the body, unless its owner counts it.
    _held: Option<ByteReservation>,
}

impl QueuedBody {
    /// Takes the next piece.
    fn next(&mut self) -> Frame {
        let bytes = self.rest.split_to(PIECE_BYTES.min(self.rest.len()));
        Frame::Piece {
            call: self.call,
            bytes: ByteBuf::from(&bytes[..]),
            last: self.rest.is_empty(),
        }
    }
}

impl Outbox {
    /// Queues a long body, which is sent in pieces, or drops it if the link is closed.
    pub(crate) fn push_body(&self, call: CallId, body: Bytes, held: Option<ByteReservation>) {
        if self.closed.get() {
            return;
        }
        self.long.borrow_mut().push_back(Long::Body(QueuedBody {
            call,
            rest: body,
            _held: held,
        }));
        self.wake.notify_one();
    }

    /// Drops the rest of the body of a call that has ended.
    pub(crate) fn drop_body(&self, call: CallId) {
        let ended = |long: &Long| matches!(long, Long::Body(body) if body.call == call);
        self.long.borrow_mut().retain(|long| !ended(long));
    }

    /// Takes the next piece of what is sent in pieces.
    fn next_piece(&self) -> Option<Frame> {
        let mut queue = self.long.borrow_mut();
        if let Some(Long::Body(body)) = queue.front_mut() {
            let piece = body.next();
            if body.rest.is_empty() {
                queue.pop_front();
            }
            return Some(piece);
        }
        match queue.pop_front()? {
            Long::Piece(frame) => Some(frame),
            Long::Body(mut body) => Some(body.next()),
        }
    }

    /// Queues a message, or drops it if the link is closed.
    pub(crate) fn push(&self, frame: Frame) {
        if self.closed.get() {
            return;
        }
        match frame {
            Frame::Piece { .. }
            | Frame::RoutesPiece { .. }
            | Frame::Segment { .. }
            | Frame::SegmentsEnd { .. } => {
                self.long.borrow_mut().push_back(Long::Piece(frame));
            }
            Frame::Hello { .. }
            | Frame::Offer { .. }
            | Frame::Cancel { .. }
            | Frame::Ended { .. }
            | Frame::Head { .. }
            | Frame::Credit { .. }
            | Frame::Load(_)
            | Frame::Ping
            | Frame::Pong
            | Frame::Known { .. }
            | Frame::Want { .. }
            | Frame::Routes { .. }
            | Frame::Servers(_)
            | Frame::Suspects { .. } => self.short.borrow_mut().push(frame),
        }
        self.wake.notify_one();
    }

    /// Closes the link; queued pieces, which may hold memory of a budget, and later messages are
    /// dropped.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.long.borrow_mut().clear();
        self.wake.notify_one();
    }

    /// Returns whether the link is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Waits until a message is queued or the link is closed; it may also return without either.
    pub(crate) async fn changed(&self) {
        self.wake.notified().await;
    }

    /// Encodes all short messages and one piece into `out`, and calls `sent` with the kind and the
    /// size of each in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when a message cannot be encoded.
    pub(crate) fn fill(
        &self,
        codec: &mut LengthDelimitedCodec,
        out: &mut BytesMut,
        sent: impl Fn(&'static str, usize),
    ) -> Result<(), FrameError> {
        let piece = self.next_piece();
        for frame in self.short.borrow_mut().drain(..).chain(piece) {
            let before = out.len();
            frame::encode(codec, &frame, out)?;
            sent(frame.kind(), out.len() - before);
        }
        Ok(())
    }
}
