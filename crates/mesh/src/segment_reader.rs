//! Reads the rest of a streamed response at the ingress, at the pace of the caller.

use std::fmt::{self, Formatter};
use std::io;
use std::rc::Rc;

use futures_util::stream;
use oriolering_http::{BodyStream, Bytes};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::stream_budget::{BudgetPermit, StreamBudget};
use crate::trail::StreamRecord;

/// A segment of a streamed response, or its end.
#[derive(Debug)]
pub(crate) enum Segment {
    Bytes(Bytes),
    End { complete: bool },
}

/// The call that a streamed response belongs to; dropping it cancels the call at the gate.
pub(crate) trait StreamedCall {
    /// Allows the gate to send more segments.
    fn grant(&self, segments: u32);
}

/// The rest of a response that the gate sends as far as it has credit.
pub(crate) struct SegmentReader {
    length: Option<u64>,
    /// What has arrived; the credit bounds it.
    queue: UnboundedReceiver<Segment>,
    budget: Rc<StreamBudget>,
    /// The memory of each segment for which the gate has credit, or that the caller has not taken.
    permits: Vec<BudgetPermit>,
    /// Whether the caller is taking a segment.
    taking: bool,
    call: Box<dyn StreamedCall>,
}

impl SegmentReader {
    /// Returns the reader of a response of `length` bytes in all, if the length is known.
    pub(crate) fn new(
        length: Option<u64>,
        queue: UnboundedReceiver<Segment>,
        budget: &Rc<StreamBudget>,
        call: Box<dyn StreamedCall>,
    ) -> Self {
        Self {
            length,
            queue,
            budget: Rc::clone(budget),
            permits: Vec::new(),
            taking: false,
            call,
        }
    }

    /// Returns the length of the whole body, if it is known.
    pub(crate) fn length(&self) -> Option<u64> {
        self.length
    }

    /// Converts the reader into the rest of a body for the caller's connection.
    pub(crate) fn into_body(self, record: StreamRecord) -> BodyStream {
        let length = self.length;
        let pieces = stream::unfold(Some((self, record)), async |state| {
            let (mut reader, mut record) = state?;
            match reader.next().await {
                Segment::Bytes(bytes) => {
                    record.add(bytes.len());
                    Some((Ok(bytes), Some((reader, record))))
                }
                Segment::End { complete: true } => {
                    record.complete();
                    None
                }
                Segment::End { complete: false } => {
                    record.cut();
                    Some((Err(io::ErrorKind::ConnectionAborted.into()), None))
                }
            }
        });
        BodyStream::new(length, pieces)
    }

    /// Returns the next segment; the caller has taken the previous one.
    async fn next(&mut self) -> Segment {
        if std::mem::take(&mut self.taking) {
            self.permits.pop();
        }
        let segment = match self.grant().await {
            Some(segment) => segment,
            None => self.queue.recv().await,
        };
        // A queue without an end belongs to a link that broke.
        let segment = segment.unwrap_or(Segment::End { complete: false });
        self.taking = matches!(segment, Segment::Bytes(_));
        segment
    }

    /// Gives the gate credit for the current window. While there is no memory for a single segment,
    /// it waits for memory, or for the end of the stream, which it returns.
    async fn grant(&mut self) -> Option<Option<Segment>> {
        let mut more = 0;
        if self.permits.is_empty() {
            tokio::select! {
                biased;
                segment = self.queue.recv() => return Some(segment),
                permit = self.budget.acquire() => self.permits.push(permit),
            }
            more += 1;
        }
        while self.permits.len() < self.budget.window()
            && let Some(permit) = self.budget.try_acquire()
        {
            self.permits.push(permit);
            more += 1;
        }
        if more > 0 {
            self.call.grant(more);
        }
        None
    }
}

impl fmt::Debug for SegmentReader {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("SegmentReader")
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}
