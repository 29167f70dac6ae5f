//! HTTP/1.1 connections over ntex's codecs, for a proxy that must keep promises about them.
//!
//! [`serve`] runs the requests of one caller's connection side by side and answers them in
//! order; a caller that closes its connection has its requests dropped at once.
//! [`ClientConn`] runs one exchange at a time: it knows whether the answer belongs to the
//! request, whether it is whole, and whether the connection can carry another exchange.
//!
//! Bodies are held whole, so that an answer that ends early never looks complete.

mod answer;
mod answer_room;
mod client;
mod connection;
mod error;
mod io;
mod limits;
mod request;
mod response;
mod server;

pub use answer::Answer;
pub use answer_room::AnswerRoom;
pub use client::ClientConn;
pub use error::ExchangeError;
pub use io::receive;
pub use limits::ConnLimits;
pub use request::Request;
pub use response::Response;
pub use server::serve;

pub use ntex::http::header::{self, HeaderName, HeaderValue};
pub use ntex::http::{HeaderMap, Method, StatusCode, Uri};
pub use ntex::util::Bytes;
