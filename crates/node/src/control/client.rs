//! Calls to peers, each over a new connection.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use oriolering::{AttemptStatus, CallId, Grant};
use snafu::ResultExt;
use tarpc::client::{Config, RpcError};
use tarpc::context::{self, Context};
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::length_delimited::LengthDelimitedCodec;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use super::error::{ConnectSnafu, PeerError};
use super::message::{Beat, FRAME_BYTES, PeerClient, Refused};
use super::state::Shared;
use super::usage::Counted;

/// Runs an exchange with the peer at `address` over a new connection within `ms`.
pub(crate) async fn exchange<T, F>(
    shared: &Shared,
    address: SocketAddr,
    ms: u64,
    run: impl FnOnce(PeerClient, Context) -> F,
) -> Result<T, PeerError>
where
    F: Future<Output = Result<T, PeerError>>,
{
    let limit = Duration::from_millis(ms);
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    let work = async {
        let client = connect(shared, address).await?;
        run(client, context).await
    };
    let answer = timeout(limit, work).await;
    answer.unwrap_or(Err(PeerError::Timeout { address, ms }))
}

/// Turns the answer of a call into its value.
pub(crate) fn answer<T>(
    address: SocketAddr,
    result: Result<Result<T, Refused>, RpcError>,
) -> Result<T, PeerError> {
    match result {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(Refused::Stranger | Refused::Invalid)) => Err(PeerError::Refused { address }),
        Err(error) => Err(PeerError::Exchange {
            address,
            reason: error.to_string(),
        }),
    }
}

/// Runs one call in this node's name at the peer at `address` within `ms`.
async fn call<T, F>(
    shared: &Shared,
    address: SocketAddr,
    ms: u64,
    run: impl FnOnce(PeerClient, Context, CompactString) -> F,
) -> Result<T, PeerError>
where
    F: Future<Output = Result<Result<T, Refused>, RpcError>>,
{
    let me = shared.settings.me.id.clone();
    exchange(shared, address, ms, async |client, context| {
        answer(address, run(client, context, me).await)
    })
    .await
}

/// Asks a gate what became of an attempt.
pub(crate) async fn inquire(
    shared: &Shared,
    address: SocketAddr,
    id: CallId,
    fence: bool,
    ms: u64,
) -> Result<AttemptStatus, PeerError> {
    call(shared, address, ms, async |client, context, me| {
        client.inquire(context, me, id, fence).await
    })
    .await
}

/// Asks a gate for a session.
pub(crate) async fn open(
    shared: &Shared,
    address: SocketAddr,
    ms: u64,
) -> Result<Grant, PeerError> {
    call(shared, address, ms, async |client, context, me| {
        client.open(context, me).await
    })
    .await
}

/// Sends a beat and returns the peer's.
pub(crate) async fn sync(
    shared: &Shared,
    address: SocketAddr,
    beat: Beat,
) -> Result<Beat, PeerError> {
    let ms = shared.settings.peer_ms;
    call(shared, address, ms, async |client, context, me| {
        client.sync(context, me, beat).await
    })
    .await
}

/// Sends a beat that carries news.
pub(crate) async fn push(
    shared: &Shared,
    address: SocketAddr,
    beat: Beat,
) -> Result<(), PeerError> {
    let ms = shared.settings.peer_ms;
    call(shared, address, ms, async |client, context, me| {
        client.push(context, me, beat).await
    })
    .await
}

async fn connect(shared: &Shared, address: SocketAddr) -> Result<PeerClient, PeerError> {
    let stream = dial(shared, address)
        .await
        .context(ConnectSnafu { address })?;
    shared.usage.message();
    let counted = Counted::new(stream, shared.usage.clone());
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES)
        .new_framed(counted);
    let transport = serde_transport::new(framed, Bincode::default());
    Ok(PeerClient::new(Config::default(), transport).spawn())
}

/// Connects from this node's own address, by which the peer knows it.
async fn dial(shared: &Shared, address: SocketAddr) -> std::io::Result<TcpStream> {
    let reach = shared.settings.reach.as_ref();
    if reach.is_some_and(|reach| !reach(address)) {
        return Err(std::io::ErrorKind::HostUnreachable.into());
    }
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let own = shared.settings.me.control.ip();
    if !own.is_loopback() && own.is_ipv4() == address.is_ipv4() {
        socket.bind(SocketAddr::new(own, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
