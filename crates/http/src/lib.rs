//! HTTP/1.1 server and client connections for a proxy, built on the codecs of ntex.
//!
//! [`serve`] handles the pipelined requests of one caller's connection concurrently and writes
//! the responses in request order. When the caller closes the connection, its requests are
//! cancelled at once.
//! [`ClientConn`] runs one exchange at a time. It checks that the response belongs to the request
//! and is complete, and whether the connection can be reused.
//!
//! Bodies are buffered in full, so that a truncated response is never passed on as complete, unless
//! a response is streamed: [`ClientConn::exchange_streamed`] returns the head and a [`BodyReader`],
//! and an [`Answer`] may end with a [`BodyStream`]. A truncated stream closes the caller's connection
//! without the end of the response.

mod answer;
mod answer_room;
mod body_stream;
mod byte_budget;
mod client;
mod connection;
mod error;
mod io;
mod limits;
mod request;
mod response;
mod server;
mod streamed_body;
mod turn;

pub use answer::Answer;
pub use answer_room::AnswerRoom;
pub use body_stream::BodyStream;
pub use byte_budget::{ByteBudget, ByteReservation, ByteUse};
pub use client::{BodyReader, ClientConn};
pub use error::ExchangeError;
pub use io::receive;
pub use limits::ConnLimits;
pub use request::Request;
pub use response::Response;
pub use server::{serve, serve_within};
pub use turn::Turn;

pub use ntex::http::header::{self, HeaderName, HeaderValue};
pub use ntex::http::{HeaderMap, Method, StatusCode, Uri};
pub use ntex::util::Bytes;
