//! A client stand-in: one connection, requests behind one another, and what came back.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use ntex::http::h1::{ClientCodec, MessageType};
use ntex::http::{HeaderMap, ResponseHead};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::record::now_ms;
use super::seal::{digest, signature};
use super::site_text::HOST;
use super::wire::Wire;
use oriolering_platform::HEADERS;

/// How long clients of the platform wait for a new connection.
const CONNECT: Duration = Duration::from_secs(1);
/// The size of a chunk, small enough that bodies have several.
const CHUNK_BYTES: usize = 8 * 1024;

/// A whole answer, as far as it is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// Whether it bears a signature, and whether that is of this very answer.
    pub signed: Option<bool>,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// How an attempt ended, as its client saw it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Told {
    /// A whole answer.
    Answer(Reply),
    /// The connection ended without a whole answer.
    Broken,
    /// Bytes came that are no answer in the protocol.
    Garbled,
    /// An answer in front on the connection closed it.
    Unread,
    /// It was not sent.
    #[default]
    Unsent,
    /// The client closed the connection early.
    Left,
    /// The client's deadline passed.
    GaveUp,
}

impl Told {
    /// Returns the answer, if there was a whole one.
    pub fn reply(self) -> Option<Reply> {
        match self {
            Self::Answer(reply) => Some(reply),
            Self::Broken
            | Self::Garbled
            | Self::Unread
            | Self::Unsent
            | Self::Left
            | Self::GaveUp => None,
        }
    }

    /// Returns whether the answer is a success of a backend server.
    pub fn is_success(self) -> bool {
        let reply = self.reply();
        reply.is_some_and(|r| (200..300).contains(&r.status) && r.signed == Some(true))
    }
}

/// One attempt: what a client sends, and what it was told.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    /// Its identity.
    pub id: CompactString,
    /// The machine whose node it is sent to.
    pub machine: usize,
    /// The service of that machine's backend server.
    pub caller: CompactString,
    /// The method.
    pub method: &'static str,
    /// The path with its query.
    pub path: CompactString,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The body; it is not kept once the attempt has ended.
    pub body: Vec<u8>,
    /// The digest of the body.
    pub digest: CompactString,
    /// Whether the body is sent in chunks.
    pub chunked: bool,
    /// How long the client waits, in milliseconds.
    pub deadline_ms: u64,
    /// The longest time that the route allows, in milliseconds.
    pub timeout_ms: u64,
    /// When the client closes the connection early, in milliseconds after sending.
    pub leave_ms: Option<u64>,
    /// When it was sent, in Unix milliseconds.
    pub sent_ms: u64,
    /// When it ended, in Unix milliseconds.
    pub ended_ms: u64,
    /// What the client was told.
    pub told: Told,
}

impl Attempt {
    fn bytes(&self) -> Vec<u8> {
        let (request, deadline) = (HEADERS.request, HEADERS.deadline);
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        head += &format!("host: {HOST}\r\n{request}: {}\r\n", self.id);
        head += &format!("{deadline}: {}\r\n", self.deadline_ms);
        if self.chunked {
            head += "transfer-encoding: chunked\r\n\r\n";
            return [head.as_bytes(), &chunks(&self.body)].concat();
        }
        if self.method != "GET" {
            head += &format!("content-length: {}\r\n", self.body.len());
        }
        [head.as_bytes(), b"\r\n", &self.body].concat()
    }

    fn end(&mut self, told: Told) {
        self.told = told;
        self.ended_ms = now_ms();
    }
}

fn chunks(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(body.len() + CHUNK_BYTES);
    for chunk in body.chunks(CHUNK_BYTES) {
        bytes.extend(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}

/// A client's connection to a node.
#[derive(Debug)]
pub struct Connection {
    wire: Wire,
    codec: ClientCodec,
}

impl Connection {
    /// Connects within the time that clients allow.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection, or that of the time that passed.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT, TcpStream::connect(target)).await??;
        Ok(Self {
            wire: Wire::new(stream),
            codec: ClientCodec::default(),
        })
    }

    /// Returns whether the connection may be used again, or whether it brought stray bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when bytes came that no request asked for.
    pub fn is_open(&self) -> io::Result<bool> {
        self.wire.is_open()
    }

    /// Sends attempts behind one another and notes their ends; returns the connection if kept.
    pub async fn exchange(mut self, attempts: &mut [Attempt]) -> Option<Self> {
        let now = now_ms();
        for attempt in attempts.iter_mut() {
            attempt.sent_ms = now;
            attempt.digest = digest(&attempt.body);
        }
        let wait = |attempt: &Attempt| attempt.leave_ms.unwrap_or(attempt.deadline_ms);
        let wait_ms = attempts.iter().map(wait).min().unwrap_or(0);
        let ended = timeout(Duration::from_millis(wait_ms), self.talk(attempts)).await;
        let kept = ended.unwrap_or(false);
        // The connection closes before the ends are noted, so that no time counts too early.
        let kept = kept.then_some(self);
        for attempt in attempts.iter_mut().filter(|attempt| attempt.ended_ms == 0) {
            let left = attempt.leave_ms.is_some_and(|ms| ms <= wait_ms);
            attempt.end(if left { Told::Left } else { Told::GaveUp });
        }
        kept
    }

    /// Returns whether the connection is open after the last answer.
    async fn talk(&mut self, attempts: &mut [Attempt]) -> bool {
        let bytes: Vec<u8> = attempts.iter().flat_map(Attempt::bytes).collect();
        // An answer may have come although the rest could not be written.
        let _ = self.wire.write_and_fill(&bytes).await;
        let mut kept = true;
        for attempt in attempts {
            if !kept {
                attempt.end(Told::Unread);
                continue;
            }
            let (told, open) = match self.read(&attempt.id).await {
                Ok(read) => read,
                Err(e) if e.kind() == io::ErrorKind::Other => (Told::Garbled, false),
                Err(_) => (Told::Broken, false),
            };
            attempt.end(told);
            kept = open;
        }
        kept
    }

    async fn read(&mut self, id: &str) -> io::Result<(Told, bool)> {
        let head = self.wire.next(&self.codec).await?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = self.read_body(&head).await?;
        let status = head.status.as_u16();
        let seal = header(&head.headers, HEADERS.signature);
        let told = Told::Answer(Reply {
            status,
            signed: seal.map(|seal| seal == signature(id, status, &body).as_str()),
            retry_after_ms: header(&head.headers, "retry-after").and_then(parse_ms),
        });
        Ok((told, is_framed(&head) && head.keep_alive()))
    }

    async fn read_body(&mut self, head: &ResponseHead) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if !is_framed(head) {
            while self.wire.fill().await? {}
            body.extend_from_slice(&self.wire.input.split());
            return Ok(body);
        }
        if self.codec.message_type() == MessageType::None {
            return Ok(body);
        }
        let codec = std::mem::take(&mut self.codec).into_payload_codec();
        loop {
            match self.wire.next(&codec).await? {
                Some(Some(part)) => body.extend_from_slice(&part),
                Some(None) => break,
                None => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
        }
        self.codec = codec.into_message_codec();
        Ok(body)
    }
}

/// Returns whether an answer tells where it ends; the codec takes one without for empty.
fn is_framed(head: &ResponseHead) -> bool {
    let headers = &head.headers;
    let empty = matches!(head.status.as_u16(), 100..200 | 204 | 304);
    empty || headers.contains_key("content-length") || headers.contains_key("transfer-encoding")
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads seconds that may have a fraction.
fn parse_ms(seconds: &str) -> Option<u64> {
    let seconds = Duration::try_from_secs_f64(seconds.parse().ok()?).ok()?;
    Some(seconds.as_millis() as u64)
}
