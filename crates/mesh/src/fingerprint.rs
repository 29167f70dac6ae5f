//! The hash by which a request that crashes backend servers is recognised when it is repeated.

use oriolering_http::Request;
use xxhash_rust::xxh3::Xxh3;

/// Hashes service, caller, method, target and body.
///
/// The result is never zero, since zero stands for "no fingerprint".
pub(crate) fn hash_request(service: &str, caller: &str, request: &Request) -> u64 {
    let target = request.uri.path_and_query().map_or("/", |t| t.as_str());
    let mut hash = Xxh3::new();
    for text in [service, caller, request.method.as_str(), target] {
        hash.update(text.as_bytes());
        hash.update(&[0]);
    }
    hash.update(&request.body);
    hash.digest().max(1)
}
