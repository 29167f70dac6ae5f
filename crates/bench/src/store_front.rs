//! The connections of the stand-in store, carried to its HTTP server so that they can be reset.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};

use crate::store::Store;
use crate::store_fault::StoreFault;

/// Carries each connection of `listener` to `target` until the listener fails.
///
/// The HTTP server cannot reset a connection: it ends its side before it closes.
pub(crate) async fn carry_all(
    store: Store,
    listener: StdListener,
    target: SocketAddr,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    loop {
        let (client, _) = listener.accept().await?;
        let store = store.clone();
        ntex::rt::spawn(async move {
            if let Err(error) = carry(store, client, target).await {
                // A caller may break its connection at any time.
                eprintln!("a connection to the store broke: {error}");
            }
        });
    }
}

async fn carry(store: Store, mut client: TcpStream, target: SocketAddr) -> io::Result<()> {
    let mut server = TcpStream::connect(target).await?;
    // Without it the front would add the delays of Nagle's algorithm.
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    if store.fault() == StoreFault::Reset {
        client.readable().await?;
    }
    tokio::select! {
        biased;
        () = store.reset_begun() => client.set_zero_linger(),
        carried = copy_bidirectional(&mut client, &mut server) => carried.map(drop),
    }
}
