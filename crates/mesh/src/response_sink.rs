//! Where a gate sends a response that may be streamed, as far as it has credit.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use oriolering::GateLoad;
use oriolering_http::{ByteReservation, Bytes};
use serde_bytes::ByteBuf;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Semaphore, oneshot};
use tokio::task::AbortHandle;

use crate::frame::{CallId, Frame, HeldPermit, Outcome};
use crate::outbox::Outbox;
use crate::peer::send_ended;
use crate::segment_reader::{Segment, StreamedCall};
use crate::stream_budget::BudgetPermit;

/// The start of a response at the ingress of the gate's own node.
pub(crate) struct LocalHead {
    pub(crate) outcome: Outcome,
    pub(crate) body: Bytes,
    /// The length of a streamed response, if it is known, and its rest; none if `body` is whole.
    pub(crate) rest: Option<(Option<u64>, UnboundedReceiver<Segment>)>,
}

enum Target {
    /// The ingress of another node.
    Link { outbox: Rc<Outbox>, call: CallId },
    /// The ingress of the same node.
    Local {
        head: RefCell<Option<oneshot::Sender<LocalHead>>>,
        segments: RefCell<Option<UnboundedSender<Segment>>>,
    },
}

/// The receiver of a response that may be streamed.
pub(crate) struct ResponseSink {
    target: Target,
    /// How many more segments the ingress takes.
    credit: Semaphore,
    /// Whether the head of a streamed response was sent.
    started: Cell<bool>,
}

impl ResponseSink {
    /// Returns the sink of a call on a link.
    pub(crate) fn link(outbox: &Rc<Outbox>, call: CallId) -> Rc<Self> {
        let outbox = Rc::clone(outbox);
        Self::new(Target::Link { outbox, call })
    }

    /// Returns the sink of a call of the gate's own node.
    pub(crate) fn local(head: oneshot::Sender<LocalHead>) -> Rc<Self> {
        let head = RefCell::new(Some(head));
        let segments = RefCell::default();
        Self::new(Target::Local { head, segments })
    }

    fn new(target: Target) -> Rc<Self> {
        Rc::new(Self {
            target,
            credit: Semaphore::new(0),
            started: Cell::new(false),
        })
    }

    /// Adds credit for segments.
    pub(crate) fn add_credit(&self, segments: u32) {
        self.credit.add_permits(segments as usize);
    }

    /// Waits for the credit for one segment and uses it.
    pub(crate) async fn use_credit(&self) {
        if let Ok(permit) = self.credit.acquire().await {
            permit.forget();
        }
    }

    /// Sends the head of a streamed response and the start of its body.
    pub(crate) fn send_head(
        &self,
        outcome: Outcome,
        first: Bytes,
        length: Option<u64>,
        load: GateLoad,
    ) {
        self.started.set(true);
        match &self.target {
            Target::Link { outbox, call } => outbox.push(Frame::Head {
                call: *call,
                outcome,
                body: ByteBuf::from(first.to_vec()),
                length,
                load,
            }),
            Target::Local { head, segments } => {
                let (sender, queue) = unbounded_channel();
                *segments.borrow_mut() = Some(sender);
                send_local(head, outcome, first, Some((length, queue)));
            }
        }
    }

    /// Sends a segment, for which there was credit. `permit` is its memory in the gate's budget,
    /// held until the segment is written to the link; at the same node the ingress counts it.
    pub(crate) fn send(&self, bytes: Bytes, permit: BudgetPermit) {
        match &self.target {
            Target::Link { outbox, call } => outbox.push(Frame::Segment {
                call: *call,
                bytes: ByteBuf::from(bytes.to_vec()),
                held: HeldPermit::from(permit),
            }),
            Target::Local { segments, .. } => send_segment(segments, Segment::Bytes(bytes)),
        }
    }

    /// Sends how the call ended: the end of a stream, or a response that is not streamed. `held`
    /// counts its memory while it is queued for a link, and is released at once at the same node.
    pub(crate) fn finish(
        &self,
        outcome: Outcome,
        body: Bytes,
        held: ByteReservation,
        load: GateLoad,
    ) {
        if self.started.get() {
            let complete = matches!(outcome, Outcome::Answered(_));
            return match &self.target {
                Target::Link { outbox, call } => outbox.push(Frame::SegmentsEnd {
                    call: *call,
                    complete,
                }),
                Target::Local { segments, .. } => {
                    send_segment(segments, Segment::End { complete });
                }
            };
        }
        match &self.target {
            Target::Link { outbox, call } => send_ended(outbox, *call, outcome, body, held, load),
            Target::Local { head, .. } => send_local(head, outcome, body, None),
        }
    }
}

fn send_local(
    head: &RefCell<Option<oneshot::Sender<LocalHead>>>,
    outcome: Outcome,
    body: Bytes,
    rest: Option<(Option<u64>, UnboundedReceiver<Segment>)>,
) {
    if let Some(head) = head.borrow_mut().take() {
        let start = LocalHead {
            outcome,
            body,
            rest,
        };
        // The caller may have disconnected and dropped the receiver.
        let _ = head.send(start);
    }
}

fn send_segment(segments: &RefCell<Option<UnboundedSender<Segment>>>, segment: Segment) {
    if let Some(sender) = &*segments.borrow() {
        // The caller may have disconnected and dropped the receiver.
        let _ = sender.send(segment);
    }
}

/// A call to the gate of the same node, which is cancelled on drop.
pub(crate) struct LocalCall {
    pub(crate) sink: Rc<ResponseSink>,
    pub(crate) task: AbortHandle,
}

impl StreamedCall for LocalCall {
    fn grant(&self, segments: u32) {
        self.sink.add_credit(segments);
    }
}

impl Drop for LocalCall {
    fn drop(&mut self) {
        self.task.abort();
    }
}
