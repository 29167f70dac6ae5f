//! The handle by which the rest of the node reaches the control part.

use std::net::SocketAddr;
use std::sync::Arc;

use oriolering::{AttemptStatus, CallId, Grant, QuarantineEntry};
use tokio::sync::{mpsc, oneshot};

use super::error::PeerError;
use super::state::Shared;
use super::status::ControlStatus;

/// The reply to a command; the receiver may be gone.
pub(crate) type Reply<T> = oneshot::Sender<Result<T, PeerError>>;

/// What the rest of the node asks of the control part.
pub(crate) enum Command {
    Inquire {
        control: SocketAddr,
        id: CallId,
        fence: bool,
        timeout_ms: u64,
        reply: Reply<AttemptStatus>,
    },
    Open {
        control: SocketAddr,
        timeout_ms: u64,
        reply: Reply<Grant>,
    },
    Quarantine(QuarantineEntry),
    Leave,
    Stop(oneshot::Sender<()>),
}

/// Reaches the control part from any thread; cheap to clone.
#[derive(Clone)]
pub struct Handle {
    pub(crate) commands: mpsc::UnboundedSender<Command>,
    pub(crate) shared: Arc<Shared>,
}

impl Handle {
    /// Asks the gate at `control` over a new connection what became of an attempt.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer gives no answer within `timeout_ms`.
    pub async fn inquire(
        &self,
        control: SocketAddr,
        id: CallId,
        fence: bool,
        timeout_ms: u64,
    ) -> Result<AttemptStatus, PeerError> {
        self.ask(|reply| Command::Inquire {
            control,
            id,
            fence,
            timeout_ms,
            reply,
        })
        .await
    }

    /// Asks the gate at `control` for a session.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer gives no answer within `timeout_ms`.
    pub async fn open(&self, control: SocketAddr, timeout_ms: u64) -> Result<Grant, PeerError> {
        self.ask(|reply| Command::Open {
            control,
            timeout_ms,
            reply,
        })
        .await
    }

    /// Returns what the control part knows and has spent.
    pub fn status(&self) -> ControlStatus {
        self.shared.status()
    }

    /// Returns whether the control part still runs.
    pub fn is_running(&self) -> bool {
        !self.commands.is_closed()
    }

    /// Spreads a quarantine to the peers.
    pub fn spread(&self, entry: QuarantineEntry) {
        self.send(Command::Quarantine(entry));
    }

    /// Tells the peers that this node is leaving.
    pub fn leave(&self) {
        self.send(Command::Leave);
    }

    /// Ends the control part and waits until its listener is closed.
    pub async fn stop(self) {
        let (sender, receiver) = oneshot::channel();
        self.send(Command::Stop(sender));
        let _ = receiver.await;
    }

    async fn ask<T>(&self, command: impl FnOnce(Reply<T>) -> Command) -> Result<T, PeerError> {
        let (reply, answer) = oneshot::channel();
        self.send(command(reply));
        answer.await.unwrap_or(Err(PeerError::Ended))
    }

    /// Queues a command; after the end its reply is dropped, which the caller sees.
    fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}
