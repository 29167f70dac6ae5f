//! Counts the bytes, messages and processor time that control uses.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The bytes of the packets that open and close a connection.
const CONNECTION_BYTES: u64 = 400;

/// What control has used since its start.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    pub(crate) received: AtomicU64,
    pub(crate) sent: AtomicU64,
    pub(crate) messages: AtomicU64,
    pub(crate) cpu_us: AtomicU64,
}

impl Usage {
    /// Returns the bytes in both directions.
    pub(crate) fn bytes(&self) -> u64 {
        self.received.load(Ordering::Relaxed) + self.sent.load(Ordering::Relaxed)
    }

    /// Counts one message.
    pub(crate) fn message(&self) {
        self.messages.fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns the processor time of the calling thread in microseconds.
#[expect(
    unsafe_code,
    reason = "the standard library has no clock of a thread's processor time"
)]
pub(crate) fn thread_cpu_us() -> u64 {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `time` is valid for writes for the whole call.
    let code = unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut time) };
    if code != 0 {
        return 0;
    }
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// A connection that counts its bytes.
pub(crate) struct Counted<S> {
    inner: S,
    usage: Arc<Usage>,
}

impl<S> Counted<S> {
    /// Wraps a connection that was just opened.
    pub(crate) fn new(inner: S, usage: Arc<Usage>) -> Self {
        usage
            .sent
            .fetch_add(CONNECTION_BYTES / 2, Ordering::Relaxed);
        usage
            .received
            .fetch_add(CONNECTION_BYTES / 2, Ordering::Relaxed);
        Self { inner, usage }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let ready = Pin::new(&mut self.inner).poll_read(cx, buf);
        let count = (buf.filled().len() - before) as u64;
        self.usage.received.fetch_add(count, Ordering::Relaxed);
        ready
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let ready = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = &ready {
            self.usage.sent.fetch_add(*count as u64, Ordering::Relaxed);
        }
        ready
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
