//! The queue of messages to be written to one link.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use bytes::BytesMut;
use tokio::sync::Notify;
use tokio_util::codec::LengthDelimitedCodec;

use crate::frame::{self, Frame, FrameError};

/// The send queue of one link; short messages overtake pieces of bodies.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    short: RefCell<Vec<Frame>>,
    pieces: RefCell<VecDeque<Frame>>,
    wake: Notify,
    closed: Cell<bool>,
}

impl Outbox {
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
                self.pieces.borrow_mut().push_back(frame);
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
        self.pieces.borrow_mut().clear();
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
        let piece = self.pieces.borrow_mut().pop_front();
        for frame in self.short.borrow_mut().drain(..).chain(piece) {
            let before = out.len();
            frame::encode(codec, &frame, out)?;
            sent(frame.kind(), out.len() - before);
        }
        Ok(())
    }
}
