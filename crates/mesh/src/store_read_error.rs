//! Why a call to the store failed.

use oriolering_http::ExchangeError;
use oriolering_platform::StoreError;
use snafu::Snafu;

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum StoreReadError {
    #[snafu(display("the store cannot be reached: {source}"))]
    Exchange { source: ExchangeError },
    #[snafu(display("the store did not answer within {ms} ms"))]
    Silent { ms: u64 },
    #[snafu(display("{source}"))]
    Store { source: StoreError },
    #[snafu(display("a path of the store is not a valid target: {path}"))]
    Path { path: String },
    #[snafu(display("an answer of era {era} is older than the known era {known}"))]
    Outdated { era: u64, known: u64 },
    #[snafu(display("the store came back from a copy while it was read; it is read again"))]
    Returned,
}
