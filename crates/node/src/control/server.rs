//! Answers the calls of peers.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use futures_util::StreamExt;
use oriolering::{AttemptStatus, CallId, Digest, Grant};
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::length_delimited::LengthDelimitedCodec;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::message::{
    ANSWER_BYTES, Beat, Content, DIGESTS_MAX, FRAME_BYTES, Kind, Manifest, Peer, Refused,
};
use super::state::{Guest, Shared};
use super::usage::Counted;

/// Connections that are served at once.
const CONNECTIONS_MAX: usize = 256;
/// Calls that are served at once on a connection.
const CALLS_MAX: usize = 8;
/// The longest life of a connection.
const CONNECTION_MS: u64 = 10_000;
/// The wait after a failed accept.
const ACCEPT_RETRY_MS: u64 = 50;

/// Accepts peers until the control part ends.
pub(crate) async fn run(shared: Arc<Shared>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, address)) = listener.accept().await else {
            sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        let server = PeerServer {
            shared: Arc::clone(&shared),
            ip: address.ip(),
        };
        spawn_local(async move {
            serve(server, stream).await;
            drop(permit);
        });
    }
}

async fn serve(server: PeerServer, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let counted = Counted::new(stream, Arc::clone(&server.shared.usage));
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES)
        .new_framed(counted);
    let transport = serde_transport::new(framed, Bincode::default());
    let calls = BaseChannel::with_defaults(transport).execute(server.serve());
    let served = calls.for_each_concurrent(CALLS_MAX, |call| call);
    let _ = timeout(Duration::from_millis(CONNECTION_MS), served).await;
}

/// Answers one connection.
#[derive(Clone)]
struct PeerServer {
    shared: Arc<Shared>,
    ip: IpAddr,
}

impl PeerServer {
    /// Takes in a beat of a listed member.
    fn admit(&self, from: &str, beat: Beat) -> Result<(), Refused> {
        self.shared.usage.message();
        if !beat.is_valid() {
            self.shared.state().counts.invalid += 1;
            return Err(Refused::Invalid);
        }
        let mut state = self.shared.state();
        let Some(control) = state
            .roster
            .verify_peer(from, self.ip)
            .map(|member| member.control)
        else {
            state.counts.strangers += 1;
            return Err(Refused::Stranger);
        };
        drop(state);
        self.shared.take_in(beat, control);
        Ok(())
    }
}

impl Peer for PeerServer {
    async fn sync(self, _: Context, from: CompactString, beat: Beat) -> Result<Beat, Refused> {
        match self.admit(&from, beat) {
            Ok(()) => Ok(self.shared.beat()),
            Err(Refused::Stranger) => Ok(Beat {
                heads: self.shared.state().heads(),
                ..Beat::default()
            }),
            Err(Refused::Invalid) => Err(Refused::Invalid),
        }
    }

    async fn push(self, _: Context, from: CompactString, beat: Beat) -> Result<(), Refused> {
        self.admit(&from, beat)
    }

    async fn manifest(self, _: Context, kind: Kind) -> Manifest {
        self.shared.usage.message();
        let state = self.shared.state();
        let relay = &state.relays[kind.index()];
        Manifest {
            head: relay.head(),
            sections: relay.manifest().to_vec(),
        }
    }

    async fn sections(
        self,
        _: Context,
        kind: Kind,
        digests: Vec<Digest>,
    ) -> Result<Vec<Content>, Refused> {
        self.shared.usage.message();
        let mut state = self.shared.state();
        if digests.len() > DIGESTS_MAX {
            state.counts.invalid += 1;
            return Err(Refused::Invalid);
        }
        let found = state.relays[kind.index()].sections(&digests, ANSWER_BYTES);
        let contents = found.into_iter().map(|(digest, packed)| Content {
            digest,
            packed: packed.to_vec(),
        });
        Ok(contents.collect())
    }

    async fn inquire(
        self,
        _: Context,
        from: CompactString,
        id: CallId,
        fence: bool,
    ) -> Result<AttemptStatus, Refused> {
        self.shared.usage.message();
        let guest = Guest {
            id: from,
            ip: self.ip,
            grant: id.grant,
        };
        let mut state = self.shared.state();
        let known = state.roster.verify_peer(&guest.id, self.ip).is_some();
        if !known && !state.guests.contains(&guest) {
            state.counts.strangers += 1;
            return Err(Refused::Stranger);
        }
        drop(state);
        Ok((self.shared.hooks.inquire)(id, fence))
    }

    async fn open(self, _: Context, from: CompactString) -> Result<Grant, Refused> {
        self.shared.usage.message();
        let now = self.shared.clock.now();
        let mut state = self.shared.state();
        let known = state.roster.verify_peer(&from, self.ip).is_some();
        if !known && !state.opens.try_take(now, 1) {
            state.counts.strangers += 1;
            return Err(Refused::Stranger);
        }
        drop(state);
        let grant = (self.shared.hooks.open)();
        if !known {
            self.shared.state().add_guest(Guest {
                id: from,
                ip: self.ip,
                grant,
            });
        }
        Ok(grant)
    }
}
