//! Computes the fingerprint by which a request that crashes backend servers is known again.

use xxhash_rust::xxh3::Xxh3;

use crate::call::{Call, CallBody};
use crate::reply::Reply;
use crate::state::Node;

/// Hashes service, method, target and body; a streamed body counts with its declared length.
pub(crate) fn set(_node: &Node, call: &mut Call) -> Result<(), Reply> {
    let mut hash = Xxh3::new();
    hash.update(call.settings.name.as_bytes());
    hash.update(call.method().as_str().as_bytes());
    hash.update(&[0]);
    hash.update(call.uri().to_string().as_bytes());
    hash.update(&[0]);
    match &*call.body.borrow() {
        CallBody::Whole(bytes) => hash.update(bytes),
        CallBody::Stream(_) | CallBody::Taken => {
            let length = call.request.headers().get("content-length");
            hash.update(length.map_or(b"", |value| value.as_bytes()));
        }
    }
    call.fingerprint = hash.digest().max(1);
    Ok(())
}
